import unittest

import audit
from cluster import call, wait_until
from region_case import JOB, RegionCase


class LeaseTest(RegionCase):
    def test_tasks_of_a_killed_worker_run_again_elsewhere(self):
        self.apply_sample(JOB % "4 s")
        self.wait_running("long-run", 8)
        self.cluster.workers["worker-1"]["process"].kill()
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()

    def test_worker_paused_beyond_its_lease_runs_nothing_twice(self):
        self.apply_sample(JOB % "4 s")
        self.wait_running("long-run", 8)
        self.cluster.workers["worker-1"]["process"].freeze()
        gone = lambda: not any(
            it["worker"] == "worker-1" and it["state"] == "live"
            for it in self.cluster.dump()["workers"])
        wait_until(gone, 20, "the paused worker's lease has lapsed")
        wait_until(lambda: not any(
            it["worker"] == "worker-1"
            for it in self.cluster.dump()["workers"]), 20,
            "the paused worker is freed")
        self.cluster.workers["worker-1"]["process"].thaw()
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()
        wait_until(lambda: any(
            it["worker"] == "worker-1" and it["state"] == "live"
            for it in self.cluster.dump()["workers"]), 20,
            "the worker is back under another incarnation")

    def test_cancelled_job_stops_everywhere(self):
        self.apply_sample(JOB % "30 s")
        self.wait_running("long-run", 8)
        call(self.cluster.any_entry(), "DELETE", "/v1/jobs/long-run")
        wait_until(lambda: all(
            run["ended_us"] is not None
            for runs in audit.task_runs(self.cluster).values()
            for run in runs if run["task"].startswith("long-run")), 20,
            "no task of the job runs")
        self.assertEqual(self.cluster.job("long-run")["phase"], "cancelled")


class FailingWorkerTest(RegionCase):
    ENTRIES = 1

    def test_tasks_finish_although_a_worker_fails_all_it_starts(self):
        wait_until(lambda: "tasks" in self.cluster.journal("worker-2"), 10,
                   "the worker answers")
        self.cluster.set_worker_faults("worker-2", fails_tasks=True)
        self.apply_sample(JOB % "1 s")
        self.wait_finished("long-run")
        runs = self.assert_tasks_ran_properly()
        failed = [run for spans in runs.values() for run in spans
                  if run["end"] == "failed"]
        self.assertTrue(all(it["worker"] == "worker-2" for it in failed))


if __name__ == "__main__":
    unittest.main()
