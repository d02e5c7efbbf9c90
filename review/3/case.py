"""A heartbeat of another writer, with fields missing, reaches an agent.

With TROUBLE=0 it is not sent.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import deployment
import http_peer

TASKS = 8
TASK_MS = 8000


async def play(it, has_trouble):
    front = it.fronts[0]
    job = it.new_id()
    if await it.submit(front, job, TASK_MS,
                       [{"count": TASKS, "cpu": 2000, "mem_mb": 1000,
                         "estimated_ms": TASK_MS}]) != 200:
        raise deployment.CannotRun("the job was not accepted")
    await asyncio.sleep(2)
    if len(it.starts(job)) != TASKS:
        raise deployment.CannotRun("not all tasks have started")
    if has_trouble:
        runner = it.runners[0]
        it.record(f"a heartbeat with fields missing is sent to the agent of {runner.name}")
        status, _ = await http_peer.call(
            runner.agent, "PUT", "/v1/instances/i-foreign",
            # No zone, version, slots, cold_remaining_ms, labels, clock_ms, machine.
            {"service": deployment.SERVICE,
             "address": f"{runner.server.ip}:{deployment.free_port(runner.server.ip)}",
             "state": "ready", "capacity": {"cpu": 16000, "mem_mb": 64000},
             "sequence": 1, "born": int(time.time() * 1000)})
        it.record(f"it is answered {status}")
    await asyncio.sleep(TASK_MS / 1000 + 8)
    await it.state(front, job)
    return it.doubled_runs(job)


deployment.main(pathlib.Path(__file__).resolve().parent, play, fronts=2, runners=2)
