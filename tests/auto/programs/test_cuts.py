"""An entry that is cut from one side only."""

import time
import unittest

import audit
from cluster import call, free_address, wait_until
from cuttable_link import CuttableLink
from region_case import JOB, RegionCase


def lapsed_runs(cluster):
    return [run for spans in audit.task_runs(cluster).values()
            for run in spans if run["end"] == "lapsed"]


class CutFromLogTest(RegionCase):
    WORKERS = 0

    def setUp(self):
        super().setUp()
        self.link = self.enterContext(CuttableLink(self.cluster.log_address))
        self.cluster.log_address, own = (self.link.address,
                                         self.cluster.log_address)
        self.cluster.start_entry("entry-3", zone="zone-1")
        self.cluster.log_address = own
        for i in range(3):
            self.cluster.start_worker(
                "worker-%d" % i, rack="rack-%d" % i,
                service="truck-dispatch" if i == 0 else "keg-check")

    def test_entry_cut_from_the_log_only_learns_files_and_stops_nothing(self):
        self.apply_sample(JOB % "12 s")
        self.wait_running("long-run", 8)
        self.link.cut()
        cut_off = self.cluster.entries["entry-3"]["address"]
        status, body = call(
            self.cluster.entries["entry-1"]["address"], "PUT",
            "/admin/v1/configuration",
            call(cut_off, "GET", "/admin/v1/configuration")[1]["text"] +
            "\n[customer another]\n", {"Expected-Version": "1",
                                       "Author": "ada"}, 12)
        self.assertEqual((status, body), (200, {"version": 2}))
        wait_until(lambda: call(cut_off, "GET", "/admin/v1/configuration")[1]
                   ["version"] == 2, 20, "a peer tells of version 2")
        time.sleep(4)  # More than two leases.
        self.assertEqual(lapsed_runs(self.cluster), [])
        self.link.heal()
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()


class CutFromPeersTest(RegionCase):
    def test_of_entries_that_never_meet_one_goes_and_no_task_runs_twice(self):
        self.apply_sample(JOB % "4 s")
        self.wait_running("long-run", 8)
        # Its peers refuse it for the wrong secret.
        self.cluster.secret = self.cluster.write(
            "other-secret", "not the secret of others\n")
        self.cluster.start_entry("entry-3", wait=False)
        stranger = self.cluster.entries["entry-3"]["process"]
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()
        self.assertEqual(lapsed_runs(self.cluster), [])
        wait_until(lambda: not stranger.is_running(), 60,
                   "the entry that met no peer is lapsed and ends")
        wait_until(lambda: self.cluster.request("keg-check")[0] == 200, 40,
                   "the others serve")


class CutFromWorkersTest(RegionCase):
    ENTRIES = 1
    WORKER_OPTIONS = {"stay": True}  # They know entry-1 only.

    def test_workers_that_another_entry_hears_keep_their_leases(self):
        self.cluster.start_entry("entry-2", address=free_address())
        self.apply_sample(JOB % "6 s")
        self.wait_running("long-run", 8)
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()
        self.assertEqual(lapsed_runs(self.cluster), [])


if __name__ == "__main__":
    unittest.main()
