"""Messages between entries."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.codec import MessagePackCodec
from ragworttiller.messages import ErrorReply
from ragworttiller.scheduling.jobs import StageId


class AdviceRequest(NamedTuple):
    """Asks an entry to call the advisor; ``timeout`` is in seconds."""

    stage: StageId
    runners: list[str]
    timeout: float


class AdviceReply(NamedTuple):
    """Ticket of each runner that may run the stage."""

    tickets: dict[str, str]


PEER_CODEC = MessagePackCodec({1: AdviceRequest, 2: AdviceReply, 3: ErrorReply})
