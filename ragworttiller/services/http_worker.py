"""Adapter to workers over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec
from typing_extensions import override

from ragworttiller.exceptions import WorkerRefused, WorkerUnreachable
from ragworttiller.platform.channel import ChannelSet, Traffic
from ragworttiller.platform.exchange import ExchangeBroken, NotSent
from ragworttiller.services.worker import TaskReport, TaskSpec, Worker, WorkerFleet

OK = 200
UNAVAILABLE = 503
WORKER_TIMEOUT_SECONDS = 2.0

_START_RESULTS_DECODER = msgspec.msgpack.Decoder(list[str])
_REPORTS_DECODER = msgspec.msgpack.Decoder(list[TaskReport])


class HttpWorker(Worker):
    """Sends commands to one worker over HTTP.

    Parameters
    ----------
    name : str
        Worker name.
    path : str
        Path of the worker at its server, without a trailing slash.
    channels : ChannelSet
        Connections to the server.
    """

    def __init__(self, name: str, path: str, channels: ChannelSet) -> None:
        self._name = name
        self._path = path
        self._channels = channels

    @override
    async def start(self, specs: list[TaskSpec]) -> list[str]:
        results = self._decode(_START_RESULTS_DECODER, await self._call("start", specs))
        if len(results) != len(specs):
            raise WorkerUnreachable(worker=self._name)
        return results

    @override
    async def stop(self, tasks: list[tuple[str, int]], checkpoint: bool = False) -> None:
        await self._call("stop", (tasks, checkpoint))

    @override
    async def throttle(self, task: str, attempt: int, cpu: int) -> None:
        await self._call("throttle", (task, attempt, cpu))

    @override
    async def renew(self, lease: float) -> list[TaskReport]:
        return self._decode(_REPORTS_DECODER, await self._call("renew", lease))

    @override
    async def forget(self, tasks: list[tuple[str, int]]) -> None:
        await self._call("forget", tasks)

    async def _call(self, verb: str, arguments: Any) -> bytes:
        body = msgspec.msgpack.encode(arguments)
        try:
            answer = await self._channels.request("POST", f"{self._path}/{verb}", body)
        except NotSent as exc:
            raise WorkerRefused(worker=self._name, reason=str(exc)) from exc
        except ExchangeBroken as exc:
            raise WorkerUnreachable(worker=self._name) from exc
        if answer.status == UNAVAILABLE:
            raise WorkerRefused(worker=self._name, reason="not available")
        if answer.status != OK:
            raise WorkerUnreachable(worker=self._name)
        return answer.body

    def _decode(self, decoder: msgspec.msgpack.Decoder[Any], body: bytes) -> Any:
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as exc:
            raise WorkerUnreachable(worker=self._name) from exc


class HttpWorkerFleet(WorkerFleet):
    """Clients of workers over HTTP; workers at one server share its connections.

    Parameters
    ----------
    timeout : float
        Seconds to wait for an answer.
    """

    def __init__(self, timeout: float = WORKER_TIMEOUT_SECONDS) -> None:
        self._timeout = timeout
        self._servers: dict[str, ChannelSet] = {}

    @property
    def traffic(self) -> Traffic:
        """Calls and bytes of all commands so far."""
        total = Traffic()
        for channels in self._servers.values():
            total.calls += channels.traffic.calls
            total.bytes_out += channels.traffic.bytes_out
            total.bytes_in += channels.traffic.bytes_in
        return total

    @override
    def worker(self, name: str, address: str) -> HttpWorker:
        server, slash, path = address.partition("/")
        channels = self._servers.get(server)
        if channels is None:
            channels = self._servers[server] = ChannelSet(server, self._timeout)
        return HttpWorker(name, slash + path, channels)

    async def close(self) -> None:
        """Close the idle connections."""
        for channels in self._servers.values():
            await channels.close()
