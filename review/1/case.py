"""A runner crashes under a gang: see claim.txt."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Cell, main  # noqa: E402

GANG = "9" * 16
RUNNERS = 12
MEMBERS = 20
WORK_SECONDS = 6.0
DOWN_SECONDS = 2.0
FINISH_SECONDS = 14.0
WATCH_SECONDS = 25.0
ALLOWED_SECONDS = 3.0


async def crash(cell: Cell) -> None:
    """Let the runner with the most members crash; the others' runs end as broken."""
    rows = [m for m in cell.machines if m.runner is not None]
    machine = max(rows, key=lambda m: len(m.runner.running))
    machine.crash()
    for other in rows:
        for task in list(other.runner.running) if other.runner is not None else []:
            other.runner._end(task, "broken")
    await asyncio.sleep(DOWN_SECONDS)
    await machine.up()


async def script(cell: Cell) -> int:
    await cell.begin(RUNNERS, work=lambda task: WORK_SECONDS)
    await asyncio.sleep(2)
    step = {"cpu": 5000, "mem_mb": 9000, "estimate_ms": 6000}
    if not await cell.submit(GANG, [{"count": MEMBERS, "gang": True, **step}]):
        return NOT_RUN
    ended = cell.record.now
    cell.record.add("the traffic has ended")
    deadline = cell.record.now + 10
    while len(cell.running(GANG)) < MEMBERS:
        if cell.record.now > deadline:
            return NOT_RUN
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    if TROUBLE:
        await crash(cell)
        ended = cell.record.now
        cell.record.add("calm from here on")
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
    await cell.state(GANG)
    return BROKEN if worst >= ALLOWED_SECONDS else HELD


main(script, HERE)
