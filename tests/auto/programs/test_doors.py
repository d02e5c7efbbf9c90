import socket
import subprocess
import unittest

from cluster import PROGRAMS, Cluster, call, free_address, wait_until
from region_case import SAMPLE, RegionCase


def send_raw(address, data, timeout=3.0):
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as peer:
        peer.sendall(data)
        try:
            return peer.recv(4096)
        except OSError:
            return b""


class BadInputTest(RegionCase):
    ENTRIES = 1
    WORKERS = 2

    def test_bad_callers_harm_nobody_else(self):
        self.apply_sample()
        address = self.cluster.any_entry()
        path = b"POST /v1/services/keg-check/requests HTTP/1.1\r\nHost: x\r\n"
        host, port = address.split(":")
        torn = socket.create_connection((host, int(port)))
        torn.sendall(path + b"Content-Length: 1000\r\n\r\nhalf")
        vanished = socket.create_connection((host, int(port)))
        vanished.sendall(path + b"Content-Length: 2\r\n\r\n{}")
        vanished.close()
        slow = socket.create_connection((host, int(port)))
        slow.sendall(b"POST /v1/serv")
        answer = send_raw(address, path + b"Content-Length: 2000000\r\n\r\n" +
                          b"x" * 2000000)
        self.assertIn(b"413", answer.split(b"\r\n")[0])
        send_raw(address, b"\x00\x01nonsense\r\n\r\n", 1.0)
        for i in range(20):
            self.assertEqual(self.cluster.request("keg-check")[0], 200)
        torn.close()
        slow.close()

    def test_each_bad_request_has_its_reason_and_was_not_run(self):
        self.apply_sample()
        path = "/v1/services/%s/requests"
        cases = [
            (call, ("POST", path % "nothing", "{}"), 404, "service_unknown"),
            (call, ("POST", path % "truck-dispatch", "{}"), 400,
             "key_missing"),
            (call, ("POST", path % "truck-dispatch", "{}",
                    {"Idempotency-Key": "no-uuid"}), 400, "bad_request"),
            (call, ("POST", path % "keg-check", "{}", {"Deadline": "soon"}),
             400, "bad_request"),
            (call, ("POST", path % "keg-check", "{}", {"Deadline": "1"}),
             504, "deadline_passed"),
            (call, ("POST", "/v1/jobs", "{"), 400, "bad_request"),
            (call, ("POST", "/v1/jobs", {"job": "j", "team": "nobody"}), 400,
             "bad_request"),
            (call, ("GET", "/v1/jobs/nothing"), 404, "job_unknown"),
            (call, ("POST", "/v1/workers/w/heartbeats", "[]"), 400,
             "bad_request"),
            (call, ("GET", "/admin/v1/outcomes?since=x"), 400, "bad_request"),
            (call, ("GET", "/nowhere"), 404, "bad_request"),
        ]
        address = self.cluster.any_entry()
        for function, arguments, status, reason in cases:
            seen, body = function(address, *arguments)
            self.assertEqual((seen, body.get("reason"), body.get("ran")),
                             (status, reason, "no"), arguments)


class ClosedDoorsTest(unittest.TestCase):
    def test_every_door_is_closed_without_its_token(self):
        with Cluster(entry_sections="") as cluster:
            address = free_address()
            path = cluster.write("closed.ini", (
                "[process]\nname = e\nregion = r\navailability_zone = z\n"
                "http_address = %s\nstream_address = %s\n"
                "[log]\naddress = %s\n") % (
                    address, free_address(), cluster.log_address))
            cluster.spawn("e", [PROGRAMS["entry"], "--settings", path])
            wait_until(lambda: call(address, "GET", "/v1/ready")[0] in
                       (200, 503), 10, "the entry answers")
            for method, door in (
                    ("POST", "/v1/services/s/requests"), ("POST", "/v1/jobs"),
                    ("GET", "/v1/jobs/j"), ("DELETE", "/v1/jobs/j"),
                    ("POST", "/v1/workers/w/heartbeats"),
                    ("GET", "/admin/v1/configuration"),
                    ("PUT", "/admin/v1/configuration"),
                    ("GET", "/admin/v1/status"), ("GET", "/admin/v1/dump"),
                    ("GET", "/admin/v1/metrics"),
                    ("GET", "/admin/v1/outcomes")):
                for headers in ({}, {"Authorization": "Bearer process.wrong"}):
                    status, body = call(address, method, door, "{}", headers)
                    self.assertIn(status, (401, 429), door)
                    self.assertEqual(body["ran"], "no")

    def test_settings_are_refused_whole(self):
        with Cluster() as cluster:
            path = cluster.write("bad.ini", "[process]\nname = e\nx = 1\n")
            run = subprocess.run([PROGRAMS["entry"], "--settings", path],
                                 capture_output=True, text=True, timeout=10)
            self.assertEqual(run.returncode, 1)
            self.assertIn("[process] x: key_unknown", run.stderr)
            self.assertIn("log: section_missing",
                          run.stderr.replace("[log] ", "log: "))


class WrongSecretTest(unittest.TestCase):
    def test_entry_with_another_secret_is_not_heard(self):
        with Cluster() as cluster:
            cluster.start_entry("entry-1")
            stream = cluster.entries["entry-1"]["stream_address"]
            answer = send_raw(stream, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertNotIn(b"200", answer)
            self.assertEqual(cluster.status()["state"], "full")


if __name__ == "__main__":
    unittest.main()
