"""Sections and options of the settings file, and the function that reads them.

All errors of a file are collected and reported together.
"""

from __future__ import annotations

import difflib
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from configparser import ConfigParser
from configparser import Error as ParserError
from pathlib import Path
from typing import Any, ClassVar, Generic, NamedTuple, TypeVar

from ragworttiller.exceptions import SettingsInvalid

T = TypeVar("T")


class Problem(NamedTuple):
    """One error of a settings file; ``option`` is empty for an error of a whole section."""

    section: str
    option: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        location = f"[{self.section}] {self.option}".strip()
        return f"{location}: {self.problem}, allowed: {self.allowed}"


class ValueRejected(ValueError):
    """The text of an option is not an allowed value.

    It is internal to this package: `Section.read` converts it to a `Problem`.

    Parameters
    ----------
    problem : str
        What is wrong with the text.
    allowed : str
        What is allowed in its place.
    """

    def __init__(self, problem: str, allowed: str) -> None:
        super().__init__(problem)
        self.problem = problem
        self.allowed = allowed


class _Described:
    """Part of a configuration file that the reference describes.

    Parameters
    ----------
    name : str
        Name in the file and in the settings tree.
    help : str
        One sentence for the reference.
    """

    def __init__(self, name: str, help: str) -> None:
        self._name = name
        self._help = help

    @property
    def name(self) -> str:
        """Name in the file and in the settings tree."""
        return self._name

    @property
    def help(self) -> str:
        """One sentence for the reference."""
        return self._help


class Option(_Described, ABC, Generic[T]):
    """One typed option.

    Parameters
    ----------
    name : str
        Name in the file and in the settings tree.
    help : str
        One sentence for the reference.
    default : str, optional
        Text that is used for a missing option. Without it the option is required.
    sample : str, optional
        Text shown in the sample file for an option without a default.
    optional : bool
        Whether a missing option without a default is None instead of an error.
    """

    type_name: ClassVar[str]

    def __init__(
        self,
        name: str,
        help: str,
        *,
        default: str | None = None,
        sample: str = "",
        optional: bool = False,
    ) -> None:
        super().__init__(name, help)
        self._default = default
        self._sample = sample
        self._optional = optional

    @property
    def default(self) -> str | None:
        """Text that is used for a missing option, None if there is none."""
        return self._default

    @property
    def sample(self) -> str:
        """Text shown in the sample file."""
        return self._default if self._default is not None else self._sample

    @property
    def required(self) -> bool:
        """Whether a file without this option is invalid."""
        return self._default is None and not self._optional

    @property
    def unit(self) -> str:
        """Unit of the value, empty if it has none."""
        return ""

    @property
    @abstractmethod
    def allowed(self) -> str:
        """Description of the allowed values."""

    @abstractmethod
    def parse(self, text: str) -> T:
        """Return the value that a text represents.

        Raises
        ------
        ValueRejected
            The text is not an allowed value.
        """

    def read(self, text: str | None) -> T | None:
        """Return the value of the option, given its text or None if the file lacks it.

        Raises
        ------
        ValueRejected
            The text is not an allowed value, or a required option is missing.
        """
        if text is None:
            text = self._default
        if text is not None:
            return self.parse(text.strip())
        if self.required:
            raise ValueRejected("is required", self.allowed)
        return None


class Section(_Described):
    """Named group of options.

    Parameters
    ----------
    name : str
        Name in the file and in the settings tree.
    help : str
        One sentence for the reference.
    values_type : type
        ``NamedTuple`` with one field for each option.
    options : sequence of Option
        Options in the order of the sample file.
    """

    def __init__(
        self, name: str, help: str, values_type: type, options: Sequence[Option[Any]]
    ) -> None:
        super().__init__(name, help)
        self._values_type = values_type
        self._options = {option.name: option for option in options}

    @property
    def values_type(self) -> type:
        """``NamedTuple`` that holds the values of the options."""
        return self._values_type

    @property
    def options(self) -> list[Option[Any]]:
        """Options in the order of the sample file."""
        return list(self._options.values())

    def read(self, texts: Mapping[str, str]) -> tuple[Any, list[Problem]]:
        """Return the section's values and its problems; the values are None if there are any."""
        problems = [self._unknown_option(name) for name in texts if name not in self._options]
        values: dict[str, Any] = {}
        for name, option in self._options.items():
            try:
                values[name] = option.read(texts.get(name))
            except ValueRejected as exc:
                problems.append(Problem(self._name, name, exc.problem, exc.allowed))
        return (None if problems else self._values_type(**values)), problems

    def _unknown_option(self, name: str) -> Problem:
        return Problem(self._name, name, "is not an option", suggestion(name, list(self._options)))


def suggestion(name: str, known: list[str]) -> str:
    """Return a hint at the known name closest to ``name``, or all names if none is close."""
    close = difflib.get_close_matches(name, known, n=1)
    return f"did you mean {close[0]!r}?" if close else ", ".join(known)


def read_sections(path: Path, sections: Sequence[Section]) -> dict[str, Any]:
    """Return the values of every section of a file, by section name.

    Raises
    ------
    SettingsInvalid
        The file cannot be read or has errors; the exception lists all of them.
    """
    parser = ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeError, ParserError) as exc:
        raise _invalid([Problem("", str(path), " ".join(str(exc).split()), "INI file")]) from exc
    known = [section.name for section in sections]
    problems = [
        Problem(name, "", "is not a section", suggestion(name, known))
        for name in parser.sections()
        if name not in known
    ]
    values: dict[str, Any] = {}
    for section in sections:
        texts = parser[section.name] if parser.has_section(section.name) else {}
        values[section.name], section_problems = section.read(texts)
        problems += section_problems
    if problems:
        raise _invalid(problems)
    return values


def _invalid(problems: list[Problem]) -> SettingsInvalid:
    return SettingsInvalid(count=len(problems), problems="; ".join(map(str, problems)))
