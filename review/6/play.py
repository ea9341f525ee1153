"""Most entries are lost for good; the others must start the jobs of all queues."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from platform2.harness import BROKEN, HELD, HOST, NOT_RUN, SERVICE, Case, run_case
from platform2.runner import Runner

QUICK, SLOW = "/lohu930/", "/pufi791/"
QUICK_JOBS = ("7d1f00000000000a", "7d1f00000000000b")
SLOW_JOBS = ("5c0e7a21d94b36f8", "5c0e7a21d94b36f9")
ENTRIES = 7
LEFT = 2
RUNNERS = 12
TASKS = 4
# `stable_window_ms` is 3 s, and the leases of an earlier owner end within 9 s.
CALM_SECONDS = 12.0
# RULES.md, LOST: a job has nothing running for 3 s though there is room.
PATIENCE_SECONDS = 25.0


def _route(name: str, prefix: str, priority: int, decision: float, worker: float) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "service": SERVICE,
        "type": "unsafe",
        "priority": priority,
        "attempts": 2,
        "slack_factor": 2.2,
        "target_latency_ms": 1200,
        "placement_advisor": {
            "decision_ms": decision,
            "per_worker_ms": worker,
            "validity_ms": 2500,
        },
    }


# The advisor's times of two queues of legoff-cours: copie-notee and certificat-examen.
ROUTES = [
    _route("r-3hwrr6x", QUICK, 0, 18.0, 0.26),
    _route("r-73d3zji", SLOW, 2, 370.0, 5.3),
]
BODY = {
    "spec": "copies",
    "steps": [{"count": TASKS, "cpu": 1300, "mem_mb": 3600, "estimate_ms": 640}],
}


async def _completes(case: Case, path: str, seconds: float) -> bool:
    async def done() -> bool:
        return await case.state(case.entries[0], path) == "completed"

    await case.submit(path, BODY)
    return await case.wait(done, seconds)


async def play(case: Case) -> int:
    case.advisor.set_times(SLOW_JOBS, 0.370, 0.0053)
    await case.begin(ROUTES)
    capacity = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}

    def make(number: int) -> Runner:
        labels = ["a", f"r1-{1 + number // 8}"]
        name = f"i-{number:08x}"
        runner = Runner(name, case.store, case.log, SERVICE, capacity, labels, lambda task: 0.64)
        runner.accepts_ticket = case.advisor.is_valid
        return runner

    await case.add_runners(RUNNERS, make)
    await case.wait_ready()
    if not await _completes(case, QUICK + QUICK_JOBS[0], 15):
        return NOT_RUN
    if not await _completes(case, SLOW + SLOW_JOBS[0], 15):
        return NOT_RUN

    if case.trouble:
        for name in case.entries[LEFT:]:
            case.kill_entry(name)
        case.entries = case.entries[:LEFT]
    await asyncio.sleep(CALM_SECONDS)
    if not await _completes(case, QUICK + QUICK_JOBS[1], 15):
        case.log("the quick queue doesn't work either")
    calls = case.advisor.calls
    done = await _completes(case, SLOW + SLOW_JOBS[1], PATIENCE_SECONDS)
    job = SLOW_JOBS[1]
    begun = sum(task.startswith(job) for runner in case.runners for task in runner.highest)
    case.log("seen", completed=done, tasks_begun=begun, advisor_calls=case.advisor.calls - calls)
    for row in case.log_lines("cell claimed"):
        case.log("entry's own line", claimed=row["instance"], epoch=row["epoch"])
    case.log("entries' own lines", advisor_call_failed=case.count_logs("advisor call failed"))
    return BROKEN if not begun else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play, entries=ENTRIES))
