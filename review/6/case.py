"""A job with 65,536 tasks blocks each leader once its tasks are done."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import cluster

TASKS_PER_STEP = 4096
STEPS = 16 if cluster.is_enabled() else 8
WORK_MS = 1
RUN_LIMIT_S = 60
CHAIN, CHAIN_MS = 5, 300  # The steps of the small job, one after the other.
WATCH_S = 20
IDLE_LIMIT_S = 3.0  # RULES, LOST: "for 3 s, a job has nothing running".


async def case(it):
    first, second = it.fronts
    large, small = cluster.job_id(), cluster.job_id()
    step = {"count": TASKS_PER_STEP, "cpu": 10, "mem_mb": 1,
            "estimated_ms": WORK_MS}
    if await it.submit(first, large, [step] * STEPS, {"work_ms": WORK_MS}) != 200:
        raise RuntimeError("the large job was not accepted")
    end = time.monotonic() + RUN_LIMIT_S
    while len(it.ends(large, "done")) < TASKS_PER_STEP * STEPS:
        if time.monotonic() > end:
            raise RuntimeError("the tasks of the large job are not done in time")
        await asyncio.sleep(1)
    it.record(f"all {TASKS_PER_STEP * STEPS} tasks of {large} have ended done")
    chain = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimated_ms": CHAIN_MS}
             | ({"depends_on": [i - 1]} if i else {}) for i in range(CHAIN)]
    if await it.submit(first, small, chain, {"work_ms": CHAIN_MS}) != 200:
        raise RuntimeError("the small job was not accepted")
    await asyncio.sleep(cluster.BOUNDS["finish_s"])  # After the end of traffic.
    idle = await it.watch_idle(small, second, WATCH_S, IDLE_LIMIT_S)
    await it.state(second, large)
    return idle


if __name__ == "__main__":
    sys.exit(cluster.play(case, FOLDER, fronts=2, runners=4, is_brief=True))
