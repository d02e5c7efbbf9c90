"""Plays drawn disturbances of a deployment and checks that no task runs twice.

Usage: soak.py SEED SECONDS, with the build folder in BUILD_DIR. Exits 1 if one does.
"""

import asyncio
import os
import signal
import sys

from relayed_deployment import UNUSED_ADDRESS, RelayedDeployment

TASKS_PER_JOB = 6
JOB_PERIOD_S = 0.12
CANCELLED_PART = 0.15
LONGEST_SILENCE_S = 9
LONGEST_START_DELAY_S = 12


class Soak:
    def __init__(self, seed):
        self.it = RelayedDeployment(seed, fronts=3, runners=5)
        self.random = self.it.random
        self.calls = set()

    def spawn(self, call):
        task = asyncio.ensure_future(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def submit_and_cancel(self):
        job = await self.it.submit_next(TASKS_PER_JOB,
                                        self.random.choice([200, 800, 2500]), 300)
        if self.random.random() < CANCELLED_PART:
            await asyncio.sleep(self.random.uniform(0.1, 2))
            await self.it.cancel(self.random.choice(self.it.fronts), job)

    async def feed(self):
        while True:
            self.spawn(self.submit_and_cancel())
            await asyncio.sleep(JOB_PERIOD_S)

    async def cut(self):
        count = self.random.randint(1, 2)
        self.it.relay.cut(self.random.sample(self.it.agents, count))
        await asyncio.sleep(self.random.uniform(0.5, LONGEST_SILENCE_S))
        self.it.relay.heal()

    async def pause(self):
        program = self.random.choice(self.it.fronts + self.it.agents)
        program.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, LONGEST_SILENCE_S))
        program.send(signal.SIGCONT)

    async def kill(self):
        groups = [self.it.fronts, self.it.agents,
                  [self.random.choice(self.it.fronts)],
                  [self.random.choice(self.it.agents)],
                  self.it.fronts + self.it.agents]
        killed = self.random.choice(groups)
        for program in killed:
            program.kill()
        await asyncio.sleep(self.random.uniform(0.05, 1))
        for program in killed:
            if program.process.poll() is not None:
                program.start()

    async def crash(self):
        runner = self.random.choice([it for it in self.it.runners if it.is_up])
        gap_s = self.random.uniform(0.02, 1.5)
        if self.random.random() < 0.5:
            await runner.restart(gap_s, self.random.uniform(0, 1.5))
        else:
            runner.crash()
            await asyncio.sleep(gap_s)
            await runner.start()

    async def refuse(self):
        runner = self.random.choice(self.it.runners)
        if runner.is_up and runner.agent != UNUSED_ADDRESS:
            runner.cut_off()
            await asyncio.sleep(self.random.uniform(0.1, LONGEST_SILENCE_S))
            await runner.heal()

    async def depart_late(self):
        """The departure of an earlier process under the name of a later one."""
        runner = self.random.choice(self.it.runners)
        if not runner.is_up:
            return
        instance = runner.instance
        await runner.restart(self.random.uniform(0.02, 0.5), 0)
        await asyncio.sleep(self.random.uniform(0, 4))
        if self.random.random() < 0.5:
            runner.state = "draining"
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
        await runner.announce_departure(instance)
        await asyncio.sleep(self.random.uniform(0, 2))
        if runner.is_up and runner.state == "draining":
            await runner.restart(0.1, 0)

    async def hold_up_start(self):
        """A start that is carried out late, often by the next process of its runner."""
        runner = self.random.choice(self.it.runners)
        runner.start_delay_s = self.random.uniform(0.5, LONGEST_START_DELAY_S)
        await asyncio.sleep(self.random.uniform(0, 4))
        if runner.is_up and self.random.random() < 0.7:
            await runner.restart(self.random.uniform(0.02, 1.5),
                                 self.random.uniform(0, 1.5))

    async def lose_answers(self):
        runner = self.random.choice(self.it.runners)
        runner.lost_part = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(self.random.uniform(1, 5))
        runner.lost_part = 0

    async def stop_store(self):
        self.it.store.is_down = True
        await asyncio.sleep(self.random.uniform(0.3, 4.2))
        self.it.store.is_down = False

    async def disturb(self, seconds):
        kinds = [self.cut, self.pause, self.kill, self.crash, self.crash,
                 self.refuse, self.refuse, self.depart_late, self.hold_up_start,
                 self.hold_up_start, self.lose_answers, self.stop_store]
        until = self.it.now() + seconds
        while self.it.now() < until:
            kind = self.random.choice(kinds)
            self.it.record(f"disturbance: {kind.__name__}")
            if kind == self.cut or self.random.random() < 0.6:
                await kind()
            else:
                self.spawn(kind())
            await asyncio.sleep(self.random.uniform(0.2, 3))

    async def play(self, seconds):
        try:
            await self.it.start()
            feed = asyncio.ensure_future(self.feed())
            await asyncio.sleep(1.5)
            await self.disturb(seconds)
            await asyncio.sleep(LONGEST_SILENCE_S + 8)
            feed.cancel()
            await asyncio.sleep(4)
            return self.it.doubled_runs()
        finally:
            for program in self.it.fronts + self.it.agents:
                if program.process is not None and program.process.poll() is None:
                    program.send(signal.SIGCONT)
            self.it.stop()


def main():
    seed, seconds = int(sys.argv[1]), float(sys.argv[2])
    broken = asyncio.run(Soak(seed).play(seconds))
    print(f"seed {seed}:", "held" if not broken else
          f"{len(broken)} starts, such as " + "; ".join(broken[:4]))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
