"""Starts papayadrift's programs and stand-ins on loopback, for the demo and
for tests of whole processes."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[3]
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build/release"))

PROGRAMS = {
    "entry": BUILD / "src/apps/entry/papayadrift-entry",
    "guard": BUILD / "src/apps/guard/papayadrift-guard",
    "ctl": BUILD / "src/apps/ctl/papayadrift-ctl",
    "log": BUILD / "standins/log/papayadrift-standin-log",
    "worker": BUILD / "standins/worker/papayadrift-standin-worker",
}


held_ports = []


def free_address():
    """Returns an address on which nobody listens. Its port stays bound until
    this process ends, so that the kernel gives it to nobody else; programs
    that listen with SO_REUSEADDR, as all of ours do, can still take it."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    held_ports.append(holder)
    return "127.0.0.1:%d" % holder.getsockname()[1]


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """Returns (status, body as JSON or text); status 0 without an answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
        try:
            return response.status, json.loads(text)
        except ValueError:
            return response.status, text
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


def wait_until(condition, timeout, what):
    """Polls until the condition holds; fails with `what` after the timeout."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError("Waited %g s in vain until %s." % (timeout, what))


def new_key(age_seconds=0.0):
    """Returns a UUID of version 7 made `age_seconds` ago."""
    milliseconds = int((time.time() - age_seconds) * 1000)
    number = (milliseconds << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    number = (number & ~(0xF << 76)) | (0x7 << 76)
    number = (number & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=number))


class Process:
    def __init__(self, name, arguments, directory, output=None):
        """Writes to a file of its own, or to the descriptor `output`."""
        self.name = name
        self.log_path = pathlib.Path(directory) / (name + ".out")
        self.output = open(self.log_path, "ab")
        self.popen = subprocess.Popen(
            [str(it) for it in arguments],
            stdout=self.output if output is None else output,
            stderr=self.output)

    def is_running(self):
        return self.popen.poll() is None

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def freeze(self):
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.popen.send_signal(signal.SIGCONT)

    def stop(self, timeout=40):
        """Asks for an orderly end and returns the exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(timeout)

    def output_text(self):
        return self.log_path.read_text(errors="replace")


class Cluster:
    """One region: a log, entries and workers. A context manager. With a
    `log_address` the log is someone else's."""

    def __init__(self, lease=None, retained_records=1_000_000,
                 entry_sections="", maximum_deadline="10 s", region="region-1",
                 log_address=None):
        self.lease = {"length": "1500 ms", "tail_freshness": "500 ms",
                      "promise_length": "1 s", "pause_margin": "300 ms",
                      "clock_rate_error": "1", "worker_suspicion": "700 ms",
                      "peer_suspicion": "700 ms", **(lease or {})}
        self.entry_sections = entry_sections
        self.maximum_deadline = maximum_deadline
        self.retained_records = retained_records
        self.directory = tempfile.TemporaryDirectory(prefix="papayadrift-")
        # Written once: an entry may be reading it while another is started.
        self.secret = self.write("secret",
                                 "a shared secret of these tests only\n")
        self.processes = []
        self.entries = {}
        self.workers = {}
        self.last_journals = {}  # Of killed workers.
        self.log = None
        self.region = region
        self.has_own_log = log_address is None
        self.log_address = log_address or free_address()

    def __enter__(self):
        if self.has_own_log:
            self.start_log()
        return self

    def __exit__(self, *unused):
        for process in self.processes:
            if process.is_running():
                process.thaw()
                process.kill()
            process.output.close()
        self.directory.cleanup()

    def spawn(self, name, arguments, output=None):
        process = Process(name, arguments, self.directory.name, output)
        self.processes.append(process)
        return process

    def write(self, name, text):
        path = pathlib.Path(self.directory.name) / name
        path.write_text(text)
        return path

    def start_log(self):
        self.log = self.spawn("log", [
            PROGRAMS["log"], "--address", self.log_address,
            "--retained-records", self.retained_records])
        wait_until(lambda: call(self.log_address, "GET",
                                "/standin/counters")[0] == 200,
                   10, "the log answers")

    def set_log_faults(self, **faults):
        assert call(self.log_address, "PUT", "/standin/faults",
                    faults)[0] == 200

    def log_counters(self):
        return call(self.log_address, "GET", "/standin/counters")[1]

    def start_entry(self, name, zone="zone-1", address=None, peers=None,
                    wait=True, stream_address=None, output=None):
        address = address or free_address()
        stream_address = stream_address or free_address()
        known = [it["stream_address"] for it in self.entries.values()]
        lease = "".join("%s = %s\n" % it for it in self.lease.items())
        path = self.write(name + ".ini", (
            "[process]\nname = %s\nregion = %s\n"
            "availability_zone = %s\nhttp_address = %s\n"
            "stream_address = %s\n[peers]\nstart_addresses = %s\n"
            "secret_file = %s\n"
            "[log]\naddress = %s\ntimeout = 500 ms\n"
            "commit_interval = 5 ms\nappends_per_second = 100\n"
            "[lease]\n%s"
            "[requests]\nmaximum_deadline = %s\n"
            "[access]\nopen_doors = yes\n%s") % (
                name, self.region, zone, address, stream_address,
                ", ".join(known if peers is None else peers), self.secret,
                self.log_address, lease, self.maximum_deadline,
                self.entry_sections))
        process = self.spawn(name, [PROGRAMS["entry"], "--settings", path],
                             output)
        self.entries[name] = {"process": process, "address": address,
                              "stream_address": stream_address}
        if wait:
            self.wait_ready(name)
        return address

    def wait_ready(self, name, timeout=15):
        address = self.entries[name]["address"]
        process = self.entries[name]["process"]
        wait_until(lambda: not process.is_running() or
                   call(address, "GET", "/v1/ready")[0] == 200,
                   timeout, name + " is ready")
        if not process.is_running():
            raise RuntimeError("%s has ended, with exit code %d:\n%s" % (
                name, process.popen.returncode, process.output_text()[-2000:]))

    def start_worker(self, name, zone="zone-1", rack="rack-1", service="",
                     guard=False, guard_hop=None, **options):
        """`guard_hop` is a proxy to stand between guard and backend server."""
        address = free_address()
        arguments = [PROGRAMS["worker"], "--name", name, "--zone", zone,
                     "--rack", rack, "--address", address,
                     "--service", service]
        for entry in self.entries.values():
            arguments += ["--entry", entry["address"]]
        for key, value in options.items():
            arguments.append("--" + key.replace("_", "-"))
            if value is not True:
                arguments.append(value)
        guard_process = None
        if guard:
            guard_address = free_address()
            arguments += ["--runner-address", guard_address]
            path = self.write(name + "-guard.ini", (
                "[process]\nworker = %s\navailability_zone = %s\n"
                "http_address = %s\n[backend]\naddress = %s\nslots = %s\n") % (
                    name, zone, guard_address,
                    guard_hop.address if guard_hop else address,
                    options.get("slots", 8)))
            guard_process = self.spawn(
                name + "-guard", [PROGRAMS["guard"], "--settings", path])
        process = self.spawn(name, arguments)
        self.workers[name] = {"process": process, "address": address,
                              "guard": guard_process}
        return address

    def journal(self, name):
        return call(self.workers[name]["address"], "GET",
                    "/standin/journal")[1]

    def kill_worker(self, name):
        """Kills a worker, and keeps its journal for audits."""
        journal = self.journal(name)
        self.workers[name]["process"].kill()
        killed_us = int(time.monotonic() * 1_000_000)
        for run in journal["tasks"]:
            if run["ended_us"] is None:
                run.update(ended_us=killed_us, end="killed")
        self.last_journals[name] = journal

    def set_worker_faults(self, name, **faults):
        assert call(self.workers[name]["address"], "PUT", "/standin/faults",
                    faults)[0] == 200

    def any_entry(self):
        for entry in self.entries.values():
            if entry["process"].is_running():
                return entry["address"]
        raise RuntimeError("No entry is running.")

    def ctl(self, *arguments):
        """Runs papayadrift-ctl and returns (exit code, its output)."""
        command = [str(PROGRAMS["ctl"]), *[str(it) for it in arguments]]
        if arguments[0] != "validate":
            for entry in self.entries.values():
                command += ["--entry", entry["address"]]
        run = subprocess.run(command, capture_output=True, text=True,
                             timeout=30)
        return run.returncode, run.stdout + run.stderr

    def apply(self, text, *options):
        path = self.write("applied.ini", text)
        return self.ctl("apply", path, *options)

    def status(self, address=None):
        return call(address or self.any_entry(), "GET", "/admin/v1/status")[1]

    def dump(self, address=None):
        return call(address or self.any_entry(), "GET", "/admin/v1/dump")[1]

    def metric_sum(self, address, line_start):
        """Returns the sum over all lines of an entry's metrics that start so."""
        text = call(address, "GET", "/admin/v1/metrics")[1]
        return sum(float(line.rsplit(" ", 1)[1])
                   for line in str(text).splitlines()
                   if line.startswith(line_start))

    def request(self, service, body="{}", address=None, key=None,
                deadline_ms=2000, timeout=15, **headers):
        headers = {name.replace("_", "-"): str(value)
                   for name, value in headers.items()}
        headers["Deadline"] = str(int(time.time() * 1000) + deadline_ms)
        if key:
            headers["Idempotency-Key"] = key
        return call(address or self.any_entry(), "POST",
                    "/v1/services/%s/requests" % service, body, headers,
                    timeout)

    def job(self, name, address=None):
        return call(address or self.any_entry(), "GET", "/v1/jobs/" + name)[1]
