"""Handlers of the messages that arrive from other instances."""

from __future__ import annotations

import logging
from typing import Any

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.messages import ErrorReply
from ragworttiller.process.peers import Handler

log = logging.getLogger(__name__)


class MessageHandlers:
    """Handlers by message type."""

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}

    def add(self, message_type: type, handler: Handler) -> None:
        """Set the handler of a message type."""
        self._handlers[message_type] = handler

    async def answer(self, sender: str, message: Any) -> Any:
        """Return the reply to a message, or None if it gets none.

        The reply to a message whose handler fails is an `ErrorReply`; a message without a handler
        is dropped.
        """
        name = type(message).__name__
        handler = self._handlers.get(type(message))
        if handler is None:
            log.warning("message %s from %s dropped because it has no handler", name, sender)
            return None
        try:
            return await handler(sender, message)
        except RagworttillerError as exc:
            return ErrorReply(exc.body())
        except Exception:
            log.exception("handler of message %s failed", name)
            return ErrorReply(RagworttillerError().body())
