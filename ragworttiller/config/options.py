"""Option types of the settings file."""

from __future__ import annotations

import ipaddress
import math
from pathlib import Path
from typing import Any, ClassVar, TypeVar
from urllib.parse import urlsplit

from typing_extensions import override

from ragworttiller.config.base import Option, ValueRejected

MAX_PORT = 65535

N = TypeVar("N", int, float)


class Text(Option[str]):
    """Text of a bounded length.

    Parameters
    ----------
    min_length, max_length : int
        Bounds of the length, in characters.
    """

    type_name: ClassVar[str] = "text"

    def __init__(
        self, name: str, help: str, *, min_length: int = 1, max_length: int = 200, **kwargs: Any
    ) -> None:
        super().__init__(name, help, **kwargs)
        self._min_length = min_length
        self._max_length = max_length

    @property
    @override
    def allowed(self) -> str:
        return f"{self._min_length} to {self._max_length} characters"

    @override
    def parse(self, text: str) -> str:
        if not self._min_length <= len(text) <= self._max_length:
            raise ValueRejected(f"has {len(text)} characters", self.allowed)
        return text


class _BoundedNumber(Option[N]):
    """Number within bounds, both included.

    Parameters
    ----------
    low, high : int or float
        Bounds of the value.
    unit : str
        Unit of the value, empty if it has none.
    """

    type_name: ClassVar[str] = "number"
    noun: ClassVar[str] = "number"
    convert: ClassVar[type]

    def __init__(
        self, name: str, help: str, *, low: N, high: N, unit: str = "", **kwargs: Any
    ) -> None:
        super().__init__(name, help, **kwargs)
        self._low: N = low
        self._high: N = high
        self._unit = unit

    @property
    @override
    def unit(self) -> str:
        return self._unit

    @property
    @override
    def allowed(self) -> str:
        bounds = f"from {self._low:.15g} to {self._high:.15g}"
        return f"{self.noun} {bounds} {self._unit}".rstrip()

    @override
    def parse(self, text: str) -> N:
        try:
            value: N = self.convert(text)
        except ValueError:
            raise ValueRejected(f"{text!r} is not a {self.noun}", self.allowed) from None
        if math.isnan(value) or not self._low <= value <= self._high:
            raise ValueRejected(f"{text!r} is out of bounds", self.allowed)
        return value


class Integer(_BoundedNumber[int]):
    """Whole number within bounds, both included."""

    type_name = "integer"
    noun = "whole number"
    convert = int


class Number(_BoundedNumber[float]):
    """Number within bounds, both included."""

    convert = float


class Choice(Option[str]):
    """One of a fixed set of values.

    Parameters
    ----------
    choices : tuple of str
        Allowed values.
    """

    type_name: ClassVar[str] = "choice"

    def __init__(self, name: str, help: str, *, choices: tuple[str, ...], **kwargs: Any) -> None:
        super().__init__(name, help, **kwargs)
        self._choices = choices

    @property
    @override
    def allowed(self) -> str:
        return ", ".join(self._choices)

    @override
    def parse(self, text: str) -> str:
        if text not in self._choices:
            raise ValueRejected(f"{text!r} is not a choice", self.allowed)
        return text


class Flag(Option[bool]):
    """Either true or false."""

    type_name: ClassVar[str] = "boolean"
    _values: ClassVar[dict[str, bool]] = {"true": True, "false": False}

    @property
    @override
    def allowed(self) -> str:
        return ", ".join(self._values)

    @override
    def parse(self, text: str) -> bool:
        value = self._values.get(text.lower())
        if value is None:
            raise ValueRejected(f"{text!r} is neither true nor false", self.allowed)
        return value


class Address(Option[str]):
    """IP address and port."""

    type_name: ClassVar[str] = "address"

    @property
    @override
    def allowed(self) -> str:
        return f"IP address:port with a port from 1 to {MAX_PORT}, IPv6 in brackets"

    @override
    def parse(self, text: str) -> str:
        host, colon, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
            valid = bool(colon) and 1 <= int(port) <= MAX_PORT
        except ValueError:
            valid = False
        if not valid:
            raise ValueRejected(f"{text!r} is not an address", self.allowed)
        return text


class Url(Option[str]):
    """HTTP URL, without a trailing slash."""

    type_name: ClassVar[str] = "url"

    @property
    @override
    def allowed(self) -> str:
        return "http:// URL without query"

    @override
    def parse(self, text: str) -> str:
        try:
            parts = urlsplit(text)
            valid = parts.scheme == "http" and bool(parts.hostname) and parts.port != 0
        except ValueError:
            valid = False
        if not valid or parts.query or parts.fragment:
            raise ValueRejected(f"{text!r} is not a URL", self.allowed)
        return text.rstrip("/")


class ExistingFile(Option[Path]):
    """File that exists when the settings are read."""

    type_name: ClassVar[str] = "path"

    @property
    @override
    def allowed(self) -> str:
        return "path of a file"

    @override
    def parse(self, text: str) -> Path:
        path = Path(text)
        if not path.is_file():
            raise ValueRejected(f"{text!r} is not a file", self.allowed)
        return path


class ListOf(Option[list[Any]]):
    """List of values of another option type, separated by commas or line breaks.

    Parameters
    ----------
    item : Option
        Option of one value; it also gives the list its name and help.
    """

    type_name: ClassVar[str] = "list"

    def __init__(self, item: Option[Any], **kwargs: Any) -> None:
        super().__init__(item.name, item.help, **kwargs)
        self._item = item

    @property
    @override
    def allowed(self) -> str:
        return f"list, separated by commas, of: {self._item.allowed}"

    @override
    def parse(self, text: str) -> list[Any]:
        parts = [part.strip() for part in text.replace("\n", ",").split(",")]
        return [self._item.parse(part) for part in parts if part]
