"""Failed requests are explained by the logs alone: from the identity that the
caller got to the cause, as docs/OPERATIONS.md shows."""

import concurrent.futures
import http.client
import json
import os
import time
import unittest

from cluster import new_key, wait_until
from load import Paced
from region_case import RegionCase


class ExplainingCase(RegionCase):
    def ask(self, service, name="entry-1", key=None, deadline_ms=2000):
        """Returns (status, identity, refusal or answer) of one request."""
        address, port = self.cluster.entries[name]["address"].split(":")
        connection = http.client.HTTPConnection(address, int(port), timeout=15)
        headers = {"Deadline": str(int(time.time() * 1000) + deadline_ms)}
        if key:
            headers["Idempotency-Key"] = key
        try:
            connection.request(
                "POST", "/v1/services/%s/requests" % service, "{}", headers)
            response = connection.getresponse()
            return (response.status, response.headers["request-id"],
                    json.loads(response.read()))
        finally:
            connection.close()

    def lines(self, event, name="entry-1", **fields):
        """Returns the lines of an entry's log with that event and fields."""
        text = self.cluster.entries[name]["process"].output_text()
        whole = text[:text.rfind("\n") + 1].splitlines()
        found = [json.loads(it) for it in whole if it.startswith("{")]
        return [it for it in found if it["event"] == event and
                all(it.get(key) == value for key, value in fields.items())]

    def await_line(self, event, **fields):
        wait_until(lambda: self.lines(event, **fields), 20,
                   "%s with %s is in the log" % (event, fields))
        return self.lines(event, **fields)[0]


class OverloadTest(ExplainingCase):
    WORKER_OPTIONS = {"slots": 2, "work": 100}

    def test_refusal_under_load_shows_what_it_was_judged_by(self):
        self.apply_sample()
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            asked = [pool.submit(self.ask, "keg-check", deadline_ms=300)
                     for _ in range(120)]
            told = [it.result() for it in asked]
        refused = [it for it in told if "reason" in it[2]]
        self.assertGreater(len(refused), 0)
        for _, identity, refusal in refused:
            line = self.await_line("request.refused", request=identity)
            self.assertEqual((line["reason"], line["ran"], line["service"]),
                             (refusal["reason"], refusal["ran"], "keg-check"))
            self.assertTrue(line["is_load_known"])
            self.assertGreater(line["usable_slots"], 0)
            self.assertGreaterEqual(line["runners_age_ms"], 0)
            self.assertLessEqual(line["time_left_ms"], 300)
        for status, identity, answer in told:
            if "reason" not in answer:
                self.await_line("request.answered", request=identity,
                                status=status)


class StoppedReaderTest(ExplainingCase):
    ENTRIES = 1
    WORKER_OPTIONS = {"slots": 4, "work": 100}

    def test_stopped_reader_of_the_log_holds_up_no_request(self):
        reader, writer = os.pipe()
        try:
            address = self.cluster.start_entry("entry-2", output=writer)
            self.apply_sample()
            total = "papayadrift_requests_total"
            before = self.cluster.metric_sum(address, total)
            # Ten times what the eight slots answer.
            load = Paced(self.cluster, 800, 3, 64)
            self.assertNotIn(0, [status for _, status, _ in load.answers])
            self.assertGreater(self.cluster.metric_sum(address, total), before)
            wait_until(lambda: self.ask("keg-check", "entry-2")[0] == 200, 20,
                       "it serves")
            process = self.cluster.entries.pop("entry-2")["process"]
            self.assertEqual(process.stop(), 0)
        finally:
            os.close(writer)
            os.close(reader)


class RunnerFailureTest(ExplainingCase):
    def test_failure_of_runners_names_them(self):
        self.apply_sample()
        for name in ("worker-1", "worker-2"):
            self.cluster.kill_worker(name)
        failed = []

        def has_failed():
            told = self.ask("keg-check")
            if told[2].get("reason") == "backend_failed":
                failed.append(told)
            return failed

        wait_until(has_failed, 20, "a request fails at a runner")
        _, identity, refusal = failed[0]
        line = self.await_line("request.refused", request=identity)
        self.assertEqual((line["reason"], line["ran"]),
                         ("backend_failed", refusal["ran"]))
        send = self.await_line("request.send_failed", request=identity)
        self.assertEqual(send["outcome"], "not_connected")
        self.assertIn(send["worker"], ("worker-1", "worker-2"))
        # And from the runner to why it is gone.
        self.await_line("lease.lapsed", worker=send["worker"])


class LogOutageTest(ExplainingCase):
    def test_refusal_in_an_outage_of_the_log_points_to_it(self):
        self.apply_sample()
        self.cluster.set_log_faults(is_down=True)
        began = self.await_line("log.outage_began")
        key = new_key()
        status, identity, refusal = self.ask("truck-dispatch", key=key)
        self.assertEqual((status, refusal["reason"], refusal["ran"]),
                         (503, "log_unavailable", "no"))
        line = self.await_line("request.refused", request=identity)
        self.assertEqual((line["reason"], line["key"]),
                         ("log_unavailable", key))
        self.assertLessEqual(began["time"], line["time"])
        self.assertEqual(self.lines("log.outage_ended"), [])
        self.cluster.set_log_faults()
        self.await_line("log.outage_ended")


if __name__ == "__main__":
    unittest.main()
