"""No task runs twice (rule TWICE), with real processes on loopback."""

import asyncio
import os
import unittest

from relayed_deployment import RelayedDeployment

SEED = int(os.environ.get("SEED", "1"))
TASKS_PER_JOB = 6
TASK_MS = 800
TASK_CPU = 400
# Those that outlast a cut, and what is announced meanwhile.
LONG_TASK_MS = 4000
LONG_TASK_CPU = 100
JOB_PERIOD_S = 0.1
CUT_S = 7.5  # Longer than the longest lease with its margins.
LATEST_ARRIVAL_S = 8  # Of what was sent during the cut, after it.
START_DELAY_S = 5  # Longer than its task takes and its runner is down.


class RunsOnceTest(unittest.IsolatedAsyncioTestCase):
    async def play(self, disturb, task_ms=TASK_MS, cpu=TASK_CPU, **options):
        it = RelayedDeployment(SEED, **options)
        try:
            await it.start()
            feed = asyncio.ensure_future(self.feed(it, task_ms, cpu))
            await asyncio.sleep(2)
            if os.environ.get("TROUBLE") != "0":
                await disturb(it)
            await asyncio.sleep(2)
            feed.cancel()
            await asyncio.sleep(task_ms / 1000 + 2)
            self.assertEqual(it.doubled_runs(), [])
        finally:
            it.stop()

    @staticmethod
    async def feed(it, task_ms, cpu):
        calls = set()
        while True:
            call = asyncio.ensure_future(
                it.submit_next(TASKS_PER_JOB, task_ms, cpu))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(JOB_PERIOD_S)

    # Orders that are under way when a machine is cut off arrive after its runs have
    # been given up and its runner has a new lease.
    async def test_orders_delayed_by_a_cut(self):
        async def disturb(it):
            cut = it.agents[:2]
            it.record("cut off: " + ", ".join(agent.name for agent in cut))
            it.relay.cut(cut)
            await asyncio.sleep(CUT_S)
            it.relay.heal()
            it.record("the cut has ended")
            await asyncio.sleep(LATEST_ARRIVAL_S)

        await self.play(disturb, fronts=2, runners=4)

    # A runner that starts again under the same name takes starts that were meant
    # for its earlier process.
    async def test_restarts_under_the_same_name(self):
        async def disturb(it):
            for _ in range(10):
                runner = it.random.choice(it.runners)
                await runner.restart(it.random.uniform(0.02, 0.2),
                                     it.random.uniform(0, 1))
                await asyncio.sleep(it.random.uniform(1, 2))

        await self.play(disturb, fronts=2, runners=3)

    # A start that is held up reaches its runner after the task was done and the runner
    # has started again under its name.
    async def test_late_starts_after_a_restart(self):
        async def disturb(it):
            for runner in it.runners:
                runner.start_delay_s = START_DELAY_S
            await asyncio.sleep(2.5)
            for runner in it.runners:
                await runner.restart(0.2, 0)
            await asyncio.sleep(START_DELAY_S)

        await self.play(disturb, fronts=2, runners=3)

    # A runner whose agent can't connect to it runs on, and so does what it runs.
    async def test_refused_connections(self):
        async def disturb(it):
            for runner in it.runners[:2]:
                runner.cut_off()
                await asyncio.sleep(3)
                await runner.heal()
                await asyncio.sleep(1)

        await self.play(disturb, LONG_TASK_MS, LONG_TASK_CPU, fronts=2, runners=4)

    # A runner that leaves is not answered, ends, and starts again under its name; its
    # departure arrives while the later process drains.
    async def test_late_departure_of_an_earlier_process(self):
        async def disturb(it):
            for runner in it.runners[:2]:
                await runner.restart(0.1, 0)
                await asyncio.sleep(1.5)
                runner.state = "draining"
                await asyncio.sleep(1.7)
                await runner.announce_departure(runner.instance)
                await asyncio.sleep(2)
                await runner.restart(0.1, 0)

        await self.play(disturb, LONG_TASK_MS, LONG_TASK_CPU, fronts=2, runners=4)


if __name__ == "__main__":
    unittest.main()
