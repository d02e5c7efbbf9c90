"""The operator removes a route and adds it again. A task that has failed as
often as it may while the route was away starts once more."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import platform_standin as platform  # noqa: E402

HOST = "nony24.example"
PREFIX = "/lohu930/"
MAX_ATTEMPTS = 2
TASK_S = 4.0
# Longer than config_apply_ms.
BETWEEN_VERSIONS_S = 6.0


async def play(lab):
    route = lab.route("route", HOST, PREFIX, max_attempts=MAX_ATTEMPTS)
    other = lab.route("other", HOST, "/wuny96/")
    await lab.start([route, other])
    # The first run fails at once, each later one after some seconds.
    lab.behaviour = lambda task, run, runner: (
        0.3 if run == 1 else TASK_S, "failed")
    job = platform.job_id()
    body = {"spec": "(text)", "steps": [{"count": 1, "cpu": 500, "mem_mb": 256,
                                         "estimated_ms": 4000}]}
    if not await lab.submit(HOST, PREFIX + job, body):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1.5)
    if len(lab.starts) != MAX_ATTEMPTS:
        raise RuntimeError("the second run has not started")
    lab.configure([other] if platform.has_trouble() else [other, route])
    await asyncio.sleep(BETWEEN_VERSIONS_S)
    lab.configure([route, other])
    await asyncio.sleep(10)
    await lab.state(lab.fronts[0], HOST, PREFIX + job)
    failed = [at for at, _, _, _, how in lab.ends if how == "failed"]
    return [f"BUDGET: {task} run {run} starts after {MAX_ATTEMPTS} runs have "
            "ended failed"
            for at, task, run, *_ in lab.starts
            if sum(end < at for end in failed) >= MAX_ATTEMPTS]


platform.run_case(HERE, play)
