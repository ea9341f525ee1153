"""A job that can never be done, then a gang: see claim.txt."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Cell, main  # noqa: E402

POISON, GANG = "e" * 16, "9" * 16
USUAL = [f"{number:016x}" for number in range(1, 19)]
RUNNERS = 12
MEMBERS = 16
WORK_SECONDS = 0.8
FINISH_SECONDS = 14.0
WATCH_SECONDS = 20.0
ALLOWED_SECONDS = 3.0


async def script(cell: Cell) -> int:
    await cell.begin(
        RUNNERS,
        work=lambda task: WORK_SECONDS,
        fails=lambda task, _: TROUBLE and task.startswith(POISON),
    )
    await asyncio.sleep(2)
    # One job of 20 can never be done.
    step = {"cpu": 5000, "mem_mb": 9000, "estimate_ms": 800}
    for job in USUAL:
        if not await cell.submit(job, [{"count": 6, **step}]):
            return NOT_RUN
        await asyncio.sleep(0.2)
    await asyncio.sleep(1)
    if not await cell.submit(POISON, [{"count": 10, "anti_affinity": 1, **step}]):
        return NOT_RUN
    await asyncio.sleep(4)
    if not await cell.submit(GANG, [{"count": MEMBERS, "gang": True, **step}]):
        return NOT_RUN
    ended = cell.record.now
    cell.record.add("the traffic has ended")
    idle, worst, last = 0.0, 0.0, ended
    while cell.record.now < ended + FINISH_SECONDS + WATCH_SECONDS:
        await asyncio.sleep(0.05)
        now = cell.record.now
        # One end of a member as done represents all.
        done = any(task.startswith(GANG) and how == "done" for task, _, how in cell.ends)
        idle = idle + now - last if not done and not cell.running(GANG) else 0.0
        if now >= ended + FINISH_SECONDS:
            worst = max(worst, min(idle, now - ended - FINISH_SECONDS))
        last = now
    cell.record.add(f"{GANG} had nothing running for {worst:.1f} s on end")
    tasks = [task for m in cell.machines if m.runner is not None for task in m.runner.running]
    cell.record.add(f"{len(tasks)} tasks run on {len(cell.machines)} runners")
    for job in (POISON, GANG):
        await cell.state(job)
    return BROKEN if worst >= ALLOWED_SECONDS else HELD


main(script, HERE)
