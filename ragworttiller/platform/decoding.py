"""Decoding of what the platform and its callers write as JSON."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from ragworttiller.exceptions import Unreadable

T = TypeVar("T")


def decode_json(value: bytes, form: type[T], what: str) -> T:
    """Return a value of a form.

    Parameters
    ----------
    value : bytes
        JSON text.
    form : type
        Form of the value.
    what : str
        Names the value in the error.

    Raises
    ------
    Unreadable
        The text is no value of the form.
    """
    try:
        return msgspec.json.decode(value, type=form)
    except msgspec.MsgspecError as exc:
        raise Unreadable(what=what, problem=str(exc)) from exc
