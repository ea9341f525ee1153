"""Tests that an entry outlives crowds of clients that do not behave, as a process on loopback.

The crowds and bounds follow from `MEMORY_MB` and `MAX_DESCRIPTORS`, the limits of its machine.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import anyio
import pytest

from standins.platform.deployment import HOST, Deployment
from tests.crowd_rig import (
    KILOBYTE,
    MEGABYTE,
    QUIET_SECONDS,
    Crowd,
    Meter,
    Script,
    process_usage,
)
from tests.scheduling_rig import job_body, step

MEMORY_MB = 96
MAX_DESCRIPTORS = 400
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
CALLER_LIMITS = {
    "max_header_bytes": 16 * KILOBYTE,
    "max_body_bytes": 256 * KILOBYTE,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 2000,
}
# Of the descriptors, 200 are reserved for files.
MAX_SOCKETS = MAX_DESCRIPTORS - 200
# What may stay above the idle figures once the clients have gone.
LEFT_BYTES = MEMORY_MB // 4 * MEGABYTE
LEFT_DESCRIPTORS = 8
WAIT_SECONDS = 60.0
POLL_SECONDS = 0.05
ENTRY = "e1"
DEADLINE_MS = 3000
# More clients than the entry has descriptors.
MANY = 420
FEW = 40
BODY_BYTES = 256 * KILOBYTE
PIECE_BYTES = 8 * KILOBYTE


def job_name(number: int) -> str:
    """Return an identifier of a job of the crowd, or of an ordinary caller for a negative one."""
    return f"{number % 2**64:016x}"


def head(number: int, *fields: str) -> bytes:
    """Return the head of a submission, without the empty line at its end."""
    deadline = f"ragworttiller-deadline-ms: {DEADLINE_MS}"
    lines = [f"POST /q/{job_name(number)} HTTP/1.1", f"host: {HOST}", deadline, *fields, ""]
    return "\r\n".join(lines).encode()


def body(number: int, length: int = BODY_BYTES) -> bytes:
    """Return a valid submission of some length."""
    plain = job_body(step(1), padding="")
    return job_body(step(1), padding="x" * (length - len(plain)))


def repeated(start: bytes, piece: bytes, total: int) -> Iterator[bytes]:
    """Yield a start, and then one piece again and again up to a total of bytes."""
    yield start
    for _ in range(total // len(piece)):
        yield piece


def long_field(number: int) -> Iterator[bytes]:
    """Send a head with one field without end."""
    yield from repeated(head(number) + b"x-long: ", b"x" * 64 * KILOBYTE, 4 * MEGABYTE)


def short_fields(number: int) -> Iterator[bytes]:
    """Send a head of short fields without end."""
    yield from repeated(head(number), b"a: b\r\n" * KILOBYTE, MEGABYTE)


def long_target(number: int) -> Iterator[bytes]:
    """Send a request line without end."""
    yield from repeated(b"GET /q/", b"x" * 64 * KILOBYTE, 4 * MEGABYTE)


def trailers(number: int) -> Iterator[bytes]:
    """Send a chunked body and trailers without end."""
    start = head(number, "transfer-encoding: chunked") + b"\r\n1\r\n{\r\n0\r\n"
    yield from repeated(start, b"a: b\r\n" * KILOBYTE, MEGABYTE)


def empty_lines(number: int) -> Iterator[bytes]:
    """Send empty lines without end."""
    while True:
        yield b"\r\n" * KILOBYTE


def silence(number: int) -> Iterator[bytes]:
    """Send nothing."""
    yield from ()


def slow_head(number: int) -> Iterator[bytes]:
    """Send a head a byte at a time, without end."""
    yield head(number) + b"x-slow: "
    while True:
        yield b"x"


def body_short_of_its_end(number: int) -> Iterator[bytes]:
    """Send a body but for its last byte."""
    yield head(number, f"content-length: {BODY_BYTES}") + b"\r\n" + body(number)[:-1]


def body_in_pieces_short_of_its_end(number: int) -> Iterator[bytes]:
    """Send a body in pieces, but for its last byte."""
    yield head(number, f"content-length: {BODY_BYTES}") + b"\r\n"
    sent = body(number)[:-1]
    for start in range(0, len(sent), PIECE_BYTES):
        yield sent[start : start + PIECE_BYTES]


def chunked_body_short_of_its_end(number: int) -> Iterator[bytes]:
    """Send a chunked body, but for its last chunk."""
    yield head(number, "transfer-encoding: chunked") + b"\r\n"
    sent = body(number)
    for start in range(0, len(sent), PIECE_BYTES):
        piece = sent[start : start + PIECE_BYTES]
        yield b"%x\r\n%s\r\n" % (len(piece), piece)


def whole_body(number: int) -> Iterator[bytes]:
    """Send a whole body of the longest length."""
    yield head(number, f"content-length: {BODY_BYTES}") + b"\r\n" + body(number)


def body_of_a_read(number: int) -> Iterator[bytes]:
    """Send the largest body with a request that has none, and never its last byte."""
    request = f"GET /q/ HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    yield request.encode() + b"x" * (BODY_BYTES - 1)


def requests_ahead(number: int) -> Iterator[bytes]:
    """Send requests without end, and read no answer."""
    request = b"GET /q/ HTTP/1.1\r\nhost: " + HOST.encode() + b"\r\n\r\n"
    yield from repeated(b"", request * KILOBYTE, 2 * MEGABYTE)


def after_an_upgrade(number: int) -> Iterator[bytes]:
    """Ask for another protocol, and send bytes without end."""
    start = f"GET /q/ HTTP/1.1\r\nhost: {HOST}\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"
    yield start.encode()
    while True:
        yield b"x" * KILOBYTE


class Site:
    """One entry with lowered limits, and the platform's stand-ins.

    Parameters
    ----------
    folder : Path
        Folder for settings files and logs.
    """

    def __init__(self, folder: Path) -> None:
        self.platform = Deployment(folder)
        self.platform.limits = CALLER_LIMITS
        self._ordinary = 0

    @property
    def callers_address(self) -> str:
        """Address for callers."""
        return self.platform.fields[ENTRY]["listen"]["front"]

    @property
    def readiness_address(self) -> str:
        """Address for readiness checks and operators."""
        return self.platform.fields[ENTRY]["listen"]["ready"]

    @property
    def pid(self) -> int:
        """Process of the entry."""
        return self.platform.entries[ENTRY].pid

    def meter(self) -> Meter:
        """Return a meter of the entry."""
        return Meter(self.pid, self.callers_address, self.readiness_address)

    async def check_alive(self) -> None:
        """Check that the entry runs, and answers an ordinary request and a readiness check."""
        self._ordinary -= 1
        path = f"/q/{job_name(self._ordinary)}"
        reply = await self.platform.call(ENTRY, "POST", path, job_body(step(1)))
        assert reply.status == 200, reply
        reply = await self.platform.call(ENTRY, "GET", path)
        assert json.loads(reply.body)["state"] in ("queued", "running", "completed")
        assert await self.platform.ready(ENTRY) == 200
        assert self.platform.entries[ENTRY].poll() is None

    async def check_withstands(self, count: int, script: Script, address: str = "") -> None:
        """Check that a crowd harms nothing, while it is there and afterwards."""
        await self.check_alive()
        idle = process_usage(self.pid)
        with self.meter() as meter:
            with Crowd(address or self.callers_address, count, script) as crowd:
                await self.wait_until(lambda: crowd.is_quiet)
                await self.check_alive()
            assert meter.memory <= MEMORY_MB * MEGABYTE, f"{meter.memory / MEGABYTE:.0f} MB"
            assert meter.descriptors <= MAX_SOCKETS, f"{meter.descriptors} descriptors"
        await self.wait_until(lambda: self.is_back_at(idle.descriptors))
        left = process_usage(self.pid).resident - idle.resident
        assert left <= LEFT_BYTES, f"{left / MEGABYTE:.0f} MB left"
        await self.check_alive()

    async def check_ends(self, count: int, script: Script, interval: float) -> None:
        """Check that the entry ends the connections of a crowd that never does so itself."""
        await self.check_alive()
        idle = process_usage(self.pid)
        with Crowd(self.callers_address, count, script, interval) as crowd:
            await self.wait_until(lambda: crowd.ended == count)
            await self.wait_until(lambda: self.is_back_at(idle.descriptors))
            await self.check_alive()

    def is_back_at(self, descriptors: int) -> bool:
        """Return whether the entry holds about as many descriptors as when it was idle."""
        return process_usage(self.pid).descriptors <= descriptors + LEFT_DESCRIPTORS

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        with anyio.fail_after(WAIT_SECONDS):
            while not condition():
                await anyio.sleep(POLL_SECONDS)


@pytest.fixture()
def with_site(tmp_path: Path):
    """Return a function that runs a test body against an entry."""

    def run(test: Callable[[Site], Awaitable[None]]):
        async def main():
            site = Site(tmp_path)
            platform = site.platform
            try:
                async with anyio.create_task_group() as tasks:
                    await platform.run(tasks)
                    platform.start(ENTRY, LIMITS)
                    await platform.wait_ready(ENTRY)
                    await test(site)
                    tasks.cancel_scope.cancel()
            except BaseException:
                print(platform.report())
                raise
            finally:
                with anyio.CancelScope(shield=True):
                    await platform.close()

        anyio.run(main)

    return run


class TestMemory:
    """Guards against a crowd that makes the process exceed the memory of its machine."""

    @pytest.mark.parametrize("script", [long_field, short_fields, long_target, trailers])
    def test_heads_and_trailers_without_end(self, with_site, script: Script):
        with_site(lambda site: site.check_withstands(FEW, script))

    @pytest.mark.parametrize(
        "script",
        [
            body_short_of_its_end,
            body_in_pieces_short_of_its_end,
            chunked_body_short_of_its_end,
            whole_body,
            body_of_a_read,
        ],
    )
    def test_many_large_bodies(self, with_site, script: Script):
        with_site(lambda site: site.check_withstands(MANY, script))

    def test_requests_ahead_of_their_answers(self, with_site):
        with_site(lambda site: site.check_withstands(FEW, requests_ahead))

    @pytest.mark.parametrize("script", [short_fields, whole_body])
    def test_a_crowd_at_the_readiness_address(self, with_site, script: Script):
        async def test(site: Site):
            await site.check_withstands(MANY, script, site.readiness_address)

        with_site(test)


def many_occurrences() -> bytes:
    """Return a short submission of a job that runs many times, none of them soon."""
    return job_body(step(1), times=10_000, first_run_ms=1.9e12, interval_ms=1000)


def many_steps() -> bytes:
    """Return a short submission of a job with as many steps as a job may have."""
    return job_body(*[{}] * 500)


def many_tasks() -> bytes:
    """Return a short submission of a job with as many tasks as a job may have."""
    return job_body(step(100_000))


class TestJobs:
    """Guards against short submissions of jobs that take a large memory once they are accepted."""

    @pytest.mark.parametrize(
        ("make_body", "count"), [(many_occurrences, 8), (many_steps, 60), (many_tasks, 30)]
    )
    def test_jobs_with_many_parts(self, with_site, make_body: Callable[[], bytes], count: int):
        async def test(site: Site):
            await site.check_alive()
            with site.meter() as meter:
                for number in range(count):
                    path = f"/q/{job_name(number)}"
                    reply = await site.platform.call(ENTRY, "POST", path, make_body())
                    assert reply.status in (200, 503)
                await anyio.sleep(QUIET_SECONDS)
                await site.check_alive()
            assert meter.memory <= MEMORY_MB * MEGABYTE, f"{meter.memory / MEGABYTE:.0f} MB"

        with_site(test)


class TestConnections:
    """Guards against clients that hold connections of the process for as long as they like."""

    def test_more_silent_clients_than_descriptors(self, with_site):
        with_site(lambda site: site.check_withstands(MANY, silence))

    @pytest.mark.parametrize(
        "script",
        [silence, empty_lines, slow_head, after_an_upgrade, body_short_of_its_end, requests_ahead],
    )
    def test_a_connection_is_ended(self, with_site, script: Script):
        with_site(lambda site: site.check_ends(FEW, script, 0.1))
