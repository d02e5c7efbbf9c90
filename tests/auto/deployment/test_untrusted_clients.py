"""No client ends a process, or makes it use more memory or descriptors than its VM has,
or keeps an ordinary caller out: for each listener of each program, and each input."""

import asyncio
import http.client
import os
import pathlib
import resource
import shutil
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tests/auto/programs"))

import cluster
import crowd
import relayed_deployment
from relayed_deployment import deployment

SEED = int(os.environ.get("SEED", "1"))
MB = 1 << 20
MAX_DESCRIPTORS = 256
# All that a VM of these settings has, for front and agent.
VM_MEMORY_MB = 48
# Entry and guard have no such setting. They start with less than a fourth of this.
PROGRAM_MEMORY_MB = 96
ANSWER_S = 30  # Long enough for the slowest machine.
START_S = 30


def ask(address, method, path):
    """Returns the status of one request on a connection of its own, or None."""
    connection = http.client.HTTPConnection(address, timeout=ANSWER_S)
    try:
        connection.request(method, path, headers={"Host": deployment.HOST})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


async def until_answered(request, expected):
    for _ in range(START_S * 20):
        if await asyncio.to_thread(ask, *request) == expected:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"{request} is not answered {expected}")


class PlatformVm:
    """A front or an agent with the store."""

    memory_mb = VM_MEMORY_MB

    def __init__(self, program):
        self.folder = tempfile.mkdtemp()
        self.all = deployment.Deployment(self.folder, fronts=1, runners=1)
        self.program = (self.all.fronts if program == "front" else self.all.agents)[0]
        text = self.program.path.read_text()
        self.program.path.write_text(text.replace(
            "memory_mb = 260",
            f"memory_mb = {VM_MEMORY_MB}\nmax_fds = {MAX_DESCRIPTORS}"))
        self.ip = text.split('\nip = "')[1].split('"')[0]
        self.internal_port = text.split("internal_ports = [")[1].split(",")[0]
        self.addresses = {
            key: text.split(f'\n{key} = "')[1].split('"')[0]
            for key in ("readiness", "control_plane") if f'\n{key} = "' in text}

    async def start(self):
        await self.all.store.server.start()
        self.all.configure()
        self.program.start()
        if "readiness" in self.addresses:
            await until_answered(
                (self.addresses["readiness"], "GET", "/v1/readyz"), 200)

    def address(self, listener):
        return {"callers": getattr(self.program, "address", None),
                "readiness": self.addresses.get("readiness"),
                "control": self.addresses.get("control_plane"),
                "metrics": f"{self.ip}:9464",
                "internal": f"{self.ip}:{self.internal_port}"}[listener]

    @property
    def process(self):
        return self.program.process

    def stop(self):
        self.all.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class ClusterProgram:
    """An entry or a guard, whose descriptors are limited by the system."""

    memory_mb = PROGRAM_MEMORY_MB

    def __init__(self, program):
        self.name = program
        self.cluster = cluster.Cluster()

    async def start(self):
        await asyncio.to_thread(self._start)

    def _start(self):
        self.cluster.__enter__()
        if self.name == "entry":
            with limited_descriptors():
                self.cluster.start_entry("entry-1", wait=False)
            self.cluster.wait_ready("entry-1", START_S)
            self.process = self.cluster.entries["entry-1"]["process"].popen
            self.http_address = self.cluster.entries["entry-1"]["address"]
            return
        self.http_address = cluster.free_address()
        path = self.cluster.write("guard.ini", (
            "[process]\nworker = w\navailability_zone = z\nhttp_address = %s\n"
            "[backend]\naddress = %s\nslots = 8\n") % (
                self.http_address, cluster.free_address()))
        with limited_descriptors():
            self.process = self.cluster.spawn(
                "guard", [cluster.PROGRAMS["guard"], "--settings", path]).popen

    def address(self, listener):
        del listener
        return self.http_address

    def stop(self):
        self.cluster.__exit__()


class limited_descriptors:
    """What is started within has MAX_DESCRIPTORS."""

    def __enter__(self):
        self.before = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, self.before[1]))

    def __exit__(self, *unused):
        resource.setrlimit(resource.RLIMIT_NOFILE, self.before)


# Listener to what runs it, and an ordinary request with the status of its answer.
LISTENERS = {
    "front_callers": (PlatformVm, ("GET", "/jobs/0123456789abcdef"), 410),
    "front_readiness": (PlatformVm, ("GET", "/v1/readyz"), 200),
    "front_metrics": (PlatformVm, ("GET", "/metrics"), 200),
    "front_internal": (PlatformVm, ("GET", "/internal/v1/leader"), 200),
    "agent_control": (PlatformVm, ("DELETE", "/v1/instances/r9"), 200),
    "agent_metrics": (PlatformVm, ("GET", "/metrics"), 200),
    "agent_internal": (PlatformVm, ("GET", "/internal/v1/unknown"), 404),
    "entry_callers": (ClusterProgram, ("GET", "/v1/ready"), 200),
    "guard_entries": (ClusterProgram, ("GET", "/admin/v1/dump"), 200),
}


class UntrustedClientsCase(unittest.IsolatedAsyncioTestCase):
    listener = ""

    async def asyncSetUp(self):
        # The store's reads are under way when the test ends; each would be reported.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    async def check(self, name):
        program, _, door = self.listener.partition("_")
        kind, request, status = LISTENERS[self.listener]
        it = kind(program)
        clients = None
        try:
            await it.start()
            address = it.address(door)
            await until_answered((address, *request), status)
            start_mb = crowd.memory_bytes(it.process.pid, "VmHWM") // MB
            clients = crowd.Crowd(address, SEED)
            await clients.send(name)
            self.assertIsNone(it.process.poll(), "the process has ended")
            answer = await asyncio.to_thread(ask, address, *request)
            self.assertIsNone(it.process.poll(), "the process has ended")
            peak_mb = crowd.memory_bytes(it.process.pid, "VmHWM") // MB
            now_mb = crowd.memory_bytes(it.process.pid, "VmRSS") // MB
            descriptors = len(os.listdir(f"/proc/{it.process.pid}/fd"))
            print(f"{self.listener} {name}: {start_mb} MB at the start, peak {peak_mb}, "
                  f"then {now_mb}; {descriptors} descriptors; answered {answer}")
            self.assertEqual(
                {"peak is bounded": peak_mb < it.memory_mb,
                 "memory is bounded": now_mb < it.memory_mb,
                 "descriptors are bounded": descriptors <= MAX_DESCRIPTORS,
                 "answer": answer},
                {"peak is bounded": True, "memory is bounded": True,
                 "descriptors are bounded": True, "answer": status})
        finally:
            if clients is not None:
                clients.close()
            it.stop()


def make_case(listener):
    def make_test(name):
        async def test(self):
            await self.check(name)
        return test

    tests = {f"test_{it}": make_test(it) for it in crowd.INPUTS}
    return type(listener, (UntrustedClientsCase,), {"listener": listener, **tests})


for _listener in LISTENERS:
    globals()[_listener] = make_case(_listener)
del UntrustedClientsCase  # Has no input of its own.

if __name__ == "__main__":
    unittest.main()
