"""The answer to a start is lost and the order is carried out seconds later.
Meanwhile the task is done, and its runner has started again under its id."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import platform_standin as platform  # noqa: E402

HOST = "nony24.example"
PREFIX = "/lohu930/"
LATE_S = 8  # Of 2 to 12.
TASK_S = 0.9
DOWN_S = 1.5


async def play(lab):
    await lab.start([lab.route("route", HOST, PREFIX)])
    lab.behaviour = lambda task, run, runner: (TASK_S, "done")
    job = platform.job_id()
    delayed = []

    def delay_of(path, order):
        is_chosen = (path == "/v1/run-start" and not delayed and
                     order["task"].startswith(job))
        if not is_chosen:
            return None
        delayed.append(order["task"])
        return LATE_S

    for vm in lab.vms:
        vm.delay_of = delay_of
    # Other orders, of which the late one is less than a twentieth.
    other = {"spec": "(text)", "steps": [{"count": 40, "cpu": 500,
                                          "mem_mb": 256, "estimated_ms": 900}]}
    if not await lab.submit(HOST, PREFIX + platform.job_id(), other):
        raise RuntimeError("the other job was not accepted")
    body = {"spec": "(text)", "steps": [{"count": 1, "cpu": 500, "mem_mb": 256,
                                         "estimated_ms": 900}]}
    if not await lab.submit(HOST, PREFIX + job, body):
        raise RuntimeError("the job was not accepted")
    for _ in range(50):
        if await lab.state(lab.fronts[0], HOST, PREFIX + job) == "completed":
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError("the job was not done")
    # The end has been taken note of: the job is shown as completed.
    done_at = asyncio.get_running_loop().time()
    runner = next(it for _, task, _, it, _ in lab.ends if task in delayed)
    if platform.has_trouble():
        await runner.vm.crash()
        await asyncio.sleep(DOWN_S)
        await runner.vm.start(runner.id)
    await asyncio.sleep(LATE_S + 3)
    return [f"TWICE: {task} run {run} starts on {it.id} born {it.born}, "
            f"{at - done_at:.1f} s after its job was shown as completed"
            for at, task, run, it, _ in lab.starts
            if task in delayed and at > done_at]


# One of the deployment's eleven runners crashes.
platform.run_case(HERE, play, runners=11)
