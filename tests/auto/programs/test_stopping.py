import concurrent.futures
import threading
import time
import unittest

from cluster import call, wait_until
from region_case import SAMPLE, RegionCase


class StoppingTest(RegionCase):
    WORKER_OPTIONS = {"work": 50}

    def test_planned_stop_of_an_entry_cuts_off_no_request(self):
        self.apply_sample()
        address = self.cluster.entries["entry-2"]["address"]
        is_over = threading.Event()
        answers = []

        def ask():
            while not is_over.is_set():
                answers.append(self.cluster.request(
                    "keg-check", "{}", address=address, deadline_ms=3000))

        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            futures = [pool.submit(ask) for _ in range(8)]
            time.sleep(0.5)
            code = self.cluster.entries["entry-2"]["process"].stop()
            is_over.set()
            for future in futures:
                future.result()
        self.assertEqual(code, 0)
        self.assertGreater(sum(it[0] == 200 for it in answers), 8)
        # Status 0 is a connection refused after the end; nothing that was
        # taken in may be without an answer that says so.
        for status, body in answers:
            if status not in (0, 200):
                self.assertEqual((body["reason"], body["ran"]),
                                 ("stopping", "no"))


class DrainingEntryTest(RegionCase):
    WORKER_OPTIONS = {"work": 1500}

    def test_entry_that_finishes_its_requests_is_not_ready(self):
        self.cluster.apply(SAMPLE)
        entry = self.cluster.entries["entry-2"]
        address = entry["address"]
        served = lambda: self.cluster.request(  # noqa: E731
            "keg-check", address=address, deadline_ms=4000)[0]
        wait_until(lambda: served() == 200, 20, "it serves")
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            running = pool.submit(served)
            time.sleep(0.3)
            ended = pool.submit(entry["process"].stop)
            ready = []
            while not ended.done():
                ready.append(call(address, "GET", "/v1/ready")[0])
            self.assertEqual((running.result(), ended.result()), (200, 0))
        since = ready.index(503)
        self.assertEqual(set(ready[since:]) - {0}, {503})


if __name__ == "__main__":
    unittest.main()
