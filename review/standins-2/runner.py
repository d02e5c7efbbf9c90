"""A stand-in for a runner, which runs tasks under a lease.

What a task does is told by the spec of its job, a JSON object: `work_ms`, the
time that it takes at full pace, and `gang`, the number of tasks of a gang.
"""

import asyncio
import collections
import json
import time

import wire

BEAT_S = 1.5
STEP_S = 0.01
STOP_S = 0.05
GANG_TIMEOUT_S = 3.0
MAX_LISTED_ENDS = 500


class Gangs:
    """The members of all gangs that are present, on whatever runner."""

    def __init__(self):
        self.members = collections.defaultdict(dict)

    @staticmethod
    def key(task, number):
        return task.rsplit(".", 1)[0], number

    def join(self, runner, task, number):
        self.members[self.key(task, number)][task] = runner

    def is_whole(self, task, number, count):
        return len(self.members[self.key(task, number)]) == count

    def leave(self, task, number, how):
        """Ends the other members too, as the end of one does."""
        others = self.members.pop(self.key(task, number), {})
        others.pop(task, None)
        for other, runner in others.items():
            runner.end(other, "done" if how == "done" else "broken")


class Run:
    def __init__(self, number, work_ms, gang):
        self.number = number
        self.work_ms = work_ms
        self.gang = gang  # The number of members; 0: it is in none.
        self.started_at = time.monotonic()
        self.done_ms = 0.0
        self.pace = 1.0
        self.stops_at = None

    @property
    def percent(self):
        return min(99, int(100 * self.done_ms / self.work_ms))


class Runner:
    def __init__(self, settings, record, gangs):
        """`settings`: name, address, agent, service, zone, labels, capacity and
        max_hold_ms. `record` gets what happens: a word, the task, the number of
        its run and how far it is, in percent, or how it has ended."""
        self.settings = settings
        self.record = record
        self.gangs = gangs
        self.refuses_starts = False
        self.fails_starts = False
        self.lives = 0
        self.is_up = False
        self.is_cut_off = False

    async def start(self):
        self.lives += 1
        self.is_up = True
        self.instance = f"i-{self.settings['name']}"
        self.born = time.time_ns() // 1_000_000
        self.began = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.lease_until_ms = 0
        self.active, self.finished, self.ended = {}, [], {}
        self.next_end = 1
        self.news = asyncio.Event()
        self.server = wire.Server(self.settings["address"], self._handle)
        await self.server.open()
        self.record("is up", "", self.lives)
        self.tasks = [asyncio.ensure_future(self._work()),
                      asyncio.ensure_future(self._beat())]

    def cut_off(self):
        """Cuts the paths to and from the agent: connections are refused. What
        runs goes on."""
        self.is_cut_off = True
        self.server.close()
        self.record("is cut off", "", self.lives)

    async def heal(self):
        self.is_cut_off = False
        await self.server.open()
        self.record("is no longer cut off", "", self.lives)

    def crash(self):
        if not self.is_up:
            return
        self.is_up = False
        self.server.close()
        for task in self.tasks:
            task.cancel()
        lost, self.active = self.active, {}
        for task, run in lost.items():
            self.record("loses", task, run.number, run.percent)
        for task, run in lost.items():
            if run.gang:
                self.gangs.leave(task, run.number, "lost")
        self.record("crashes", "", self.lives)

    @property
    def name(self):
        return self.settings["name"]

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def end(self, task, how):
        run = self.active.pop(task, None)
        if run is None:
            return
        self.ended[task] = max(self.ended.get(task, 0), run.number)
        self.finished.append([self.next_end, task, run.number, how, ""])
        self.next_end += 1
        self.record("ends", task, run.number, how)
        self.news.set()
        if run.gang:
            self.gangs.leave(task, run.number, how)

    async def _work(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            passed_ms, last = (now - last) * 1000, now
            for task, run in list(self.active.items()):
                is_whole = not run.gang or self.gangs.is_whole(
                    task, run.number, run.gang)
                run.done_ms += passed_ms * run.pace if is_whole else 0
                if self.clock_ms() > self.lease_until_ms:
                    self.end(task, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self.end(task, "stopped")
                elif not is_whole and now - run.started_at > GANG_TIMEOUT_S:
                    self.end(task, "alone")
                elif run.done_ms >= run.work_ms and run.stops_at is None:
                    self.end(task, "done")

    def beat(self):
        self.sequence += 1
        return {"service": self.settings["service"],
                "address": self.settings["address"],
                "zone": self.settings["zone"], "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0,
                "capacity": self.settings["capacity"],
                "labels": self.settings["labels"], "machine": f"m-{self.name}",
                "clock_ms": self.clock_ms(), "sequence": self.sequence,
                "born": self.born}

    async def _beat(self):
        while True:
            if self.is_cut_off:
                await asyncio.sleep(STEP_S)
                continue
            status, _ = await wire.call(
                self.settings["agent"], "PUT", f"/v1/instances/{self.instance}",
                self.beat(), timeout_s=1.0)
            await asyncio.sleep(BEAT_S if status == 200 else 0.1)

    def _take_lease(self, body):
        if "deadline_ms" in body:
            longest = self.clock_ms() + self.settings["max_hold_ms"]
            self.lease_until_ms = max(self.lease_until_ms,
                                      min(body["deadline_ms"], longest))

    async def _handle(self, request):
        if request.headers.get("x-expect-instance") != self.instance:
            return 421, {"clock_ms": self.clock_ms()}
        body = request.json()
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        handler = {"/v1/run-start": self._start, "/v1/run-stop": self._stop,
                   "/v1/hold": self._hold, "/v1/pace": self._pace}
        return await handler[request.path](body)

    async def _start(self, body):
        task, number = body["task"], body["run_id"]
        if self.refuses_starts:
            self.record("refuses", task, number)
            return 503, {"clock_ms": self.clock_ms()}
        known = self.active.get(task)
        self._take_lease(body)
        if known and known.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.ended.get(task, 0) or known:
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        if self.lease_until_ms <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        spec = json.loads(body["spec"])
        self.active[task] = Run(number, spec["work_ms"], spec.get("gang", 0))
        self.record("starts", task, number)
        if spec.get("gang"):
            self.gangs.join(self, task, number)
        if self.fails_starts:
            self.end(task, "failed")
        return 200, {"clock_ms": self.clock_ms()}

    async def _stop(self, body):
        task, number = body["task"], body["run_id"]
        run = self.active.get(task)
        if run and run.number <= number:
            if run.stops_at is None:
                run.stops_at = time.monotonic() + STOP_S
                self.record("is told to stop", task, number, run.percent)
        else:
            self.ended[task] = max(self.ended.get(task, 0), number)
        return 200, {"clock_ms": self.clock_ms()}

    async def _pace(self, body):
        run = self.active.get(body["task"])
        if run and run.number == body["run_id"]:
            run.pace = body["percent"] / 100
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body):
        self._take_lease(body)
        seen = body.get("last_seen", 0)
        for end in self.finished:
            if end[0] <= seen:
                self.record("is told that the end is noted of", end[1], end[2],
                            end[3])
        self.finished = [end for end in self.finished if end[0] > seen]
        if body.get("wait_ms", 0) > 0 and not self.finished:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock_ms(), "born": self.born,
            "active": [[task, run.number, "", run.percent,
                        int(500 * run.pace)]
                       for task, run in self.active.items()],
            "finished": self.finished[:MAX_LISTED_ENDS]}
