"""Entries killed between what they append and what follows from it."""

import unittest

from cluster import call, wait_until
from region_case import JOB, RegionCase


def submission(name, tasks=4):
    return {"job": name, "team": "dispatch", "kind": "k", "tasks": tasks,
            "millicores": 500, "memory_mebibytes": 64,
            "run_milliseconds": 1500}


class KilledAfterAppendTest(RegionCase):
    def test_entry_killed_between_append_and_start_doubles_no_task(self):
        self.apply_sample()
        self.wait_finished("route-run")
        self.wait_finished("delivery-plan")
        for name, other in (("entry-1", "entry-2"), ("entry-2", "entry-1")):
            entry = self.cluster.entries[name]
            before = self.cluster.log_counters()["appends"]
            # Whatever is appended from now on is stored and never answered.
            self.cluster.set_log_faults(lost_answers=1_000)
            job = "of-" + name
            call(entry["address"], "POST", "/v1/jobs", submission(job),
                 timeout=0.3)
            wait_until(lambda: self.cluster.log_counters()["appends"] >
                       before, 10, "the log has stored something")
            entry["process"].kill()
            self.cluster.set_log_faults()
            # The caller has no answer and asks again elsewhere.
            address = self.cluster.entries[other]["address"]
            wait_until(lambda: call(address, "POST", "/v1/jobs",
                                    submission(job))[0] == 202, 30,
                       "the job is taken")
            wait_until(lambda: self.cluster.job(job, address).get("phase") ==
                       "finished", 60, job + " has finished")
            runs = self.assert_tasks_ran_properly()
            self.assertEqual(
                {task: len(spans) for task, spans in runs.items()
                 if task.startswith(job)},
                {"%s/%d" % (job, i): 1 for i in range(4)})
            self.replace(name)
            self.cluster.wait_ready(name, 60)


if __name__ == "__main__":
    unittest.main()
