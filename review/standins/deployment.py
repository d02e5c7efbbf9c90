"""Starts the project's programs as processes, with stand-ins for the platform.

Everything listens on loopback addresses of its own, since the metrics port of the
programs is fixed.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http_peer
from runner import Runner
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT = "target/platform/papayadrift-front"
AGENT = "target/platform/papayadrift-agent"
SERVICE = "route-service"
HOST = "queue.example"
PREFIX = "/jobs/"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The bounds of the site ballast-norr.
CANCEL_MS = 3000
STOP_TIMEOUT_MS = 400
CONTACT_MS = 3000
FINISH_S = 14
MAX_HOLD_MS = 6000


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(ip):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


def free_port_pair(ip):
    for _ in range(50):
        port = free_port(ip)
        with socket.socket() as it:
            try:
                it.bind((ip, port + 1))
                return port
            except OSError:
                continue
    raise CannotRun("no free ports")


class Program:
    """One process of the project."""

    def __init__(self, command, name, settings, folder):
        self.name = name
        self.command = command
        self.path = folder / f"{name}.toml"
        self.path.write_text(settings)
        self.log = folder / f"{name}.log"
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["PAPAYADRIFT_SETTINGS"] = str(self.path)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [self.command], cwd=ROOT, env=environment, stdout=log,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    def __init__(self, folder, fronts=2, runners=2, cpu=16000):
        self.folder = pathlib.Path(folder)
        self.started_at = time.monotonic()
        self.lines = []
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.next_host = 1
        self.records = open(self.folder / "record.txt", "w")
        ip = self._ip()
        self.store = Store(ip, free_port(ip))
        self.fronts = [self._front(i) for i in range(fronts)]
        self.agents, self.runners = [], []
        for i in range(runners):
            self._runner(i, cpu)

    def _ip(self):
        ip = f"{self.network}.{self.next_host}"
        self.next_host += 1
        return ip

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, text):
        line = f"{self.now():8.3f} {text}"
        self.lines.append((self.now(), text))
        self.records.write(line + "\n")

    def _settings(self, name, ip, cores, more, listen):
        first = free_port_pair(ip)
        return (f'node_name = "{name}"\nip = "{ip}"\nzone = "zone-a"\n'
                f'region = "region-a"\ninternal_ports = [{first}, {first + 1}]\n'
                f'heartbeat_ms = 1500\n{more}'
                f'[listen]\n{listen}'
                f'[limits]\ncpu_share = {cores}\ncores = 1\nmemory_mb = 260\n'
                f'[bounds]\nmax_hold_ms = {MAX_HOLD_MS}\ngrace_s = 6\nstatus_s = 120\n'
                f'cancel_ms = {CANCEL_MS}\nstop_timeout_ms = {STOP_TIMEOUT_MS}\n'
                f'[platform]\naddress = "{self.store.address}"\nform = "log"\n'
                f'max_record_bytes = 262144\nmax_request_bytes = 2097152\n')

    def _front(self, i):
        ip = self._ip()
        name = f"edge-{i + 1}"
        caller, readiness = free_port(ip), free_port(ip)
        settings = self._settings(name, ip, 1.0, 'serves = ["edge"]\n',
                                  f'frontend = "{ip}:{caller}"\n'
                                  f'readiness = "{ip}:{readiness}"\n')
        program = Program(FRONT, name, settings, self.temporary)
        program.address = f"{ip}:{caller}"
        program.readiness = f"{ip}:{readiness}"
        return program

    def _runner(self, i, cpu):
        ip = self._ip()
        name = f"side-{i + 1}"
        control, app = free_port(ip), free_port(ip)
        settings = self._settings(
            name, ip, 1.0,
            f'serves = ["side"]\nservice = "{SERVICE}"\napp = "{ip}:{app}"\n',
            f'control_plane = "{ip}:{control}"\n')
        self.agents.append(Program(AGENT, name, settings, self.temporary))
        self.runners.append(Runner(f"r{i + 1}", ip, app, f"{ip}:{control}", SERVICE,
                                   self.record, cpu=cpu, max_hold_ms=MAX_HOLD_MS))

    def configure(self, max_attempts=3):
        self.store.put_keyed("op", "config", json.dumps({
            "version": 7,
            "routes": [{"name": "r-jobs", "host": HOST, "path_prefix": PREFIX,
                        "kind": "non_idempotent", "timeout_ms": 3000,
                        "target_latency_ms": 1000, "priority": 0,
                        "service": SERVICE, "max_attempts": max_attempts,
                        "target_factor": 2.0}],
            "services": [{"name": SERVICE, "health_path": "/healthz",
                          "max_connections": 64, "protocol": "h1", "tls": False,
                          "enforce_capacity": False, "standby": False}],
            "limits": {"max_body_bytes": 262144}}).encode())

    async def start(self):
        for program in (FRONT, AGENT):
            if not (ROOT / program).exists():
                raise CannotRun(f"{program} is not built")
        await self.store.server.start()
        self.configure()
        for program in self.fronts + self.agents:
            program.start()
        for runner in self.runners:
            await runner.start()
        await self._until_ready()

    async def _until_ready(self):
        """Waits until all fronts are ready and each runner has done a task."""
        for front in self.fronts:
            for _ in range(150):
                status, _ = await http_peer.call(front.readiness, "GET", "/v1/readyz",
                                                 timeout=1.0)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{front.name} is not ready")
        job = self.new_id()
        status = await self.submit(self.fronts[0], job, 50, [{"count": 2 * len(
            self.runners), "cpu": 200, "mem_mb": 100}])
        if status != 200:
            raise CannotRun(f"the first job was answered {status}")
        for _ in range(150):
            if await self.state(self.fronts[0], job) == "completed":
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the first job was not completed")

    def leader(self):
        """The front that the store names as leader, by its last log line of that."""
        found = [(line_time, front) for front in self.fronts
                 for line_time in self._elections(front)]
        if not found:
            raise CannotRun("there is no leader")
        return max(found, key=lambda it: it[0])[1]

    @staticmethod
    def _elections(front):
        times = []
        for line in front.log.read_text().splitlines():
            if '"leader.serves"' in line:
                times.append(json.loads(line)["time"])
        return times

    @staticmethod
    def new_id():
        return f"{random.getrandbits(64):016x}"

    async def submit(self, front, job, task_ms, steps, timeout=3.0):
        self.record(f"submit {job} at {front.name}")
        status, _ = await http_peer.call(
            front.address, "POST", PREFIX + job,
            {"spec": f"ms={task_ms}", "steps": steps},
            {"Host": HOST, "X-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.record(f"submit {job} at {front.name} -> {status}")
        return status

    async def cancel(self, front, job, timeout=3.0):
        self.record(f"cancel {job} at {front.name}")
        status, _ = await http_peer.call(
            front.address, "DELETE", PREFIX + job, None,
            {"Host": HOST, "X-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.record(f"cancel {job} at {front.name} -> {status}")
        return status

    async def state(self, front, job, timeout=3.0):
        status, body = await http_peer.call(front.address, "GET", PREFIX + job, None,
                                            {"Host": HOST}, timeout)
        text = json.loads(body)["state"] if status == 200 else status
        self.record(f"state {job} at {front.name} -> {text}")
        return text

    def starts(self, job):
        """Times at which runners started tasks of the job, with the line."""
        return [(at, text) for at, text in self.lines
                if text.startswith(f"start {job}.")]

    def doubled_runs(self, job):
        """Checks the rule TWICE for the job; returns what broke it, or None.

        A start is wrong while another run of the task is at work, or after a run
        of it has ended `done`, if that end is taken note of then or later.
        """
        at_work, done, noted, broken = {}, {}, set(), []
        for _, text in self.lines:
            words = text.replace(":", "").split()
            if words[0] == "noted" and words[-1] == "done":
                noted.add((words[1], words[3]))
        for at, text in self.lines:
            words = text.replace(":", "").split()
            if words[0] not in ("start", "end") or not words[1].startswith(job):
                continue
            task, run = words[1], words[3]
            if words[0] == "end":
                at_work.get(task, set()).discard(run)
                if words[-1] == "done" and (task, run) in noted:
                    done[task] = (run, at)
                continue
            if at_work.get(task):
                broken.append(f"run {run} of {task} starts at {at:.2f} s beside run "
                              f"{sorted(at_work[task])}")
            elif task in done:
                broken.append(f"run {run} of {task} starts at {at:.2f} s, run "
                              f"{done[task][0]} was done at {done[task][1]:.2f} s")
            at_work.setdefault(task, set()).add(run)
        return f"{len(broken)} starts, such as: {broken[0]}" if broken else None

    def stop(self):
        for program in self.fronts + self.agents:
            program.kill()
        for runner in self.runners:
            if runner.is_up:
                runner.crash()
        self.store.server.stop()
        self.records.close()
        if os.environ.get("KEEP") == "1":
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder, play, **options):
    """Plays a case. `play(deployment, has_trouble)` returns what broke, or None."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(folder, **options)
        try:
            await deployment.start()
            broken = await asyncio.wait_for(play(deployment, has_trouble), 100)
            deployment.record(f"verdict: {'broken: ' + broken if broken else 'held'}")
            print(broken or "held")
            return BROKEN if broken else HELD
        except (CannotRun, asyncio.TimeoutError) as error:
            deployment.record(f"could not run: {error!r}")
            print("could not run:", repr(error))
            return COULD_NOT_RUN
        finally:
            deployment.stop()

    sys.exit(asyncio.run(run()))
