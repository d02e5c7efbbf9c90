"""A runner whose connections are refused for 5 s runs on, and so do its
tasks on other runners."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import cluster

RUNNERS = 6
TASKS = 12
WORK_MS = 4_000
CUT_S = 5.0
END_S = 8


def runs_beside_others(events):
    """Returns a line for each start beside another run of the task."""
    at_work, broken = collections.defaultdict(dict), []
    for event in events:
        if event.what == "starts":
            broken += [f"TWICE: {event.at:.2f} s: {event} beside run {number} on "
                       f"{name}" for name, number in at_work[event.task].items()]
            at_work[event.task][event.runner] = event.run
        elif event.what in ("ends", "loses"):
            at_work[event.task].pop(event.runner, None)
    return broken


async def case(it):
    job = cluster.job_id()
    step = {"count": TASKS, "cpu": 500, "mem_mb": 256, "estimated_ms": WORK_MS}
    if await it.submit(it.fronts[0], job, [step], {"work_ms": WORK_MS}) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1)
    if cluster.is_enabled():
        it.runners[0].cut_off()
        await asyncio.sleep(CUT_S)
        await it.runners[0].heal()
    await asyncio.sleep(END_S)
    await it.state(it.fronts[1], job)
    return runs_beside_others(it.events)


if __name__ == "__main__":
    sys.exit(cluster.play(case, FOLDER, fronts=2, runners=RUNNERS))
