"""Containers of an object that are made when they are first used."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, ClassVar


class LazyMembers:
    """Object with members that take no memory before their first use.

    An owner holds tens of thousands of stages that wait, and most of what a stage can hold of its
    tasks stays empty until they start. A class names such members in its `__slots__`.

    Attributes
    ----------
    MAKERS : mapping of str to Callable
        Returns the first value of each of these members, by its name.
    """

    __slots__ = ()

    MAKERS: ClassVar[Mapping[str, Callable[[], Any]]] = {}

    # Only called for a member that is not set; hidden from type checks, which know the members.
    if not TYPE_CHECKING:

        def __getattr__(self, name: str) -> Any:
            make = type(self).MAKERS.get(name)
            if make is None:
                raise AttributeError(name=name, obj=self)
            value = make()
            setattr(self, name, value)
            return value

    def is_made(self, name: str) -> bool:
        """Return whether one of these members was used before, which this call does not count."""
        try:
            object.__getattribute__(self, name)
        except AttributeError:
            return False
        return True
