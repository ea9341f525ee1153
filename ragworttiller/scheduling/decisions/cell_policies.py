"""Scheduling policies of a cell, chosen by name."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from ragworttiller.config.entry import EntryBounds, EntryPolicies
from ragworttiller.scheduling.decisions.advice import (
    AllCandidates,
    CandidatePolicy,
    UsefulCandidates,
)
from ragworttiller.scheduling.decisions.copies import CopyPolicy, NoCopies, StragglerCopies
from ragworttiller.scheduling.decisions.estimates import (
    EstimatePolicy,
    LearntEstimates,
    SubmittedEstimates,
)
from ragworttiller.scheduling.decisions.evacuation import (
    CertainSuccessors,
    EvacuationPolicy,
    RoomOnPaper,
)
from ragworttiller.scheduling.decisions.fair_order import NoShares, ShareOrder, WeightedShares
from ragworttiller.scheduling.decisions.headroom import ArrivalHeadroom, HeadroomPolicy, NoHeadroom
from ragworttiller.scheduling.decisions.keep_apart import KeepApart
from ragworttiller.scheduling.decisions.kinds import AvoidSlowKinds, IgnoreKinds, KindPolicy
from ragworttiller.scheduling.decisions.last_tasks import LastTasksPolicy, StartNow, WaitForFast
from ragworttiller.scheduling.decisions.learned_separation import LearnedSeparation
from ragworttiller.scheduling.decisions.moves import CheckpointedMoves, MovePolicy, NoMoves
from ragworttiller.scheduling.decisions.observation import (
    ExpectedEnds,
    LongPollOnly,
    ObservationPolicy,
)
from ragworttiller.scheduling.decisions.queue_order import ArrivalOrder, QueueOrder, SlackOrder
from ragworttiller.scheduling.decisions.separation import SeparationPolicy
from ragworttiller.scheduling.decisions.task_placement import (
    FastTightFit,
    FirstFit,
    PlacementPolicy,
)
from ragworttiller.scheduling.decisions.victims import CheckpointedVictims, NoVictims, VictimPolicy
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.owed_jobs import OwedJobs
from ragworttiller.scheduling.state.workspace_usage import WorkspaceUsage

ORDERS: Mapping[str, Callable[[], QueueOrder]] = {"slack": SlackOrder, "arrival": ArrivalOrder}
PLACEMENTS: Mapping[str, Callable[[], PlacementPolicy]] = {
    "fast_tight_fit": FastTightFit,
    "first_fit": FirstFit,
}
CANDIDATES: Mapping[str, Callable[[], CandidatePolicy]] = {
    "useful": UsefulCandidates,
    "all": AllCandidates,
}
OBSERVATIONS: Mapping[str, Callable[[], ObservationPolicy]] = {
    "expected_ends": ExpectedEnds,
    "long_poll_only": LongPollOnly,
}
PREEMPTIONS: Mapping[str, Callable[[float, float], VictimPolicy]] = {
    "checkpointed": CheckpointedVictims,
    "none": lambda stop_seconds, restore_seconds: NoVictims(),
}
HEADROOMS: Mapping[str, Callable[[], HeadroomPolicy]] = {
    "arrivals": ArrivalHeadroom,
    "none": NoHeadroom,
}
SEPARATIONS: Mapping[str, Callable[[float], SeparationPolicy]] = {
    "none": KeepApart,
    "learned": LearnedSeparation,
}
ShareOrderFactory = Callable[[WorkspaceUsage, OwedJobs, QueueFold], ShareOrder]
SHARE_ORDERS: Mapping[str, ShareOrderFactory] = {
    "weighted": WeightedShares,
    "none": lambda usage, owed, config: NoShares(),
}

COPIES: Mapping[str, Callable[[], CopyPolicy]] = {"stragglers": StragglerCopies, "none": NoCopies}

MOVES: Mapping[str, Callable[[float, float], MovePolicy]] = {
    "checkpointed": CheckpointedMoves,
    "none": lambda stop_seconds, restore_seconds: NoMoves(),
}
KINDS: Mapping[str, Callable[[], KindPolicy]] = {
    "avoid_slow": AvoidSlowKinds,
    "none": IgnoreKinds,
}
EVACUATIONS: Mapping[str, Callable[[float], EvacuationPolicy]] = {
    "certain_successors": CertainSuccessors,
    "room_on_paper": lambda stop_seconds: RoomOnPaper(),
}
LAST_TASKS: Mapping[str, Callable[[float], LastTasksPolicy]] = {
    "wait_for_fast": WaitForFast,
    "start_now": lambda stop_seconds: StartNow(),
}
ESTIMATES: Mapping[str, Callable[[], EstimatePolicy]] = {
    "learnt": LearntEstimates,
    "submitted": SubmittedEstimates,
}


class CellPolicies(NamedTuple):
    """Policies of one owner, and the longest time in seconds that a run takes to stop.

    ``shares`` makes the order by shares of a cell.
    """

    order: QueueOrder
    placement: PlacementPolicy
    candidates: CandidatePolicy
    observation: ObservationPolicy
    victims: VictimPolicy
    headroom: HeadroomPolicy
    stop_seconds: float
    shares: ShareOrderFactory
    copies: CopyPolicy
    moves: MovePolicy
    kinds: KindPolicy
    estimates: EstimatePolicy
    last_tasks: LastTasksPolicy
    separation: SeparationPolicy
    evacuation: EvacuationPolicy


def choose_policies(names: EntryPolicies, bounds: EntryBounds) -> CellPolicies:
    """Return new policies for an owner; some of them keep what they observe.

    Parameters
    ----------
    names : EntryPolicies
        Names of the policies, from the checked settings.
    bounds : EntryBounds
        Bounds that the platform sets.
    """
    stop_seconds = bounds.stop_grace_ms / 1000
    return CellPolicies(
        ORDERS[names.order](),
        PLACEMENTS[names.placement](),
        CANDIDATES[names.candidates](),
        OBSERVATIONS[names.observation](),
        PREEMPTIONS[names.preemption](stop_seconds, bounds.restore_ms / 1000),
        HEADROOMS[names.headroom](),
        stop_seconds,
        SHARE_ORDERS[names.shares],
        COPIES[names.copies](),
        MOVES[names.moves](stop_seconds, bounds.restore_ms / 1000),
        KINDS[names.kinds](),
        ESTIMATES[names.estimates](),
        LAST_TASKS[names.last_tasks](stop_seconds),
        SEPARATIONS[names.interference](bounds.interference_ms / 1000),
        EVACUATIONS[names.evacuation](stop_seconds),
    )


def default_policies() -> CellPolicies:
    """Return the policies that entries use without a setting."""
    return choose_policies(EntryPolicies(), EntryBounds())
