"""The project's programs as processes, with the review's stand-ins around them and
paths between their machines that can be cut."""

import asyncio
import os
import pathlib
import random
import shutil
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "review/standins"))

import deployment
import http_peer
import runner as standin
import store as standin_store
from relay import Relay

UNUSED_ADDRESS = "127.0.0.1:9"
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build/release"))
deployment.FRONT = str(BUILD / "platform/papayadrift-front")
deployment.AGENT = str(BUILD / "platform/papayadrift-agent")


class Runner(standin.Runner):
    """Runs end exactly when the lease does, however late that is noticed, and ends
    that no longer count since the lease has lapsed are recorded as such."""

    def __init__(self, *arguments, **options):
        *others, record = arguments
        super().__init__(*others, lambda text: record(text, self.late_s), **options)
        self.late_s = 0  # How long ago what is recorded happened.
        self.silence_s = 0  # Before the first heartbeat.
        self.lost_part = 0  # Of the answers to calls.
        # Seconds after which the next start is carried out, without an answer; 0: at
        # once.
        self.start_delay_s = 0

    def _expire(self):
        late_ms = self.clock_ms() - self.lease_until_ms
        if self.lease_until_ms == 0 or late_ms <= 0:
            return
        for _, task, number, _, _ in self.finished:
            self.record(f"excused {task} run {number} on {self.name}")
        self.late_s = late_ms / 1000
        for task in list(self.active):
            self._end(task, "lapsed")
        self.late_s = 0
        self.lease_until_ms = 0

    async def handle(self, request):
        if not self.is_up:
            raise http_peer.Reset()
        if request.path.endswith("/run-start") and self.start_delay_s > 0:
            asyncio.ensure_future(self._carry_out_late(request, self.start_delay_s))
            self.start_delay_s = 0
            raise http_peer.Drop()
        life = self.lives
        self._expire()
        answer = await super().handle(request)
        if life != self.lives or random.random() < self.lost_part:
            raise http_peer.Drop()
        return answer

    async def _carry_out_late(self, request, delay_s):
        """By the process that is up by then."""
        await asyncio.sleep(delay_s)
        if self.is_up:
            self._expire()
            await super().handle(request)

    async def restart(self, gap_s, silence_s):
        """Starts again under the same name, first heard of after `silence_s`."""
        self.crash()
        await asyncio.sleep(gap_s)
        self.silence_s = silence_s
        instance = self.instance
        await self.start()
        self.instance = instance

    def cut_off(self):
        """Cuts the paths between the runner and its agent: connections are refused
        both ways. What runs goes on."""
        self.agent_before_cut, self.agent = self.agent, UNUSED_ADDRESS
        self.server.stop()

    async def heal(self):
        self.agent = self.agent_before_cut
        if self.is_up and self.server.server is None:
            await self.server.start()

    async def announce_departure(self, instance):
        await http_peer.call(self.agent, "DELETE", f"/v1/instances/{instance}")

    async def _announce(self):
        await asyncio.sleep(self.silence_s)
        await super()._announce()

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            self._expire()
            now = time.monotonic()
            for task, run in list(self.active.items()):
                if now >= run.ends_at:
                    self._end(task, "done")


class Store(standin_store.Store):
    relay = None

    async def append(self, topic, request):
        request.body = self.relay.translate(request.body)
        return await super().append(topic, request)


class RelayedDeployment(deployment.Deployment):
    def __init__(self, seed, **options):
        self.random = random.Random(seed)
        self.jobs = []
        deployment.Runner, deployment.Store = Runner, Store
        super().__init__(tempfile.mkdtemp(), **options)
        first, second, third = self.network.split(".")
        self.relay = Relay(self.network, f"{first}.{int(second) ^ 1}.{third}")
        self.store.relay = self.relay

    async def start(self):
        for program in self.fronts + self.agents:
            settings = program.path.read_text()
            ip = settings.split('\nip = "')[1].split('"')[0]
            program.ip = ip
            port = int(settings.split("internal_ports = [")[1].split(",")[0])
            await self.relay.listen(ip, port)
        await super().start()

    def record(self, text, late_s=0):
        """Records what happened `late_s` ago."""
        super().record(text)
        at, _ = self.lines.pop()
        self.lines.append((at - late_s, text))

    async def submit_next(self, tasks, task_ms, cpu):
        job = f"{self.random.getrandbits(64):016x}"
        front = self.random.choice(self.fronts)
        self.jobs.append(job)
        await self.submit(front, job, task_ms,
                          [{"count": tasks, "cpu": cpu, "mem_mb": 64,
                            "estimated_ms": task_ms}])
        return job

    def doubled_runs(self, job=None):
        """Checks the rule TWICE for all jobs; returns what broke it.

        A start is wrong while another run of the task is at work, or after a run of
        it has ended `done`, if that end is taken note of then or later and the
        runner's lease has not lapsed in between.
        """
        words = [(at, text.replace(":", "").split())
                 for at, text in sorted(self.lines, key=lambda it: it[0])]
        excused = {tuple(it[1:6]) for _, it in words if it[0] == "excused"}
        noted = {tuple(it[1:6]) for _, it in words if it[0] == "noted"} - excused
        at_work, done, broken = {}, {}, []
        for at, it in words:
            if it[0] not in ("start", "end"):
                continue
            task, run = it[1], tuple(it[1:6])
            if it[0] == "end":
                at_work.get(task, set()).discard(run)
                if it[-1] == "done" and run in noted:
                    done[task] = f"{' '.join(run[1:])} was done at {at:.2f} s"
                continue
            if at_work.get(task):
                others = [" ".join(other[1:]) for other in at_work[task]]
                broken.append(f"{at:.2f} s: {' '.join(run)} starts beside {others}")
            elif task in done:
                broken.append(f"{at:.2f} s: {' '.join(run)} starts, {done[task]}")
            at_work.setdefault(task, set()).add(run)
        return broken

    def stop(self):
        self.relay.stop()
        super().stop()
        if os.environ.get("KEEP") == "1":
            print("record:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
