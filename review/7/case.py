"""A job that repeats 4,500 times is shown as completed after 4,096."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import cluster

REPEATS = 4500 if cluster.is_enabled() else 4000
INTERVAL_MS = 10
WORK_MS = 20
SHOWN_LIMIT_S = 90
LATE_LIMIT_S = 10


async def case(it):
    job = cluster.job_id()
    step = {"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": WORK_MS}
    status = await it.submit(it.fronts[0], job, [step], {"work_ms": WORK_MS},
                             repeat_count=REPEATS, interval_ms=INTERVAL_MS,
                             start_at_ms=time.time_ns() // 1_000_000 + 1000)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    end = time.monotonic() + SHOWN_LIMIT_S
    while await it.state(it.fronts[1], job) != "completed":
        if time.monotonic() > end:
            raise RuntimeError("the job is not shown as completed in time")
        await asyncio.sleep(1)
    shown_at = time.monotonic() - it.began
    await asyncio.sleep(LATE_LIMIT_S)
    done = it.ends(job, "done")
    missing = [k for k in range(REPEATS) if f"{job}.{k}.0.0" not in done]
    it.record(f"{len(done)} of {REPEATS} tasks have ended done")
    if not missing:
        return []
    return [f"MIXED: the job {job} was shown as completed at {shown_at:.1f} s; "
            f"{LATE_LIMIT_S} s later {len(missing)} of its tasks have not ended "
            f"so, the first {job}.{missing[0]}.0.0"]


if __name__ == "__main__":
    sys.exit(cluster.play(case, FOLDER, fronts=2, runners=3, is_brief=True))
