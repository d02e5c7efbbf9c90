"""The count of waiting jobs leaves out those whose starts were refused."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import cluster

RUNNERS = 12
JOBS = 12
LABEL = "kegs"  # Of one runner.
WORK_MS = 1_000
UNHEALTHY_S = 6.5
# RULES, MIXED: "accepted over `visible_ms` + 2 s before".
WAITED_S = cluster.BOUNDS["visible_ms"] / 1000 + 2
MARGIN_S = 0.2


async def case(it):
    runner = it.runners[0]
    step = {"count": 2, "cpu": 500, "mem_mb": 256, "estimated_ms": WORK_MS,
            "required_label": LABEL}
    runner.refuses_starts = cluster.is_enabled()
    end = time.monotonic() + UNHEALTHY_S
    accepted = {}
    for i in range(JOBS):
        job = cluster.job_id()
        if await it.submit(it.fronts[i % 2], job, [step],
                           {"work_ms": WORK_MS}) != 200:
            raise RuntimeError("a job was not accepted")
        accepted[job] = time.monotonic()
    broken = []
    while time.monotonic() < end - MARGIN_S:
        await asyncio.sleep(0.25)
        for front in it.fronts:
            asked_at = time.monotonic()
            pending = await it.pending(front)
            # Those that have begun by the answer don't count.
            begun = {event.task.split(".")[0] for event in it.events
                     if event.what == "starts"}
            waiting = [job for job, at in accepted.items()
                       if job not in begun and asked_at - at > WAITED_S]
            if pending is not None and pending < len(waiting) / 2:
                broken.append(
                    f"MIXED: {asked_at - it.began:.1f} s: {front.name} gives "
                    f"{pending} as pending; {len(waiting)} jobs accepted over "
                    f"{WAITED_S:.0f} s before have not begun")
    runner.refuses_starts = False
    it.record(f"{runner.name} is healthy")
    await asyncio.sleep(6)
    for job in accepted:
        await it.state(it.fronts[0], job)
    return broken


if __name__ == "__main__":
    sys.exit(cluster.play(case, FOLDER, fronts=2, runners=RUNNERS,
                          labels={0: [LABEL]}))
