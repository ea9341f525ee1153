"""Property-based test that jobs of every kind start, whichever entries are left after changes.

Guards against what entries keep about each other and nothing keeps true: a record that is missing,
old or of a lost entry must not leave a queue without calls to the advisor. See "What entries keep
about each other" in docs/design-platform.md.
"""

from __future__ import annotations

from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.members_rig import RUNNERS, Change, MembersRig, play
from tests.owners_rig import with_rig

# A thousand examples and more are played by hand.
EXAMPLES = 30
MAX_ENTRIES = 7
KINDS = (
    "kill",
    "stop",
    "stop_late",
    "stop_late",
    "stop_owner",
    "stop_owner",
    "kill_owner",
    "lose",
    "lose_most",
    "lose_power",
    "leave",
    "replace",
    "reuse_address",
    "add",
    "freeze",
    "cut",
    "cut_peers",
    "fail_writes",
    "fail_writes",
    "store_down",
    "expire",
)
LOSS_OF_FIVE = [Change("lose", 0.0, 0.0, 2) for _ in range(5)]
LATE_WITHDRAWAL = [Change("stop_late", 0.0, 0.2, 1), Change("stop_owner", 3.0, 0.2, 0)]


@st.composite
def changes(draw: st.DrawFn) -> list[Change]:
    """Return up to eight changes within 8 s."""
    rows = []
    for _ in range(draw(st.integers(1, 8))):
        at, seconds = draw(st.floats(0.0, 8.0)), draw(st.floats(0.2, 6.0))
        kind, entry = draw(st.sampled_from(KINDS)), draw(st.integers(0, MAX_ENTRIES - 1))
        rows.append(Change(kind, round(at, 1), round(seconds, 1), entry))
    return rows


def problems(entries: int, rows: list[Change], seed: int) -> list[str]:
    """Return what was lost in a play."""
    found: list[str] = []

    async def body(rig: MembersRig):
        found.extend(await play(rig, entries, rows, seed))

    with_rig(body, runners=RUNNERS, rig_type=MembersRig)
    return found


class TestCalmMembers:
    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @example(entries=7, rows=LOSS_OF_FIVE, seed=0)
    @example(entries=5, rows=LATE_WITHDRAWAL, seed=0)
    @given(entries=st.integers(1, MAX_ENTRIES), rows=changes(), seed=st.integers(0, 2**32))
    def test_a_job_of_each_kind_starts_in_time(self, entries: int, rows: list[Change], seed: int):
        assert problems(entries, rows, seed) == []
