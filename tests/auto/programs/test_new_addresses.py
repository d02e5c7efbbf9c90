"""All entries replaced at once, under new addresses."""

import unittest

from cluster import call
from region_case import JOB, RegionCase


class AllAtNewAddressesTest(RegionCase):
    CLUSTER = {"lease": {"renewal_cap": "6 s"}}

    def test_all_entries_replaced_under_new_addresses_finish_the_work(self):
        self.apply_sample(JOB % "3 s")
        self.wait_running("long-run", 1)
        old = [it["address"] for it in self.cluster.entries.values()]
        for entry in self.cluster.entries.values():
            entry["process"].kill()
        self.cluster.entries.clear()
        # The balancer's addresses of entries are what workers start from: one
        # of them leads to a new entry.
        self.cluster.start_entry("entry-3", address=old[0], wait=False)
        self.cluster.start_entry("entry-4", wait=False)
        for name in self.cluster.entries:
            self.cluster.wait_ready(name, 90)
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()
        self.assertEqual(
            call(self.cluster.any_entry(), "GET",
                 "/admin/v1/configuration")[1]["version"], 1)


if __name__ == "__main__":
    unittest.main()
