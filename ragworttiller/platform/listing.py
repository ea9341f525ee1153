"""Decoding of the entries that runners keep in the store.

Other writers may leave entries there as well, so each value of an entry is checked here: whatever
is decoded has the type and the bounds that `RunnerEntry` states.
"""

from __future__ import annotations

import ipaddress
import re
from itertools import chain
from typing import Annotated, Literal, NamedTuple

import msgspec

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.boots import boot_name, born_at, runner_id
from ragworttiller.platform.decoding import decode_json
from ragworttiller.resources import Resources

MAX_ENTRY_BYTES = 65_536
MAX_CPU_MILLICORES = 10_000_000
MAX_MEMORY_MIB = 100_000_000
MAX_ACCELERATORS = 10_000
MAX_REMAINING_MS = 30 * 24 * 3_600_000.0
# The end of the year 9999.
MAX_BORN_MS = 253_402_300_799_999
MAX_PORT = 65_535
MAX_LABELS = 64
MAX_NAME_CHARACTERS = 255
MAX_IDENTIFIER_SHOWN = 64

# An identifier is sent in a header, which other characters would end or change.
_IDENTIFIER = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARACTERS}}}")
_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]{2,45}\]|[0-9A-Za-z._-]{1,253}):([1-9][0-9]{0,4})")
_HOST_LABEL = re.compile(r"[0-9A-Za-z_]([0-9A-Za-z_-]{0,61}[0-9A-Za-z_])?")


class RunnerEntry(NamedTuple):
    """State that a runner reports about itself; ``runner`` is the name of its boot.

    ``address`` is ``host:port``, with a host name or an IP address, an IPv6 one in brackets.
    ``capacity`` is not negative and within `MAX_CPU_MILLICORES`, `MAX_MEMORY_MIB` and
    `MAX_ACCELERATORS`. There are up to `MAX_LABELS` labels; they, ``upstream`` and
    ``failure_domain`` have up to `MAX_NAME_CHARACTERS` printable characters each. ``remaining`` is
    the minimum time in seconds until the runner leaves, None if not reported. ``kind`` is the first
    of its labels as reported, empty if there are none.
    """

    runner: str
    upstream: str
    address: str
    failure_domain: str
    capacity: Resources
    labels: frozenset[str]
    draining: bool
    remaining: float | None
    kind: str = ""


_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class _Capacity(msgspec.Struct):
    cpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_CPU_MILLICORES)]
    mem_mb: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MIB)]
    gpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0


class _Entry(msgspec.Struct):
    address: str
    service: Annotated[_Name, msgspec.Meta(min_length=1)]
    state: Literal["ready", "draining"]
    capacity: _Capacity
    zone: _Name = ""
    labels: Annotated[list[_Name], msgspec.Meta(max_length=MAX_LABELS)] = []
    remaining_ms: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_REMAINING_MS)] | None = None
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = 0


def decode_entry(runner: str, value: bytes) -> RunnerEntry:
    """Decode the entry that a runner wrote under its identifier.

    Raises
    ------
    Unreadable
        The bytes are not a valid entry, the address, service, state or capacity is missing, a value
        is out of its bounds, or the identifier cannot be sent or is the name of another runner's
        boot.
    """
    what = f"entry of runner {runner[:MAX_IDENTIFIER_SHOWN]!r}"
    if len(value) > MAX_ENTRY_BYTES:
        raise Unreadable(what=what, problem=f"it has over {MAX_ENTRY_BYTES} bytes")
    wire = decode_json(value, _Entry, what)
    problem = _find_problem(runner, wire, value)
    if problem is not None:
        raise Unreadable(what=what, problem=problem)
    capacity = Resources(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu)
    remaining = None if wire.remaining_ms is None else wire.remaining_ms / 1000
    return RunnerEntry(
        boot_name(runner, wire.born),
        wire.service,
        wire.address,
        wire.zone,
        capacity,
        frozenset(wire.labels),
        wire.state == "draining",
        remaining,
        wire.labels[0] if wire.labels else "",
    )


def _find_problem(runner: str, wire: _Entry, value: bytes) -> str | None:
    """Return what is wrong with an entry whose fields have valid types, None if nothing is."""
    boot = boot_name(runner, wire.born)
    if not _IDENTIFIER.fullmatch(runner):
        return "the identifier is empty, too long or has a character that cannot be sent"
    if (runner_id(boot), born_at(boot)) != (runner, wire.born):
        return "the identifier is the name of a boot of another runner"
    if not _is_utf8(value):
        return "it is not UTF-8"
    if not _is_address(wire.address):
        return "the address is not a host with a port"
    if not all(name.isprintable() for name in chain((wire.service, wire.zone), wire.labels)):
        return "a name has a character that cannot be printed"
    return None


def _is_utf8(value: bytes) -> bool:
    """Return whether bytes are UTF-8, also in the fields that are not read."""
    try:
        value.decode()
    except UnicodeDecodeError:
        return False
    return True


def _is_address(address: str) -> bool:
    """Return whether a text is ``host:port`` with a host to which a connection can be opened."""
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > MAX_PORT:
        return False
    host = match[1]
    labels = host.split(".")
    if not host.startswith("[") and not labels[-1].isdecimal():
        return all(_HOST_LABEL.fullmatch(label) for label in labels)
    try:
        number = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    # A connection to the unspecified address would reach this host itself.
    return not (number.is_unspecified or number.is_multicast)
