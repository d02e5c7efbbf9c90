"""The project's programs as processes, between the stand-ins.

`play` runs a case: it starts a deployment, lets the case act and judge, and ends
all processes. It returns the exit code of the script.
"""

import asyncio
import functools
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
import tomllib
import traceback
import typing

import runner
import store
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIMIT_S = 118
MAX_ATTEMPTS = 3
HOST, PREFIX, QUEUE = "kegs.example", "/lohu930/", "r-kegs"
SERVICE, ZONES = "keg-return", ["zone-a", "zone-b", "zone-c", "zone-d"]
BOUNDS = {"max_hold_ms": 10000, "grace_s": 6, "status_s": 120, "cancel_ms": 3000,
          "visible_ms": 3000, "stop_timeout_ms": 900, "finish_s": 14,
          "contact_ms": 3000}
PORTS = {"caller": 8161, "readiness": 8167, "control": 8166, "app": 8165,
         "internal": 7720, "store": 8169, "metrics": 9464}


def is_enabled():
    """Whether the script is to cause the trouble."""
    return os.environ.get("TROUBLE") != "0"


def command_of(role):
    with open(ROOT / "deploy/system.toml", "rb") as file:
        return tomllib.load(file)["roles"][role]["run"].split()


def free_network():
    """Returns the first three numbers of loopback addresses that are unused."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for port in PORTS.values():
                with socket.socket() as it:
                    it.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Program:
    def __init__(self, role, name, folder, settings):
        self.name = name
        self.command = command_of(role)
        self.path = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.path.write_text(settings)
        self.process = None

    def start(self):
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env=env | {"PAPAYADRIFT_SETTINGS": str(self.path)})

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.process = None


class Event(typing.NamedTuple):
    """What a runner has done or was told."""

    at: float
    runner: str
    what: str
    task: str
    run: int
    detail: object

    def __str__(self):
        run = f" {self.task} run" if self.task else ", life"
        detail = "" if self.detail is None else (
            f": {self.detail}" if isinstance(self.detail, str)
            else f" at {self.detail}%")
        return f"{self.runner} {self.what}{run} {self.run}{detail}"


class Cluster:
    """`is_brief`: the record sums up what the runners do in each second."""

    def __init__(self, fronts, runners, labels=None, is_brief=False):
        self.began = time.monotonic()
        self.lines = []
        self.events = []
        self.is_brief = is_brief
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = free_network()
        self.store = store.Store(f"{self.network}.2:{PORTS['store']}")
        self.gangs = runner.Gangs()
        self.fronts, self.agents, self.runners = [], [], []
        for i in range(fronts):
            self.add_front(i)
        for i in range(runners):
            self.add_runner(i, (labels or {}).get(i, []))

    async def watch_idle(self, job, front, watch_s, limit_s):
        """Returns a line for each time in which nothing has run for `limit_s`
        on any runner, until the job is completed."""
        idle, idle_since, asked_at = [], None, 0
        end = time.monotonic() + watch_s
        while time.monotonic() < end:
            now = time.monotonic()
            if now - asked_at >= 2:
                asked_at = now
                if await self.state(front, job) == "completed":
                    break
            if any(it.active for it in self.runners):
                idle_since = None
            elif idle_since is None:
                idle_since = now
            elif now - idle_since >= limit_s:
                idle.append(
                    f"LOST: {now - self.began:.1f} s: for "
                    f"{now - idle_since:.1f} s nothing of the job {job} has been "
                    "running, and nothing else on any runner")
                idle_since = now
            await asyncio.sleep(0.02)
        return idle

    def record(self, text):
        self.lines.append((time.monotonic() - self.began, text))

    def on_event(self, runner_name, what, task, run, detail=None):
        event = Event(time.monotonic() - self.began, runner_name, what, task,
                      run, detail)
        self.events.append(event)
        if not self.is_brief:
            self.record(str(event))

    def ends(self, job, how):
        """Returns the tasks of the job of which a run has ended so."""
        return {it.task for it in self.events if it.what == "ends"
                and it.detail == how and it.task.startswith(job)}

    def record_text(self):
        lines = list(self.lines)
        if self.is_brief:
            sums = {}
            for it in self.events:
                key = (int(it.at), it.runner, it.what,
                       it.detail if isinstance(it.detail, str) else "")
                sums.setdefault(key, []).append(it)
            for (second, name, what, how), them in sums.items():
                lines.append((second + 1, f"{name} {what} {how} in this second: "
                              f"{len(them)}, first {them[0].task} run "
                              f"{them[0].run}, last {them[-1].task} run "
                              f"{them[-1].run}"))
        return [f"{at:8.3f} {line}" for at, line in
                sorted(lines, key=lambda it: it[0])]

    def _settings(self, name, ip, zone, side):
        control = f'control_plane = "{ip}:{PORTS["control"]}"'
        listen = control if side else (
            f'frontend = "{ip}:{PORTS["caller"]}"\n'
            f'readiness = "{ip}:{PORTS["readiness"]}"\n' + control)
        bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
        return f'''node_name = "{name}"
machine_class = "{"side" if side else "edge"}"
ip = "{ip}"
zone = "{zone}"
region = "region"
internal_ports = [{PORTS["internal"]}, {PORTS["internal"] + 15}]
heartbeat_ms = 1500
orders = "invocation"
service = "{SERVICE}"
[listen]
{listen}
[limits]
cpu_share = {0.15 if side else 0.25}
cores = 1
[bounds]
{bounds}
[platform]
address = "{self.network}.2:{PORTS["store"]}"
form = "log"
max_record_bytes = {store.MAX_RECORD_BYTES}
max_request_bytes = {store.MAX_REQUEST_BYTES}
'''

    def add_front(self, i, name=None):
        """Those from the hundredth on have addresses in a network of their own."""
        first, second, third = self.network.split(".")
        ip = (f"{self.network}.{10 + i}" if i < 100 else
              f"{first}.{int(second) ^ 1}.{i // 100}.{1 + i % 100}")
        name = name or f"edge-{i + 1}"
        front = Program("front", name, self.folder,
                        self._settings(name, ip, ZONES[i % 4], False))
        front.address = f"{ip}:{PORTS['caller']}"
        front.readiness = f"{ip}:{PORTS['readiness']}"
        self.fronts.append(front)
        return front

    def add_runner(self, i, labels):
        ip, app_ip = f"{self.network}.{50 + i}", f"{self.network}.{150 + i}"
        name, zone = f"side-{i + 1}", ZONES[i % 4]
        self.agents.append(Program("agent", name, self.folder,
                                   self._settings(name, ip, zone, True)))
        self.runners.append(runner.Runner(
            {"name": f"runner-{i + 1}", "address": f"{app_ip}:{PORTS['app']}",
             "agent": f"{ip}:{PORTS['control']}", "service": SERVICE,
             "zone": zone, "labels": ["a", f"r-{i + 1}", *labels],
             "max_hold_ms": BOUNDS["max_hold_ms"],
             "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0}},
            functools.partial(self.on_event, f"runner-{i + 1}"), self.gangs))

    async def start(self):
        await self.store.open()
        await self.store.put("op", "config", {
            "version": 7,
            "routes": [{"name": QUEUE, "host": HOST, "path_prefix": PREFIX,
                        "kind": "non_idempotent", "timeout_ms": 3000,
                        "target_latency_ms": 1000, "priority": 0,
                        "service": SERVICE, "max_attempts": MAX_ATTEMPTS,
                        "target_factor": 2.0}],
            "services": [{"name": SERVICE, "health_path": "/healthz",
                          "max_connections": 64, "protocol": "h1",
                          "tls": False, "enforce_capacity": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}})
        for program in self.fronts + self.agents:
            program.start()
        for it in self.runners:
            await it.start()
        for front in self.fronts:
            await self.wait_until(front, self.is_ready)
        # Elects a leader and lets the runners get their first leases.
        await asyncio.sleep(4)

    async def is_ready(self, front):
        status, _ = await wire.call(front.readiness, "GET", "/v1/readyz")
        return status == 200

    async def wait_until(self, subject, condition, limit_s=10):
        end = time.monotonic() + limit_s
        while not await condition(subject):
            if time.monotonic() > end:
                raise RuntimeError("the deployment does not get ready")
            await asyncio.sleep(0.05)

    async def ask(self, front, method, path, body=None, deadline_ms=3000):
        status, answer = await wire.call(
            front.address, method, path, body,
            {"host": HOST, "x-deadline-ms": deadline_ms}, deadline_ms / 1000)
        self.record(f"client: {method} {path} at {front.name}: "
                    f"{status or 'no answer'} {answer.decode()[:80]}")
        return status, json.loads(answer) if answer else None

    async def submit(self, front, job, steps, spec, **schedule):
        status, _ = await self.ask(
            front, "POST", PREFIX + job,
            {"spec": json.dumps(spec), "steps": steps} | schedule)
        return status

    async def state(self, front, job):
        _, answer = await self.ask(front, "GET", PREFIX + job)
        return (answer or {}).get("state")

    async def pending(self, front):
        _, answer = await self.ask(front, "GET", PREFIX)
        return (answer or {}).get("pending")

    def stop(self):
        for it in self.runners:
            if it.is_up:
                it.crash()
        for program in self.fronts + self.agents:
            program.kill()
        self.store.server.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    return f"{random.getrandbits(64):016x}"


def play(case, folder, **options):
    """`case` gets the running cluster and returns what broke the rule, as a list
    of lines. Writes record.txt to `folder`."""
    cluster = Cluster(**options)

    async def run():
        try:
            await cluster.start()
            return await case(cluster)
        finally:
            cluster.stop()

    async def run_in_time():
        return await asyncio.wait_for(run(), LIMIT_S)

    # Also ends the processes if the script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run_in_time())
        code = 1 if broken else 0
    except Exception:
        broken, code = ["The case could not run.", traceback.format_exc()], 2
    text = cluster.record_text()
    text += ["", f"TROUBLE={1 if is_enabled() else 0}", *broken,
             f"exit code {code}"]
    (pathlib.Path(folder) / "record.txt").write_text("\n".join(text) + "\n")
    print("\n".join(broken[:5] + [f"exit code {code}"]))
    return code
