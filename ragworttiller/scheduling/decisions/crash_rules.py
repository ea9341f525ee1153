"""Rules for a task whose runners crashed: when it is tried, when it is cleared, when given up.

Load pattern: some tasks crash every runner that starts them, at once or after some seconds, in a
cell where runners also crash for reasons of their own, alone or a rack at a time. So a task is
given up only after trials, in which nothing starts beside it. One that has run for longer than it
took its runners to crash is cleared: the crashes had another cause.
"""

from __future__ import annotations

from collections.abc import Sequence

from ragworttiller.scheduling.records.formats import Blame, Crash

# So soon after a start a crash of another cause is unlikely, on any runner.
PROMPT_CRASH_SECONDS = 0.1
MIN_TRIAL_SECONDS = 0.3
# The longest time for which a trial keeps other tasks from starting on its runner.
MAX_EXCLUSIVE_SECONDS = 5.0
# How much longer than at its crashes a task has to run to be cleared.
TRIAL_STRETCH = 2.0
CRASHES_BESIDE_TO_SUSPECT = 2
# How long a task under which as many runners as allowed may have crashed waits for the proof. A
# lasting task has to run again soon.
MAX_PROOF_WAIT_SECONDS = 15.0
MAX_LASTING_PROOF_WAIT_SECONDS = 3.0
# Crashes at which a task is given up, by how many of them were in a trial that proves it.
CRASHES_TO_GIVE_UP = {0: 4, 1: 4, 2: 3}
MAX_TRIALS_COUNTED = max(CRASHES_TO_GIVE_UP)
# The platform allows to give a task up under which two runners have crashed, and allows two starts
# after the third crash.
MAX_STARTS = 5


def is_suspect(crashes: Sequence[Crash], losses: int = 0) -> bool:
    """Return whether a task may start only as a trial, given the crashes under it.

    ``losses`` is the number of its runners that may only be out of reach. They count only beside a
    crash, since a runner that crashes may answer again only after the next ones have started.
    """
    if not crashes:
        return False
    blamed = any(row.blame != Blame.BESIDE for row in crashes)
    return blamed or len(crashes) + losses >= CRASHES_BESIDE_TO_SUSPECT


def proof_wait_seconds(crashes: Sequence[Crash], losses: int, lasts: bool) -> float:
    """Return for how many seconds a task waits to learn whether its lost runners have crashed.

    It waits only if a runner has crashed under it, and if it could not start again should all of
    its ``losses`` be crashes too. ``lasts`` is whether the task is a lasting one.
    """
    if not crashes or not losses or len(crashes) + losses < MAX_STARTS:
        return 0.0
    return MAX_LASTING_PROOF_WAIT_SECONDS if lasts else MAX_PROOF_WAIT_SECONDS


def trial_seconds(crashes: Sequence[Crash]) -> float:
    """Return for how long a task has to run on a runner to be cleared of its crashes."""
    longest = max((row.seconds for row in crashes), default=0.0)
    return max(TRIAL_STRETCH * longest, MIN_TRIAL_SECONDS)


def exclusive_seconds(crashes: Sequence[Crash]) -> float:
    """Return for how long nothing else starts on the runner of a trial, in seconds."""
    return min(trial_seconds(crashes), MAX_EXCLUSIVE_SECONDS)


def gives_up(crashes: Sequence[Crash]) -> bool:
    """Return whether a task with these crashes is not started again.

    One that was only ever beside others goes on. A loss that was proved too late to tell whether
    the runner crashed under its tasks counts nevertheless if the task was alone on it. A machine
    that goes down and up again counts once, but for crashes right after a start.
    """
    crashes = _of_different_machines(crashes)
    trials = sum(row.blame == Blame.TRIAL for row in crashes)
    blamed = sum(row.blame != Blame.BESIDE or row.alone for row in crashes)
    if blamed and len(crashes) >= MAX_STARTS:
        return True
    counted = len(crashes) if trials else blamed
    return counted >= CRASHES_TO_GIVE_UP[min(trials, MAX_TRIALS_COUNTED)]


def _of_different_machines(crashes: Sequence[Crash]) -> list[Crash]:
    """Return the crashes without those that their machine may have had of itself.

    Of the crashes of one machine, that with the most that speaks for it is kept.
    """
    rows: list[Crash] = []
    known: dict[str, int] = {}
    for crash in crashes:
        repeated = crash.address in known and crash.seconds > PROMPT_CRASH_SECONDS
        if not repeated:
            if crash.address:
                known.setdefault(crash.address, len(rows))
            rows.append(crash)
        elif _weight(crash) > _weight(rows[known[crash.address]]):
            rows[known[crash.address]] = crash
    return rows


def _weight(crash: Crash) -> int:
    """Return how much speaks for a crash, more for more."""
    if crash.blame == Blame.TRIAL:
        return 2
    return int(crash.blame != Blame.BESIDE or crash.alone)
