"""Messages between instances, sent over pynng in batches.

A message is addressed to one incarnation of an instance; a newer incarnation ignores it.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ragworttiller.codec import MessagePackCodec
from ragworttiller.exceptions import ErrorBody

# Receiver of a message for whichever instance listens at an address.
ANY_INSTANCE = ""


class Envelope(NamedTuple):
    """One message with its addresses.

    ``correlation`` is 0 for one-way messages; a reply has the number of its call.
    ``payload`` is a message encoded with `PAYLOAD_CODEC`.
    """

    sender: str
    sender_incarnation: int
    receiver: str
    receiver_incarnation: int
    correlation: int
    reply: bool
    payload: bytes


class Introduction(NamedTuple):
    """States at which ``IP address:port`` its sender listens; sent first on each connection."""

    address: str


class ErrorReply(NamedTuple):
    """Reply that carries an error."""

    body: ErrorBody


class MemberRow(NamedTuple):
    """State of one instance as the sender knows it.

    ``heartbeat`` is a counter that increases while the instance is alive. ``state`` is ``live``,
    ``leaving`` or ``left``. ``config_offset`` is the next config offset that the instance will
    fold.
    """

    instance: str
    incarnation: int
    heartbeat: int
    state: str
    address: str
    http_address: str
    failure_domain: str
    config_offset: int


class Beat(NamedTuple):
    """Changing part of a `MemberRow`; ``tag`` is the low bits of the incarnation."""

    instance: str
    tag: int
    heartbeat: int
    config_offset: int


class Heartbeat(NamedTuple):
    """States of the members that the sender considers live or leaving, with their names.

    ``rows`` holds the sender itself, the members whose rows changed recently and, in rotation, one
    other member; ``beats`` holds the rest. An answer to a new instance has all of them as ``rows``;
    an announcement of a new state of the sender has only its own row.
    """

    rows: list[MemberRow]
    beats: list[Beat] = []


class Counts(NamedTuple):
    """Heartbeats of the members that the sender considers live or leaving, sorted by name.

    ``view`` identifies the members with their incarnations and states. ``counts`` holds the low 16
    bits of the heartbeat and of the config offset of each, little-endian.
    """

    view: int
    counts: bytes


class NamesWanted(NamedTuple):
    """One-way answer to `Counts` whose view differs: requests a `Heartbeat`."""

    view: int


class ConfigEntries(NamedTuple):
    """Consecutive raw entries of the config stream, from offset ``first``.

    As a call it is answered by `ConfigFetch` with the offset that the receiver needs next.
    """

    first: int
    entries: list[bytes]


class ConfigFetch(NamedTuple):
    """Call for the config from offset ``above`` on.

    Answered by `ConfigEntries`, or by `ConfigState` when the entries are no longer kept.
    """

    above: int


class ConfigState(NamedTuple):
    """State of the config fold after all entries before offset ``as_of``."""

    as_of: int
    data: bytes


class LicensedRequest(NamedTuple):
    """Call that asks the owner of a key's shard to license and send a request.

    ``budget`` is the remaining time in seconds, counted by the receiver from the arrival of the
    call. ``headers`` are pairs of name and value. ``at`` is when the request arrived at its entry,
    in seconds since the epoch.
    """

    key: str
    attempt: str
    workspace: str
    upstream: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    budget: float
    at: float = 0.0


class LicensedAnswer(NamedTuple):
    """Answer of the runner to a licensed request.

    ``replayed`` is true for the recorded answer to an earlier request with the same key.
    """

    status: int
    content_type: str
    body: bytes | None
    replayed: bool


class BurnAttempt(NamedTuple):
    """Call that asks the owner to settle an attempt whose call to an earlier owner was lost.

    Answered by `LicensedAnswer` if the outcome is recorded, `ErrorReply` with ``not_run`` if the
    attempt had no license and can never get one, else with ``outcome_unknown``. ``at`` is that of
    the attempt's request.
    """

    key: str
    attempt: str
    at: float = 0.0


class OutcomeLookup(NamedTuple):
    """Call for the outcome of a key, answered by `LicensedAnswer` or `ErrorReply`."""

    key: str


class CellCall(NamedTuple):
    """Call to the owner of a cell shard: ``verb`` with JSON arguments, answered by `CellReply`."""

    shard: int
    verb: str
    arguments: dict[str, Any]


class CellReply(NamedTuple):
    """JSON result of a `CellCall`."""

    result: Any


class RunnerLoads(NamedTuple):
    """Sender's requests in flight at each runner, and the runners that it has suspended."""

    loads: dict[str, int]
    suspended: list[str]


class ShardRoom(NamedTuple):
    """Free room of one cell shard and its use by workspace.

    The shard's owner sends it soon after a change and repeats it while nothing changes.
    """

    shard: int
    free_cpu: int
    free_memory: int
    free_accelerators: int
    use: dict[str, tuple[int, int, int]]


MESSAGE_TYPES: dict[int, type] = {
    1: ErrorReply,
    2: Heartbeat,
    3: ConfigEntries,
    4: ConfigFetch,
    5: ConfigState,
    6: Counts,
    7: NamesWanted,
    8: Introduction,
    10: LicensedRequest,
    11: LicensedAnswer,
    12: BurnAttempt,
    13: OutcomeLookup,
    20: CellCall,
    21: CellReply,
    30: RunnerLoads,
    31: ShardRoom,
}

PAYLOAD_CODEC = MessagePackCodec(MESSAGE_TYPES)
ENVELOPE_CODEC = MessagePackCodec({1: Envelope})
