import time
import unittest

import audit
from cluster import wait_until
from load import callers_at
from region_case import RegionCase

SLOTS = 8
# Of a runner's slots, by three entries.
LARGEST_SHARE = 3


class SlotLoansTest(RegionCase):
    """All journals are those of the backend servers."""
    ENTRIES = 3
    WORKERS = 3
    CLUSTER = {"maximum_deadline": "1 s"}
    WORKER_OPTIONS = {"slots": SLOTS, "work": 100}

    def setUp(self):
        super().setUp()
        self.apply_sample()
        # Until then joiners wait for acknowledgements.
        wait_until(lambda: all(
            it["state"] == "full" for it in self.cluster.status()["entries"]),
            20, "all entries are full")

    def journals(self):
        return [self.cluster.journal(it) for it in self.cluster.workers]

    def assert_slots_kept(self):
        for journal in self.journals():
            self.assertLessEqual(journal["most_at_once"], SLOTS)
            self.assertEqual(journal["refused_for_slots"], 0)

    def assert_told_truly(self, callers, may_be_cut=False):
        self.assertEqual(
            audit.lies(callers.answers, audit.body_runs(self.cluster)), [])
        if not may_be_cut:
            self.assertNotIn(0, [status for _, status, _ in callers.answers])

    def borrowed(self, name):
        return self.cluster.metric_sum(
            self.cluster.entries[name]["address"],
            'papayadrift_slot_loans_total{step="borrowed"}')

    def wait_most_at_once(self, most):
        wait_until(lambda: max(
            it["most_at_once"] for it in self.journals()) >= most, 10,
            "a runner works on %d requests" % most)

    def retired(self, name):
        names = [it["entry"] for it in self.cluster.status(
            self.cluster.entries["entry-3"]["address"])["entries"]]
        return name not in names

    def test_all_load_at_one_entry_uses_slots_of_the_others(self):
        with callers_at(self.cluster, {"entry-1": 20}) as callers:
            # Entry 1 alone has requests, and a share of 3 at most.
            self.wait_most_at_once(LARGEST_SHARE + 1)
            time.sleep(2)
        self.assert_slots_kept()
        self.assert_told_truly(callers["entry-1"])
        self.assertGreater(self.borrowed("entry-1"), 0)
        self.assertGreater(callers["entry-1"].answered(), 0)
        # Nothing is kept that is not needed.
        for entry in self.cluster.entries.values():
            wait_until(lambda: self.cluster.dump(entry["address"])[
                "slot_loans"] == {"lent": 0, "borrowed": 0}, 10,
                "all loans are returned")

    def test_lender_killed_in_the_middle_of_a_burst(self):
        with callers_at(self.cluster, {"entry-1": 20, "entry-2": 2}) as callers:
            self.wait_most_at_once(LARGEST_SHARE + 1)
            self.cluster.entries["entry-2"]["process"].kill()
            wait_until(lambda: self.retired("entry-2"), 20, "it is retired")
            time.sleep(1)
        self.assert_slots_kept()
        self.assert_told_truly(callers["entry-1"])
        self.assert_told_truly(callers["entry-2"], may_be_cut=True)

    def test_borrower_killed_in_the_middle_of_a_burst(self):
        with callers_at(self.cluster, {"entry-1": 20, "entry-2": 2,
                                       "entry-3": 8}) as callers:
            self.wait_most_at_once(LARGEST_SHARE + 1)
            wait_until(lambda: self.borrowed("entry-1") > 0, 10,
                       "it has borrowed")
            self.cluster.entries["entry-1"]["process"].kill()
            wait_until(lambda: self.retired("entry-1"), 20, "it is retired")
            time.sleep(1)
        self.assert_slots_kept()
        self.assert_told_truly(callers["entry-3"])
        self.assert_told_truly(callers["entry-1"], may_be_cut=True)

    def test_borrower_frozen_until_its_shares_are_others(self):
        with callers_at(self.cluster, {"entry-1": 12}):
            self.wait_most_at_once(LARGEST_SHARE + 1)
        process = self.cluster.entries["entry-1"]["process"]
        with callers_at(self.cluster, {"entry-1": 12, "entry-2": 12,
                                       "entry-3": 12}) as callers:
            wait_until(lambda: self.borrowed("entry-1") > 0, 10,
                       "it has borrowed")
            process.freeze()
            wait_until(lambda: self.retired("entry-1"), 20, "it is retired")
            time.sleep(0.5)
            process.thaw()
            time.sleep(1.5)
        self.assert_slots_kept()
        self.assert_told_truly(callers["entry-2"])
        self.assert_told_truly(callers["entry-3"])
        self.assert_told_truly(callers["entry-1"], may_be_cut=True)


if __name__ == "__main__":
    unittest.main()
