"""After 510 machines were replaced, agents that start don't find the leader."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import cluster

REPLACED = 510
AT_ONCE = 30
WORK_MS = 1_000
WATCH_S = 30
IDLE_LIMIT_S = 3.0  # RULES, LOST: "for 3 s, a job has nothing running".


async def replace_fronts(it):
    """Machines come one after the other and are lost without a SIGTERM."""
    for first in range(0, REPLACED, AT_ONCE):
        fronts = [it.add_front(100 + i)
                  for i in range(first, min(first + AT_ONCE, REPLACED))]
        for front in fronts:
            front.start()

        async def is_announced(_, fronts=fronts):
            known = it.store.topics["keyed.leader"].newest
            return all(f"front/{front.name}".encode() in known
                       for front in fronts)

        await it.wait_until(None, is_announced, 20)
        for front in fronts:
            front.kill()
            it.fronts.remove(front)
    it.record(f"{REPLACED} more edge machines have come and are gone for good")


async def case(it):
    first, second = it.fronts
    if cluster.is_enabled():
        await replace_fronts(it)
    for agent in it.agents:
        agent.kill()
    for agent in it.agents:
        agent.start()
    it.record("the processes on all side machines were killed and start again")
    job = cluster.job_id()
    step = {"count": 4, "cpu": 500, "mem_mb": 256, "estimated_ms": WORK_MS}
    if await it.submit(first, job, [step], {"work_ms": WORK_MS}) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(cluster.BOUNDS["finish_s"])  # After the end of traffic.
    return await it.watch_idle(job, second, WATCH_S, IDLE_LIMIT_S)


if __name__ == "__main__":
    sys.exit(cluster.play(case, FOLDER, fronts=2, runners=3))
