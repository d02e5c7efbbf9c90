import json
import socket
import struct
import threading
import time
import unittest

import audit
from cluster import new_key, wait_until
from cutting_proxy import Cut, CuttingProxy
from load import callers_at
from region_case import RegionCase

# Closing with this sends a reset instead of an orderly end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Longer than anything here takes, also on a busy machine.
LONG_MS = 8000


class RunnerFaultsTest(RegionCase):
    """Both services have one runner behind a proxy that cuts; the checks have
    a second one without."""
    WORKERS = 0
    ENTRIES = 2

    def setUp(self):
        super().setUp()
        self.proxies = {}
        for name, service in (("worker-0", "truck-dispatch"),
                              ("worker-1", "keg-check")):
            proxy = self.enterContext(CuttingProxy(""))
            self.proxies[service] = proxy
            proxy.target = self.cluster.start_worker(
                name, rack=name, service=service, slots=8, work=10,
                runner_address=proxy.address)
        self.cluster.start_worker("worker-2", rack="rack-2",
                                  service="keg-check", slots=8, work=10)
        self.apply_sample()

    def send(self, service, count, **options):
        addresses = [it["address"] for it in self.cluster.entries.values()]
        answers = []
        for i in range(count):
            body = json.dumps({"service": service, "i": i,
                               "salt": new_key(), "fill": "x" * 64})
            answers.append((body, *self.cluster.request(
                service, body, address=addresses[i % 2], **options)))
        return answers

    def test_cut_connections_to_runners(self):
        for cut in Cut:
            with self.subTest(cut=cut):
                for proxy in self.proxies.values():
                    proxy.cut = cut
                checks = self.send("keg-check", 12, deadline_ms=LONG_MS)
                keys = [new_key() for _ in range(4)]
                dispatches = []
                for key in keys:
                    dispatches += self.send("truck-dispatch", 1, key=key,
                                            deadline_ms=LONG_MS)
                    # The caller tries again with the key.
                    self.send("truck-dispatch", 0)
                runs = audit.body_runs(self.cluster)
                self.assertEqual(audit.lies(checks + dispatches, runs), [])
                key_runs = audit.key_runs(self.cluster)
                for key in keys:
                    self.assertLessEqual(key_runs[key], 1)
                # A check is sent again elsewhere, within the retry budget.
                self.assertGreater(
                    sum(status == 200 for _, status, _ in checks), 0)
                if cut in (Cut.NEVER, Cut.AFTER_ANSWER):
                    self.assertEqual({it[1] for it in checks + dispatches},
                                     {200})
        for proxy in self.proxies.values():
            proxy.cut = Cut.NEVER
        wait_until(lambda: self.send("truck-dispatch", 1, key=new_key())[0][1]
                   == 200, 10, "dispatches go through again")

    def test_repeat_after_a_cut_dispatch_never_runs_it_again(self):
        proxy = self.proxies["truck-dispatch"]
        address = self.cluster.any_entry()
        for cut in (Cut.DURING_BODY, Cut.AFTER_BODY, Cut.DURING_ANSWER):
            with self.subTest(cut=cut):
                proxy.cut = cut
                key = new_key()
                body = json.dumps({"key": key})
                first = self.cluster.request("truck-dispatch", body, address,
                                             key, deadline_ms=LONG_MS)
                self.assertEqual(first[1].get("ran"), "unknown", first)
                proxy.cut = Cut.NEVER
                again = [self.cluster.request("truck-dispatch", body, address,
                                              key, deadline_ms=LONG_MS)
                         for _ in range(3)]
                for status, answer in again:
                    self.assertNotEqual((status, answer.get("ran")),
                                        (200, "no"))
                self.assertLessEqual(audit.key_runs(self.cluster)[key], 1)

    def test_late_and_repeated_answers(self):
        proxy = self.proxies["keg-check"]
        proxy.repeats_answers = True
        answers = self.send("keg-check", 30, deadline_ms=LONG_MS)
        proxy.repeats_answers = False
        proxy.answer_delay = 0.4
        with callers_at(self.cluster, {"entry-1": 6, "entry-2": 6},
                        deadline_ms=250) as callers:
            time.sleep(2)
        proxy.answer_delay = 0.0
        for it in callers.values():
            answers += it.answers
        runs = audit.body_runs(self.cluster)
        self.assertEqual(audit.lies(answers, runs), [])
        self.assertNotIn(0, [status for _, status, _ in answers])
        for name in self.cluster.workers:
            self.assertLessEqual(
                self.cluster.journal(name)["most_at_once"], 8)


class GuardConnectionsTest(RegionCase):
    WORKERS = 0
    ENTRIES = 1

    def setUp(self):
        super().setUp()
        self.proxies = {}
        for service in ("truck-dispatch", "keg-check"):
            proxy = self.enterContext(CuttingProxy(""))
            self.proxies[service] = proxy
            proxy.target = self.cluster.start_worker(
                service + "-0", rack=service, service=service, guard=True,
                guard_hop=proxy, work=5)

    def send(self, service, count):
        answers = []
        for i in range(count):
            body = json.dumps({"service": service, "i": i, "salt": new_key()})
            key = new_key() if service == "truck-dispatch" else None
            answers.append((body, *self.cluster.request(service, body,
                                                        key=key,
                                                        deadline_ms=LONG_MS)))
        return answers

    def used(self, service):
        proxy = self.proxies[service]
        return proxy.connections, proxy.requests

    def test_each_request_has_a_connection_of_its_own_to_the_backend(self):
        self.apply_sample()
        for service in self.proxies:
            before = self.used(service)
            self.assertEqual({it[1] for it in self.send(service, 20)}, {200})
            connections, requests = (
                now - then for now, then in zip(self.used(service), before))
            self.assertGreaterEqual(requests, 20)
            self.assertEqual(connections, requests)

    def test_backend_server_that_closes_idle_connections(self):
        self.cluster.start_worker("plain", service="keg-check", work=5)
        self.apply_sample()
        for proxy in self.proxies.values():
            proxy.cut = Cut.AFTER_ANSWER
        answers = self.send("keg-check", 30) + self.send("truck-dispatch", 10)
        runs = audit.body_runs(self.cluster)
        self.assertEqual(audit.lies(answers, runs), [])
        # None is lost to a connection that was closed, no dispatch runs twice.
        self.assertEqual({it[1] for it in answers}, {200})
        self.assertEqual({runs[it[0]] for it in answers[30:]}, {1})


class CallerFaultsTest(RegionCase):
    WORKERS = 2
    WORKER_OPTIONS = {"slots": 2, "work": 300}

    def setUp(self):
        super().setUp()
        self.apply_sample()
        self.address = self.cluster.any_entry()

    def connect(self):
        host, port = self.address.split(":")
        return socket.create_connection((host, int(port)), 10)

    def head(self, length):
        return ("POST /v1/services/keg-check/requests HTTP/1.1\r\n"
                "Host: %s\r\nDeadline: %d\r\nContent-Length: %d\r\n\r\n" % (
                    self.address, int(time.time() * 1000) + 2000,
                    length)).encode()

    def outcomes(self, outcome=""):
        text = 'papayadrift_requests_total{outcome="%s' % outcome
        return self.cluster.metric_sum(self.address, text)

    def vanish(self, body, sent, resets):
        connection = self.connect()
        if resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  RESET_ON_CLOSE)
        connection.sendall(self.head(len(body)) + body[:sent])
        time.sleep(0.05)
        connection.close()

    def test_callers_that_vanish_harm_nobody(self):
        body = b'{"vanished": true, "fill": "%s"}' % (b"x" * 100)
        for resets in (False, True):
            for sent in (0, len(body) // 2):
                with self.subTest(resets=resets, sent=sent):
                    before = self.outcomes()
                    runs = len(self.cluster.journal("worker-1")["requests"])
                    self.vanish(body, sent, resets)
                    status, _ = self.cluster.request(
                        "keg-check", address=self.address,
                        deadline_ms=LONG_MS)
                    self.assertEqual(status, 200)
                    # A torn body reaches no runner and is no request.
                    self.assertEqual(len(self.cluster.journal("worker-1")
                                         ["requests"]), runs + 1)
                    wait_until(lambda: self.outcomes() >= before + 1, 10,
                               "the request has its outcome")
                    self.assertEqual(self.outcomes(), before + 1)

    def test_caller_gone_before_its_answer_has_one_outcome(self):
        before = self.outcomes()
        gone_before = self.outcomes("caller_vanished")
        count = 6
        threads = [threading.Thread(target=self.vanish, args=(
            b'{"gone": %d}' % i, 1000, True)) for i in range(count)]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        wait_until(lambda: self.outcomes() == before + count, 10,
                   "each has its outcome")
        # Those that were sent to a runner had their answer's write fail.
        self.assertGreater(self.outcomes("caller_vanished"), gone_before)
        # Their slots are back: the runner's two are used by others at once.
        wait_until(lambda: all(
            status == 200 for status in self.statuses_of_two()), 10,
            "both slots serve again")
        wait_until(lambda: self.outcomes() - before >= count + self.asked, 10,
                   "each has its outcome")
        self.assertEqual(self.outcomes() - before, count + self.asked)
        code, text = self.cluster.ctl("outcomes")
        self.assertEqual(code, 0, text)

    asked = 0

    def statuses_of_two(self):
        results = []
        def ask(i):
            results.append(self.cluster.request(
                "keg-check", '{"two": %d}' % i, address=self.address,
                deadline_ms=LONG_MS)[0])
        threads = [threading.Thread(target=ask, args=(i,)) for i in range(2)]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        self.asked += 2
        return results


if __name__ == "__main__":
    unittest.main()
