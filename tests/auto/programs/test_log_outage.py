import time
import unittest

import audit
from cluster import new_key, wait_until
from region_case import JOB, RegionCase


class LogOutageTest(RegionCase):
    def test_outage_longer_than_leases_stops_no_running_work(self):
        self.apply_sample(JOB % "12 s")
        self.wait_running("long-run", 8)
        before = audit.task_runs(self.cluster)
        self.cluster.set_log_faults(is_down=True)
        outage_ends_at = time.monotonic() + 6  # Four leases.
        answered = 0
        while time.monotonic() < outage_ends_at:
            answered += self.cluster.request("keg-check")[0] == 200
        self.assertGreater(answered, 0)
        status, body = self.cluster.request("truck-dispatch", key=new_key())
        self.assertEqual((status, body["reason"], body["ran"]),
                         (503, "log_unavailable", "no"))
        self.assertEqual(
            sum(run["end"] == "lapsed"
                for spans in audit.task_runs(self.cluster).values()
                for run in spans), 0)
        self.cluster.set_log_faults()
        self.wait_finished("long-run")
        after = self.assert_tasks_ran_properly()
        self.assertEqual({task: len(after[task]) for task in before},
                         {task: 1 for task in before})

    def test_entry_cut_from_log_and_peers_gives_up_its_shares(self):
        self.apply_sample()
        self.cluster.set_log_faults(is_down=True)
        self.cluster.entries["entry-2"]["process"].kill()
        address = self.cluster.entries["entry-1"]["address"]
        refused = lambda: self.cluster.request(
            "keg-check", address=address, deadline_ms=500)[1].get("ran") == \
            "no"
        wait_until(refused, 20, "the lonely entry refuses as not run")
        self.cluster.set_log_faults()
        wait_until(lambda: self.cluster.request(
            "keg-check", address=address)[0] == 200, 40,
            "it serves again once the log is back")

    def test_hanging_and_slow_log_loses_nothing(self):
        self.apply_sample(JOB % "2 s")
        self.cluster.set_log_faults(delay_ms=150)
        self.wait_finished("long-run")
        self.cluster.set_log_faults(is_hanging=True)
        time.sleep(1.5)
        self.cluster.set_log_faults()
        key = new_key()
        wait_until(lambda: self.cluster.request(
            "truck-dispatch", key=key, deadline_ms=3000)[0] == 200, 20,
            "a dispatch runs")
        self.assertEqual(audit.key_runs(self.cluster)[key], 1)
        self.assert_tasks_ran_properly()


class LostAnswerTest(RegionCase):
    def test_lost_answers_around_dispatches_double_none(self):
        self.apply_sample()
        keys = [new_key() for _ in range(12)]
        outcomes = {}
        for i, key in enumerate(keys):
            if i % 3 == 0:
                self.cluster.set_log_faults(lost_answers=1)
            if i % 3 == 1:
                self.cluster.set_log_faults(lost_requests=1)
            outcomes[key] = self.cluster.request(
                "truck-dispatch", key=key, deadline_ms=4000)
        self.cluster.set_log_faults()
        runs = audit.key_runs(self.cluster)
        for key, (status, body) in outcomes.items():
            self.assertLessEqual(runs[key], 1)
            if status == 200:
                self.assertEqual(runs[key], 1)
            elif body.get("ran") == "no":
                self.assertEqual(runs[key], 0)
        self.assertGreaterEqual(
            sum(it[0] == 200 for it in outcomes.values()), 8, outcomes)


if __name__ == "__main__":
    unittest.main()
