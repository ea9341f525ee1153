"""Decoding of the JSON that the platform and its callers write."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from ragworttiller.exceptions import Unreadable

T = TypeVar("T")


def decode_json(value: bytes, value_type: type[T], what: str) -> T:
    """Decode JSON text into a value of a type.

    Parameters
    ----------
    value : bytes
        JSON text.
    value_type : type
        Type of the value.
    what : str
        Description of the value for the error message.

    Raises
    ------
    Unreadable
        The text is not a valid value of the type, or it is nested too deeply.
    """
    try:
        return msgspec.json.decode(value, type=value_type)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise Unreadable(what=what, problem=str(exc)) from exc
