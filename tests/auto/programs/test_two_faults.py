"""Two faults at the same time."""

import time
import unittest

import audit
from region_case import JOB, RegionCase


class TwoFaultsTest(RegionCase):
    def lapsed_on(self, workers):
        return [run for spans in audit.task_runs(
                    self.cluster, workers).values()
                for run in spans if run["end"] == "lapsed"]

    def test_log_outage_and_killed_entry(self):
        self.apply_sample(JOB % "4 s")
        self.wait_running("long-run", 8)
        self.cluster.set_log_faults(is_down=True)
        self.cluster.entries["entry-2"]["process"].kill()
        time.sleep(5)  # More than three leases.
        self.cluster.set_log_faults()
        self.replace("entry-2")
        self.cluster.wait_ready("entry-2", 60)
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()

    def test_log_outage_longer_than_leases_while_a_worker_dies(self):
        self.apply_sample(JOB % "10 s")
        self.wait_running("long-run", 8)
        self.cluster.set_log_faults(is_down=True)
        self.cluster.workers["worker-2"]["process"].kill()
        time.sleep(5)  # More than three leases.
        self.assertEqual(self.lapsed_on(["worker-0", "worker-1"]), [])
        self.cluster.set_log_faults()
        self.wait_finished("long-run", 90)
        self.assert_tasks_ran_properly()


if __name__ == "__main__":
    unittest.main()
