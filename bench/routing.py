"""Waiting time and goodput of routing policies, by load and under faults."""

from __future__ import annotations

import logging

from bench.routing_model import CAPACITY, Result, Scenario, simulate
from bench.table import Row, verdict

LOADS = (0.5, 0.8, 0.95, 1.5)
BASELINES = ("random", "round_robin")
CANDIDATES = ("least_loaded", "two_choices", "slot_shares", "expected_wait")
CHOSEN_POLICY = "expected_wait"
FAULTS = ("slow", "failing", "paused", "down", "leaving", "entry lost")
FAULT_LOAD = 0.8
MAX_FAULT_RATIO = 2.0
MIN_GOODPUT_SHARE = 0.95
MAX_EXTRA_ATTEMPTS_SHARE = 0.1
MAX_FAILED_SHARE = 0.001
MAX_HEDGED_RATIO = 1.02
SWEEP_SECONDS = 1.5


def rows() -> list[Row]:
    """Return the rows of this group."""
    logging.getLogger("ragworttiller").setLevel(logging.ERROR)
    result = []
    for load in LOADS:
        runs = {n: _run(n, load) for n in (*BASELINES, *CANDIDATES)}
        result.append(_load_row(load, runs))
    healthy = simulate(Scenario(CHOSEN_POLICY, FAULT_LOAD, hedging=True))
    result.extend(_fault_row(fault, healthy) for fault in FAULTS)
    result.extend(_retry_row(hedging) for hedging in (False, True))
    result.append(_hedge_row())
    return result


def _run(policy: str, load: float) -> Result:
    return simulate(Scenario(policy, load, seconds=SWEEP_SECONDS))


def _format_runs(runs: dict[str, Result], names: tuple[str, ...]) -> str:
    return ", ".join(
        f"{n} {runs[n].p50:.0f}/{runs[n].p99:.0f}/{runs[n].refused / runs[n].offered:.1%}"
        f"/{runs[n].goodput / CAPACITY:.2f}"
        for n in names
    )


def _load_row(load: float, runs: dict[str, Result]) -> Row:
    ours = runs[CHOSEN_POLICY]
    target, met = "", ""
    if load > 1:
        target = f"goodput {MIN_GOODPUT_SHARE} of capacity, refused within 10 ms"
        reached = ours.goodput >= MIN_GOODPUT_SHARE * CAPACITY and ours.refused_p99 <= 10
        met = verdict(reached, "requests were admitted that could not meet their deadlines")
    return Row(
        "routing",
        f"p50 ms/p99 ms/refused/goodput to capacity at {load} of capacity",
        _format_runs(runs, BASELINES),
        _format_runs(runs, CANDIDATES),
        target,
        met,
    )


def _fault_row(fault: str, healthy: Result) -> Row:
    base = simulate(Scenario("random", FAULT_LOAD, fault))
    ours = simulate(Scenario(CHOSEN_POLICY, FAULT_LOAD, fault, hedging=True))
    fast = ours.p99 <= MAX_FAULT_RATIO * healthy.p99
    few_failed = ours.failed + ours.refused <= MAX_FAILED_SHARE * ours.offered
    cause = (
        "requests failed at the runner before it was excluded"
        if fast
        else "the runner was excluded late"
    )
    return Row(
        "routing",
        f"one runner {fault}" if fault != "entry lost" else fault,
        f"random p99 {base.p99:.0f} ms, failed {base.failed}, refused {base.refused}",
        f"{CHOSEN_POLICY} p99 {ours.p99:.0f} ms, failed {ours.failed}, refused {ours.refused}"
        f" of {ours.offered}; healthy {healthy.p99:.0f} ms",
        f"p99 within {MAX_FAULT_RATIO:g} of healthy, failed up to {MAX_FAILED_SHARE:.1%}",
        verdict(fast and few_failed, cause),
    )


def _retry_row(hedging: bool) -> Row:
    run = simulate(Scenario(CHOSEN_POLICY, 0.5, "third failing", hedging))
    extra_attempts = run.attempts - run.requests
    return Row(
        "routing",
        f"upstream that fails 30 %, retries{' and hedges' if hedging else ''}",
        "30 % failed without retries",
        f"{extra_attempts / run.requests:.1%} more attempts, {run.failed / run.offered:.1%} failed",
        f"below {MAX_EXTRA_ATTEMPTS_SHARE:.0%} more",
        verdict(
            extra_attempts < MAX_EXTRA_ATTEMPTS_SHARE * run.requests,
            "the retry budget was exceeded",
        ),
    )


def _hedge_row() -> Row:
    scenarios = {
        "at 0.5": Scenario(CHOSEN_POLICY, 0.5),
        "at 0.8": Scenario(CHOSEN_POLICY, 0.8),
        "at 0.95": Scenario(CHOSEN_POLICY, 0.95),
        "at 0.8, one runner slow": Scenario(CHOSEN_POLICY, 0.8, "slow"),
    }
    unhedged = {name: simulate(scenario) for name, scenario in scenarios.items()}
    hedged = {name: simulate(s._replace(hedging=True)) for name, s in scenarios.items()}
    return Row(
        "routing",
        "hedging after three mean times: p50/p99 in ms, more attempts",
        "without: " + ", ".join(f"{r.p50:.0f}/{r.p99:.0f} {n}" for n, r in unhedged.items()),
        "with: "
        + ", ".join(
            f"{r.p50:.0f}/{r.p99:.0f}/{r.hedges / r.requests:.1%} {n}" for n, r in hedged.items()
        ),
        f"p99 at most {MAX_HEDGED_RATIO - 1:.0%} higher",
        verdict(
            all(hedged[n].p99 <= unhedged[n].p99 * MAX_HEDGED_RATIO for n in scenarios),
            "hedges take slots that first attempts need",
        ),
    )
