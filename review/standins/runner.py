"""A stand-in for a runner of the platform: leases, runs and ends, as in PROTOCOL.

The payload of a job ("ms=800") says how long each of its tasks works.
"""

import asyncio
import re
import time

import http_peer

HEARTBEAT_S = 1.5
MAX_LISTED_ENDS = 500


class Run:
    def __init__(self, number, seconds, now):
        self.number = number
        self.started_at = now
        self.ends_at = now + seconds

    def percent(self, now):
        length = max(self.ends_at - self.started_at, 1e-6)
        return min(99, int(100 * (now - self.started_at) / length))


class Runner:
    def __init__(self, name, ip, port, agent, service, record, *, zone="zone-a",
                 cpu=16000, mem_mb=64000, max_hold_ms=6000):
        self.name = name
        self.server = http_peer.Server(ip, port, self.handle)
        self.agent = agent  # "ip:port" to which it announces itself.
        self.service = service
        self.record = record
        self.zone = zone
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.max_hold_ms = max_hold_ms
        self.lives = 0
        self.jobs = []
        self.is_up = False
        self.ended = 0  # Runs that have ended, in all lives.

    async def start(self):
        """Begins a new life: it knows nothing of an earlier one."""
        self.lives += 1
        self.instance = f"i-{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.token = 0
        self.active = {}
        self.finished = []  # [number, task, run, how, saved]
        self.next_end = 1
        self.highest_ended = {}  # Task to highest run stopped or ended here.
        self.lease_until_ms = 0
        self.state = "ready"
        self.news = asyncio.Event()
        await self.server.start()
        self.is_up = True
        self.record(f"runner {self.name} up")
        self.jobs = [asyncio.ensure_future(self._announce()),
                     asyncio.ensure_future(self._work())]

    def crash(self):
        """Ends at once, as by SIGKILL, with everything that runs on it."""
        self.is_up = False
        for job in self.jobs:
            job.cancel()
        self.server.stop()
        for task, run in self.active.items():
            self.record(f"end {task} run {run.number} on {self.name}: lost with its runner")
        self.active = {}
        self.record(f"runner {self.name} crashed")

    def clock_ms(self):
        return int(time.time() * 1000) - self.born

    async def _announce(self):
        while True:
            self.sequence += 1
            await http_peer.call(
                self.agent, "PUT", f"/v1/instances/{self.instance}",
                {"service": self.service, "address": self.server.address,
                 "zone": self.zone, "version": "v1", "slots": 8,
                 "state": self.state, "cold_remaining_ms": 0,
                 "capacity": self.capacity, "labels": ["a", "r1-1"],
                 "clock_ms": self.clock_ms(), "sequence": self.sequence,
                 "born": self.born, "machine": f"m-{self.name}"}, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S if self.sequence > 1 else 0.3)

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.active and self.clock_ms() > self.lease_until_ms:
                for task in list(self.active):
                    self._end(task, "lapsed")
            for task, run in list(self.active.items()):
                if now >= run.ends_at:
                    self._end(task, "done")

    def _end(self, task, how):
        run = self.active.pop(task)
        self.ended += 1
        self.finished.append([self.next_end, task, run.number, how, ""])
        self.next_end += 1
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run.number)
        self.record(f"end {task} run {run.number} on {self.name}: {how}")
        self.news.set()

    def _refusal(self, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = max(self.token, body.get("fencing_token", 0))
        return None

    def _extend(self, body):
        until = min(body.get("deadline_ms", 0), self.clock_ms() + self.max_hold_ms)
        self.lease_until_ms = max(self.lease_until_ms, until)

    async def handle(self, request):
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.instance:
            return 421, {"clock_ms": self.clock_ms()}
        body = request.json()
        refusal = self._refusal(body)
        if refusal is not None:
            return refusal
        name = request.path.rsplit("/", 1)[-1]
        if name == "run-start":
            return self._start_run(body)
        if name == "run-stop":
            return self._stop_run(body)
        if name == "hold":
            return await self._hold(body)
        if name == "pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def _start_run(self, body):
        task, number = body["task"], body["run_id"]
        run = self.active.get(task)
        if run is not None and run.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        self._extend(body)
        if number <= self.highest_ended.get(task, 0) or run is not None:
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        if self.clock_ms() > self.lease_until_ms:
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        milliseconds = int(re.search(r"ms=(\d+)", body["spec"]).group(1))
        self.active[task] = Run(number, milliseconds / 1000, time.monotonic())
        self.record(f"start {task} run {number} on {self.name}")
        return 200, {"clock_ms": self.clock_ms()}

    def _stop_run(self, body):
        task, number = body["task"], body["run_id"]
        run = self.active.get(task)
        if run is not None and run.number <= number:
            self._end(task, "stopped")
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body):
        self._extend(body)
        last_seen = body.get("last_seen", 0)
        for end in self.finished:
            if end[0] <= last_seen:
                self.record(f"noted {end[1]} run {end[2]} on {self.name}: {end[3]}")
        self.finished = [end for end in self.finished if end[0] > last_seen]
        wait_s = min(body.get("wait_ms", 0), 2000) / 1000
        if wait_s > 0 and not self.finished:
            self.news.clear()
            news = asyncio.ensure_future(self.news.wait())
            await asyncio.wait([news], timeout=wait_s)
            news.cancel()
        now = time.monotonic()
        return 200, {"clock_ms": self.clock_ms(), "born": self.born,
                     "active": [[task, run.number, "", run.percent(now), 100]
                                for task, run in self.active.items()],
                     "finished": self.finished[:MAX_LISTED_ENDS]}
