"""HTTP adapters to the log and the directory; those to runners and workers are re-exported."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
from typing_extensions import override

from ragworttiller.exceptions import (
    AppendUndecided,
    LogUnavailable,
    PlatformUnavailable,
)
from ragworttiller.platform.channel import ChannelSet, Traffic
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.resources import Resources
from ragworttiller.services.directory import (
    Directory,
    ListedEntry,
    ListedRunner,
    ListedWorker,
    Listing,
)
from ragworttiller.services.http_runner import HttpRunnerConnection, HttpRunnerDialer
from ragworttiller.services.http_worker import HttpWorker, HttpWorkerFleet
from ragworttiller.services.log import Log, LogSlice

__all__ = [
    "HttpDirectory",
    "HttpLog",
    "HttpRunnerConnection",
    "HttpRunnerDialer",
    "HttpWorker",
    "HttpWorkerFleet",
]

OK = 200
NOT_MODIFIED = 304
UNAVAILABLE = 503
PLATFORM_TIMEOUT_SECONDS = 2.0

_SLICE_DECODER = msgspec.msgpack.Decoder(LogSlice)
_APPENDED_DECODER = msgspec.msgpack.Decoder(dict[str, int])
_LISTING_DECODER = msgspec.json.Decoder(dict[str, list[dict[str, Any]]])


class HttpLog(Log):
    """Platform log over HTTP.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    instance : str
        Name of this instance, sent to the log with every call.
    timeout : float
        Seconds to wait for an answer, in addition to the ``wait`` of a read.
    """

    def __init__(self, url: str, instance: str, timeout: float = PLATFORM_TIMEOUT_SECONDS) -> None:
        self._channels = ChannelSet(url, timeout)
        self._timeout = timeout
        self._headers = [("x-instance", instance)]

    @property
    def traffic(self) -> Traffic:
        """Calls and bytes so far."""
        return self._channels.traffic

    @override
    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        body = msgspec.msgpack.encode(list(records))
        try:
            answer = await self._channels.request("POST", f"/streams/{stream}", body, self._headers)
        except NotSent as exc:
            raise LogUnavailable(stream=stream) from exc
        except ExchangeBroken as exc:
            raise AppendUndecided(stream=stream) from exc
        if answer.status == UNAVAILABLE:
            raise LogUnavailable(stream=stream)
        try:
            return _APPENDED_DECODER.decode(answer.body)["first"]
        except (msgspec.MsgspecError, KeyError) as exc:
            raise AppendUndecided(stream=stream) from exc

    @override
    async def read(self, stream: str, offset: int, wait: float = 0.0) -> LogSlice:
        target = f"/streams/{stream}?offset={offset}&wait={wait}"
        try:
            answer = await self._channels.request(
                "GET", target, b"", self._headers, self._timeout + wait
            )
            if answer.status != OK:
                raise LogUnavailable(stream=stream)
            return _SLICE_DECODER.decode(answer.body)
        except (NotSent, ExchangeBroken, msgspec.MsgspecError) as exc:
            raise LogUnavailable(stream=stream) from exc

    async def close(self) -> None:
        """Close the idle connections."""
        await self._channels.close()


class HttpDirectory(Directory):
    """Platform's directory over HTTP; the list is transferred only if its entity tag has changed.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    timeout : float
        Seconds to wait for an answer.
    """

    def __init__(self, url: str, timeout: float = PLATFORM_TIMEOUT_SECONDS) -> None:
        self._channels = ChannelSet(url, timeout)
        self._etag = ""
        self._listing = Listing([], [], [])

    @property
    def traffic(self) -> Traffic:
        """Calls and bytes so far."""
        return self._channels.traffic

    @override
    async def list(self) -> Listing:
        headers = [("if-none-match", self._etag)] if self._etag else []
        try:
            answer = await self._channels.request("GET", "/directory", b"", headers)
            if answer.status == NOT_MODIFIED and self._etag:
                return self._listing
            if answer.status != OK:
                raise PlatformUnavailable(service="list")
            self._listing = _decode_listing(answer.body)
            self._etag = dict(answer.headers).get("etag", "")
            return self._listing
        except (NotSent, ExchangeBroken, msgspec.MsgspecError, KeyError, TypeError) as exc:
            raise PlatformUnavailable(service="list") from exc

    async def close(self) -> None:
        """Close the idle connections."""
        await self._channels.close()


def _decode_listing(body: bytes) -> Listing:
    rows = _LISTING_DECODER.decode(body)
    return Listing(
        [ListedEntry(**row) for row in rows["entries"]],
        [ListedRunner(**row) for row in rows["runners"]],
        [
            ListedWorker(**{**row, "capacity": Resources(**row["capacity"])})
            for row in rows["workers"]
        ],
    )
