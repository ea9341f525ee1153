"""Interface to the messages between instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

Handler = Callable[[str, Any], Awaitable[Any]]


class Peers(ABC):
    """Sends messages to instances and dispatches those that arrive.

    A handler gets the sender's instance name and the message, and returns the reply, or None for a
    one-way message. An error that it raises is returned to the sender as `ErrorReply`.
    """

    @property
    @abstractmethod
    def instance(self) -> str:
        """Name of this instance."""

    @property
    def unreachable(self) -> Mapping[str, float]:
        """Time in seconds since which there is no connection to an instance, by its name.

        Instances that are connected, or not known, are left out.
        """
        return {}

    @abstractmethod
    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type."""

    @abstractmethod
    async def call(self, instance: str, message: Any, timeout: float) -> Any:
        """Send a message and return its reply; a call to this instance itself stays local.

        Raises
        ------
        PeerUnreachable
            No reply came within ``timeout`` seconds; the message may have arrived.
        RagworttillerError
            What the handler raised.
        """

    @abstractmethod
    def post(self, instance: str, message: Any) -> None:
        """Send a one-way message, which may be lost."""

    def set_peer(self, name: str, address: str, incarnation: int) -> None:  # noqa: B027
        """Add an instance, or replace its address and incarnation.

        An incarnation of 0 addresses any. Peers that know every address need not override this.
        """

    def drop_peer(self, name: str) -> None:  # noqa: B027
        """Remove an instance."""

    @abstractmethod
    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with the name of each instance whose connection is lost.

        The instance may still be live, as a connection can be lost on its own.
        """
