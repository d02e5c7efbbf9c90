import pathlib
import unittest

from cluster import PROGRAMS, call, new_key, wait_until
from region_case import JOB, RegionCase


class RestartTest(RegionCase):
    def replace_all(self):
        """Puts new VMs in the place, and under the addresses, of the old."""
        old = dict(self.cluster.entries)
        for name, entry in old.items():
            del self.cluster.entries[name]
            self.cluster.start_entry(
                name, address=entry["address"], wait=False,
                stream_address=entry["stream_address"],
                peers=[it["stream_address"] for it in old.values()])

    def test_all_entries_replaced_at_once_with_the_log_up(self):
        self.apply_sample(JOB % "3 s")
        self.wait_running("long-run", 1)
        for entry in self.cluster.entries.values():
            entry["process"].kill()
        self.replace_all()
        for name in self.cluster.entries:
            self.cluster.wait_ready(name, 60)
        self.wait_finished("long-run")
        self.assert_tasks_ran_properly()
        status, body = call(self.cluster.any_entry(), "GET",
                            "/admin/v1/configuration")
        self.assertEqual((status, body["version"]), (200, 1))

    def test_all_entries_replaced_with_the_log_down_refuse_as_not_run(self):
        self.apply_sample()
        for entry in self.cluster.entries.values():
            entry["process"].kill()
        self.cluster.set_log_faults(is_down=True)
        self.replace_all()
        address = self.cluster.any_entry()
        wait_until(lambda: call(address, "GET", "/v1/ready")[0] == 503, 10,
                   "the new entry answers")
        status, body = self.cluster.request("keg-check", address=address)
        self.assertEqual(body["ran"], "no")
        self.cluster.set_log_faults()
        for name in self.cluster.entries:
            self.cluster.wait_ready(name, 60)
        wait_until(lambda: self.cluster.request(
            "keg-check", address=address)[0] == 200, 40, "it serves")

    def test_new_entry_serves_only_once_its_record_has_begun(self):
        self.apply_sample()
        address = self.cluster.start_entry("entry-3", wait=False)
        key = new_key()
        answers = []

        def is_served():
            answers.append(self.cluster.request("truck-dispatch", key=key,
                                                address=address))
            return answers[-1][0] == 200

        wait_until(is_served, 40, "it serves")
        stream = "/v1/streams/outcomes-%s/records?from=1&limit=1000&wait_ms=0"
        records = call(self.cluster.log_address, "GET",
                       stream % self.cluster.region)[1]
        self.assertIn("entry-3", str(records))
        # A keyed request may repeat one that ran.
        for status, body in answers[:-1]:
            if status != 0:
                self.assertEqual((body["reason"], body["ran"]),
                                 ("not_ready", "unknown"))

    def test_replacement_under_the_same_name_and_address(self):
        self.apply_sample()
        entry = self.cluster.entries.pop("entry-2")
        entry["process"].kill()
        self.cluster.start_entry("entry-2", address=entry["address"],
                                 wait=False,
                                 stream_address=entry["stream_address"])
        self.cluster.wait_ready("entry-2", 60)
        wait_until(lambda: self.cluster.request(
            "keg-check", address=entry["address"])[0] == 200, 40, "it serves")


class RetentionTest(RegionCase):
    ENTRIES = 1
    WORKERS = 2
    CLUSTER = {"retained_records": 100}

    def test_new_entry_starts_from_a_snapshot_after_retention(self):
        # Snapshots every 30 records; far more than 100 are written.
        entry = self.cluster.entries.pop("entry-1")
        entry["process"].kill()
        path = pathlib.Path(self.cluster.directory.name) / "entry-1.ini"
        path.write_text(path.read_text().replace(
            "[log]\n", "[log]\nsnapshot_interval = 30\n"
            "reassert_interval = 2 s\n"))
        entry["process"] = self.cluster.spawn(
            "entry-1b", [PROGRAMS["entry"], "--settings", path])
        self.cluster.entries["entry-1"] = entry
        self.cluster.wait_ready("entry-1", 60)
        self.apply_sample()
        for i in range(240):
            status, _ = call(entry["address"], "POST", "/v1/jobs", {
                "job": "j%d" % i, "team": "dispatch", "kind": "k",
                "millicores": 100, "memory_mebibytes": 10,
                "run_milliseconds": 20})
            self.assertEqual(status, 202)
        wait_until(lambda: self.cluster.dump()["log"]["decision_offset"] > 160,
                   60, "the log has dropped its beginning")
        before = self.cluster.dump()
        self.assertGreater(before["snapshots_written"], 0)
        second = self.cluster.start_entry("entry-2")
        wait_until(lambda: self.cluster.status(second)["digest"] ==
                   self.cluster.status(entry["address"])["digest"], 20,
                   "both have the same state")
        wait_until(lambda: call(second, "GET", "/admin/v1/configuration")[1]
                   ["version"] == 1, 20, "it knows the configuration")
        self.assertEqual(len(self.cluster.dump(second)["jobs"]),
                         len(self.cluster.dump(entry["address"])["jobs"]))


if __name__ == "__main__":
    unittest.main()
