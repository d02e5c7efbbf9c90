"""Urgent work without room evicts checkpointable tasks, through whole
processes; what really ran is read in the journals of the workers."""

import unittest

import audit
from cluster import call, wait_until
from region_case import RegionCase

FILL = {"job": "fill", "team": "dispatch", "kind": "fill", "tasks": 6,
        "millicores": 2000, "memory_mebibytes": 2000,
        "run_milliseconds": 5000, "checkpointable": True}
# Fits no worker beside two tasks that fill it, nor beside one; throttling
# frees no memory.
URGENT = {"job": "urgent", "team": "depots", "kind": "urgent", "tasks": 1,
          "millicores": 1000, "memory_mebibytes": 3000,
          "run_milliseconds": 1000, "urgent": True}


class EvictionTest(RegionCase):
    # 1 GiB of each is set aside for its backend server.
    WORKER_OPTIONS = {"memory": 5120, "heartbeat": 400}

    def submit(self, job):
        """Submits until it is known to be taken; a repeated one is no other."""
        wait_until(lambda: call(self.cluster.any_entry(), "POST", "/v1/jobs",
                                job)[0] == 202, 30, job["job"] + " is taken")

    def fill(self):
        self.apply_sample()
        self.wait_finished("route-run")
        self.wait_finished("delivery-plan")
        self.submit(FILL)
        self.wait_running("fill", 6)
        wait_until(lambda: self.used_for_a_while(), 20, "all have progress")

    def used_for_a_while(self):
        runs = audit.task_runs(self.cluster)
        return sum(task.startswith("fill/") for task in runs) == 6

    def evicting(self):
        """Returns the tasks that are to checkpoint and stop."""
        jobs = self.cluster.dump().get("jobs", [])
        return [task for job in jobs for task in job["tasks"]
                if task["is_evicting"]]

    def wait_evicting(self):
        found = []
        wait_until(lambda: found.extend(self.evicting()) or found, 20,
                   "a task is being evicted")
        return found

    def finish(self, killed=()):
        self.wait_finished("urgent", 90)
        self.wait_finished("fill", 90)
        runs = self.assert_tasks_ran_properly()
        self.assertEqual(audit.wrong_resumes(runs, killed), [])
        finished = [task for task, spans in runs.items()
                    if any(it["end"] == "finished" for it in spans)]
        self.assertEqual(sum(it.startswith("fill/") for it in finished), 6)
        return runs

    def test_evicted_tasks_resume_once_and_from_their_checkpoints(self):
        self.fill()
        self.submit(URGENT)
        runs = self.finish()
        evicted = audit.evicted(runs)
        self.assertGreaterEqual(len(evicted), 2)
        self.assertTrue(all(it["to_permille"] > 0 for it in evicted), evicted)

    def evict_and_kill(self, name):
        self.fill()
        self.submit(URGENT)
        self.wait_evicting()
        entry = self.cluster.entries.pop(name)
        entry["process"].kill()
        self.cluster.start_entry(name, address=entry["address"], wait=False,
                                 stream_address=entry["stream_address"])
        self.finish()

    def test_first_entry_killed_in_the_middle(self):
        self.evict_and_kill("entry-1")

    def test_second_entry_killed_in_the_middle(self):
        self.evict_and_kill("entry-2")

    def test_answers_of_the_log_lost_around_it(self):
        self.fill()
        self.cluster.set_log_faults(lost_answers=4)
        self.submit(URGENT)
        self.wait_evicting()
        self.cluster.set_log_faults(lost_answers=4)
        runs = self.finish()
        self.assertGreaterEqual(len(audit.evicted(runs)), 2)

    def test_appends_lost_around_it(self):
        self.fill()
        self.submit(URGENT)
        self.cluster.set_log_faults(lost_requests=3)
        self.finish()

    def test_worker_of_an_evicted_task_killed(self):
        self.fill()
        self.submit(URGENT)
        worker = self.wait_evicting()[0]["worker"]
        self.cluster.kill_worker(worker)
        self.finish(killed=[worker])


if __name__ == "__main__":
    unittest.main()
