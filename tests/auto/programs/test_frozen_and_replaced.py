"""A worker frozen while an entry is replaced."""

import unittest

from cluster import wait_until
from region_case import JOB, RegionCase


class FrozenAndReplacedTest(RegionCase):
    def test_frozen_worker_and_replaced_entry(self):
        self.apply_sample(JOB % "4 s")
        self.wait_running("long-run", 8)
        worker = self.cluster.workers["worker-1"]["process"]
        worker.freeze()
        self.cluster.entries["entry-1"]["process"].kill()
        self.replace("entry-1")
        self.cluster.wait_ready("entry-1", 60)
        wait_until(lambda: not any(
            it["worker"] == "worker-1"
            for it in self.cluster.dump()["workers"]), 60,
            "the frozen worker is freed")
        worker.thaw()
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()


if __name__ == "__main__":
    unittest.main()
