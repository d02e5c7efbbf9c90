import collections
import concurrent.futures
import unittest

import audit
from cluster import new_key
from region_case import RegionCase


class RequestsTest(RegionCase):
    WORKER_OPTIONS = {"slots": 4, "work": 20}

    def burst(self, count, width, **options):
        addresses = [it["address"] for it in self.cluster.entries.values()]
        def one(i):
            return self.cluster.request(
                "keg-check", '{"n": %d}' % i, address=addresses[i % 2],
                **options)
        with concurrent.futures.ThreadPoolExecutor(width) as pool:
            return list(pool.map(one, range(count)))

    def test_slots_are_never_exceeded_under_overload(self):
        self.apply_sample()
        answers = self.burst(400, 64, deadline_ms=400)
        for name in self.cluster.workers:
            journal = self.cluster.journal(name)
            self.assertLessEqual(journal["most_at_once"], journal["slots"])
            self.assertEqual(journal["refused_for_slots"], 0)
        for i, (status, body) in enumerate(answers):
            if status == 200:
                self.assertEqual(body["echo"], '{"n": %d}' % i)
            else:
                self.assertIn(body.get("ran"), ("no", "unknown"), body)
                self.assertTrue(body.get("reason"))
        counts = collections.Counter(it[0] for it in answers)
        self.assertGreater(counts[200], 0)

    def test_swapped_answers_are_never_passed_on(self):
        self.apply_sample()
        for name in ("worker-1", "worker-2"):
            self.cluster.set_worker_faults(name, swaps_answers=True)
        answers = self.burst(60, 16, deadline_ms=600)
        for i, (status, body) in enumerate(answers):
            if status == 200:
                self.assertEqual(body["echo"], '{"n": %d}' % i)

    def test_same_key_at_both_entries_at_once_runs_once(self):
        self.apply_sample()
        addresses = [it["address"] for it in self.cluster.entries.values()]
        for _ in range(5):
            key = new_key()
            with concurrent.futures.ThreadPoolExecutor(6) as pool:
                answers = list(pool.map(
                    lambda i: self.cluster.request(
                        "truck-dispatch", "{}", address=addresses[i % 2],
                        key=key), range(6)))
            self.assertEqual(audit.key_runs(self.cluster)[key], 1)
            self.assertEqual({it[0] for it in answers}, {200}, answers)

    def test_key_outside_its_window_is_refused_and_never_run(self):
        self.apply_sample()
        key = new_key(age_seconds=3600)
        status, body = self.cluster.request("truck-dispatch", key=key)
        self.assertEqual((status, body["reason"], body["ran"]),
                         (410, "key_outside_window", "unknown"))
        self.assertEqual(audit.key_runs(self.cluster)[key], 0)

    def test_same_key_with_another_body_is_refused(self):
        self.apply_sample()
        key = new_key()
        self.assertEqual(
            self.cluster.request("truck-dispatch", '{"a": 1}', key=key)[0],
            200)
        status, body = self.cluster.request("truck-dispatch", '{"a": 2}',
                                            key=key)
        self.assertEqual((status, body["ran"]), (400, "no"), body)
        self.assertEqual(audit.key_runs(self.cluster)[key], 1)

    def test_repeat_gets_the_whole_answer_or_hears_that_it_is_too_large(self):
        self.apply_sample()
        addresses = [it["address"] for it in self.cluster.entries.values()]
        for size in (100, 2000, 6000):
            key = new_key()
            text = '"%s"' % ("x" * size)
            first, second = (self.cluster.request(
                "truck-dispatch", text, address=it, key=key)
                for it in addresses)
            self.assertEqual(first[0], 200, first)
            if second[0] == 200:
                self.assertEqual(second[1], first[1])
            else:
                self.assertEqual(
                    (second[1]["reason"], second[1]["ran"]),
                    ("answer_too_large", "yes"))
            self.assertEqual(audit.key_runs(self.cluster)[key], 1)


if __name__ == "__main__":
    unittest.main()
