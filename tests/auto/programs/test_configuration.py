import concurrent.futures
import unittest

from cluster import call, wait_until
from region_case import JOB, SAMPLE, RegionCase


class JobsOfTheFileTest(RegionCase):
    ENTRIES = 1
    WORKERS = 1

    def test_job_runs_once_and_ends_when_its_section_is_taken_away(self):
        section = JOB % "60 s"
        self.assertEqual(self.cluster.apply(SAMPLE + section)[0], 0)
        self.wait_running("long-run")
        self.wait_finished("route-run")
        code, text = self.cluster.apply(SAMPLE + "[customer other]\n")
        self.assertEqual(code, 0, text)
        wait_until(lambda: self.cluster.job("long-run").get("phase") ==
                   "cancelled", 12, "the job that was taken away is cancelled")
        runs = self.assert_tasks_ran_properly()
        self.assertEqual(
            sum(len(spans) for task, spans in runs.items()
                if task.startswith("route-run")), 6)


class ConfigurationTest(RegionCase):
    WORKERS = 0

    def put(self, address, text, expected, author):
        return call(address, "PUT", "/admin/v1/configuration", text,
                    {"Expected-Version": str(expected), "Author": author})

    def test_of_racing_operators_one_wins_and_the_others_see_who(self):
        addresses = [it["address"] for it in self.cluster.entries.values()]
        for expected in range(3):
            with concurrent.futures.ThreadPoolExecutor(6) as pool:
                answers = list(pool.map(
                    lambda i: self.put(
                        addresses[i % 2],
                        SAMPLE + "[customer c%d-%d]\n" % (expected, i),
                        expected, "operator-%d" % i), range(6)))
            winners = [it for it in answers if it[0] == 200]
            losers = [it for it in answers if it[0] == 409]
            self.assertEqual((len(winners), len(losers)), (1, 5), answers)
            self.assertEqual(winners[0][1]["version"], expected + 1)
            winner = "operator-%d" % answers.index(winners[0])
            for _, body in losers:
                self.assertEqual(body["winner_author"], winner)
                self.assertEqual(body["ran"], "no")
        wait_until(lambda: self.cluster.ctl("status")[0] == 0, 12,
                   "version 3 is in force everywhere")

    def test_invalid_file_names_section_and_key_and_changes_nothing(self):
        address = self.cluster.any_entry()
        status, body = self.put(
            address, "[customer c]\n[service s]\ncustomer = nobody\n"
            "latency_target = 5\nidempotent = yes\n", 0, "ada")
        self.assertEqual((status, body["reason"]),
                         (400, "configuration_invalid"))
        self.assertEqual(
            [(it["section"], it["key"], it["reason"])
             for it in body["problems"]],
            [("service s", "latency_target", "bad_unit")])
        self.assertEqual(
            call(address, "GET", "/admin/v1/configuration")[1]["version"], 0)

    def test_version_never_goes_back_across_restarts_and_outages(self):
        self.assertEqual(self.cluster.apply(SAMPLE)[0], 0)
        self.cluster.entries["entry-2"]["process"].kill()
        self.assertEqual(self.cluster.apply(SAMPLE + "[customer x]\n")[0], 0)
        self.cluster.start_entry("entry-3")
        versions = []
        self.cluster.set_log_faults(is_down=True)
        for name in ("entry-1", "entry-3"):
            address = self.cluster.entries[name]["address"]
            versions.append(call(address, "GET", "/admin/v1/configuration")
                            [1]["version"])
        self.assertEqual(versions, [2, 2])
        code, text = self.cluster.apply(SAMPLE, "--expected-version", 2)
        self.assertIn(code, (1, 5), text)
        self.cluster.set_log_faults()
        for name in ("entry-1", "entry-3"):
            address = self.cluster.entries[name]["address"]
            self.assertGreaterEqual(
                call(address, "GET", "/admin/v1/configuration")
                [1]["version"], 2)


if __name__ == "__main__":
    unittest.main()
