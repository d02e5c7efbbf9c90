"""Many tasks of one job end on each runner while the platform's store is down.

A runner lists 500 ends at a time. With TROUBLE=0 the store stays up.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import deployment

OUTAGE_S = 4.2
RUNNERS = 2
TASKS_PER_RUNNER = 620
TASK_MS = 5000


async def play(it, has_trouble):
    front = it.leader()
    job = it.new_id()
    tasks = RUNNERS * TASKS_PER_RUNNER
    status = await it.submit(front, job, TASK_MS,
                             [{"count": tasks, "cpu": 20, "mem_mb": 80,
                               "estimated_ms": TASK_MS}])
    if status != 200:
        raise deployment.CannotRun(f"the job was answered {status}")
    for _ in range(400):
        if any(text.startswith(f"end {job}.") for _, text in it.lines):
            break
        await asyncio.sleep(0.01)
    it.record(f"{len(it.starts(job))} of {tasks} tasks have started")
    if has_trouble:
        it.record("store: down, resets connections")
        it.store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        it.store.is_down = False
        it.record("store: up again")
    for _ in range(60):
        await asyncio.sleep(0.5)
        if await it.state(front, job) == "completed":
            break
    await asyncio.sleep(3)
    return it.doubled_runs(job)


deployment.main(pathlib.Path(__file__).resolve().parent, play, fronts=2,
                runners=RUNNERS)
