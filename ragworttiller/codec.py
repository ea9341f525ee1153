"""Encoding of records and messages.

A codec maps each known ``NamedTuple`` type to a small number. Instances and the log use
MessagePack; tools that show records to people use JSON.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any, ClassVar

import msgspec

from ragworttiller.exceptions import InvalidField


class Codec(ABC):
    """Encodes a fixed set of ``NamedTuple`` types.

    Parameters
    ----------
    types : dict of int to type
        Types by their numbers on the wire. Numbers are never reused.
    """

    name: ClassVar[str]

    def __init__(self, types: dict[int, type]) -> None:
        self._types = types
        self._tags = {cls: tag for tag, cls in types.items()}

    def encode(self, items: Sequence[Any]) -> bytes:
        """Encode several items into one buffer."""
        return self._pack([(self._tags[type(item)], item) for item in items])

    def encode_one(self, item: Any) -> bytes:
        """Encode one item into a buffer."""
        return self._pack((self._tags[type(item)], item))

    @abstractmethod
    def decode(self, data: bytes) -> list[Any]:
        """Decode a buffer made by `encode`.

        Raises
        ------
        InvalidField
            The buffer is malformed or holds an unknown type.
        """

    @abstractmethod
    def decode_one(self, data: bytes) -> Any:
        """Decode a buffer made by `encode_one`.

        Raises
        ------
        InvalidField
            The buffer is malformed or holds an unknown type.
        """

    @abstractmethod
    def _pack(self, value: Any) -> bytes:
        """Encode a value of tuples and lists."""


class _MsgspecCodec(Codec):
    """Codec that uses one of msgspec's wire formats."""

    _module: ClassVar[Any]

    def __init__(self, types: dict[int, type]) -> None:
        super().__init__(types)
        self._encoder = self._module.Encoder()
        self._pair_decoder = self._module.Decoder(tuple[int, msgspec.Raw])
        self._list_decoder = self._module.Decoder(list[tuple[int, msgspec.Raw]])
        self._decoders = {tag: self._module.Decoder(cls) for tag, cls in types.items()}

    def decode(self, data: bytes) -> list[Any]:
        try:
            return [self._decoders[tag].decode(raw) for tag, raw in self._list_decoder.decode(data)]
        except (msgspec.MsgspecError, KeyError, RecursionError) as exc:
            raise self._malformed(exc) from exc

    def decode_one(self, data: bytes) -> Any:
        try:
            tag, raw = self._pair_decoder.decode(data)
            return self._decoders[tag].decode(raw)
        except (msgspec.MsgspecError, KeyError, RecursionError) as exc:
            raise self._malformed(exc) from exc

    def _pack(self, value: Any) -> bytes:
        return self._encoder.encode(value)

    def _malformed(self, exc: Exception) -> InvalidField:
        return InvalidField(field="record", problem=str(exc), allowed=f"{self.name} record")


class MessagePackCodec(_MsgspecCodec):
    """MessagePack codec, used between instances and in the log."""

    name = "msgpack"
    _module: ClassVar[Any] = msgspec.msgpack


class JsonCodec(_MsgspecCodec):
    """JSON codec, used by tools that show records to people."""

    name = "json"
    _module: ClassVar[Any] = msgspec.json
