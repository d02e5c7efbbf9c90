"""Two regions that share one log. South reaches it through a relay, so that it
can be parted from the log and thereby from north."""

import collections
import concurrent.futures
import json
import pathlib
import time
import unittest

import audit
from cluster import Cluster, call, new_key, wait_until
from region_case import SAMPLE
from relay import Relay

JOB = {"team": "dispatch", "kind": "plan", "tasks": 2, "millicores": 500,
       "memory_mebibytes": 64, "run_milliseconds": 300}


class RegionsCase(unittest.TestCase):
    ENTRIES = 1
    # Parts of quotas stay where they are.
    SETTINGS = "[regions]\ncut_off_after = 2 s\nquota_patience = 1 h\n"

    def setUp(self):
        self.north = self.enterContext(
            Cluster(region="north", entry_sections=self.SETTINGS))
        self.relay = Relay(self.north.log_address)
        self.relay.start()
        self.addCleanup(self.relay.close)
        self.south = self.enterContext(
            Cluster(region="south", log_address=self.relay.address,
                    entry_sections=self.SETTINGS))
        self.regions = {"north": self.north, "south": self.south}
        for region, cluster in self.regions.items():
            for i in range(self.ENTRIES):
                cluster.start_entry("entry-%d" % (i + 1),
                                    zone="%s-zone-%d" % (region, i + 1))
            for i, service in enumerate(("truck-dispatch", "keg-check")):
                cluster.start_worker("%s-%d" % (region, i),
                                     zone=region + "-zone-1",
                                     rack="rack-%d" % i, service=service)

    def sections(self, weights=(1, 1)):
        return "".join(
            "[region %s]\naddress = %s\nquota_weight = %d\n" % (
                region, cluster.any_entry(), weight)
            for (region, cluster), weight in zip(self.regions.items(), weights))

    def apply(self, text):
        code, answer = self.north.apply(text)
        self.assertEqual(code, 0, answer)
        self.wait_in_force()

    def versions(self):
        return [cluster.status(entry["address"])["configuration"]["version"]
                for cluster in self.regions.values()
                for entry in cluster.entries.values()]

    def wait_in_force(self):
        wait_until(lambda: len(set(self.versions())) == 1, 12,
                   "one version is in force everywhere")

    def wait_serving(self):
        for cluster in self.regions.values():
            wait_until(lambda: cluster.request("keg-check")[0] == 200, 20,
                       "the region serves")

    def in_both(self, action):
        """Returns what the action gave in each region, done at once."""
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            return dict(zip(self.regions,
                            pool.map(action, self.regions.values())))

    def submit(self, cluster, job):
        return call(cluster.any_entry(), "POST", "/v1/jobs",
                    {**JOB, "job": job})

    def dispatch(self, cluster, key):
        return cluster.request("truck-dispatch", key=key, deadline_ms=4000)

    def check_one_home(self, answers, taken):
        """Returns the region that took what was sent to both."""
        homes = [it for it, (status, _) in answers.items() if status == taken]
        self.assertEqual(len(homes), 1, answers)
        for region, (status, body) in answers.items():
            if region == homes[0]:
                continue
            self.assertEqual(
                (status, body["reason"], body["ran"], body["home_region"],
                 body["home_address"]),
                (421, "not_home_region", "unknown", homes[0],
                 self.regions[homes[0]].any_entry()))
        return homes[0]

    def task_runs(self):
        runs = collections.defaultdict(list)
        for cluster in self.regions.values():
            for task, spans in audit.task_runs(cluster).items():
                runs[task] += spans
        return runs

    def runs_of(self, job):
        return sum(len(spans) for task, spans in self.task_runs().items()
                   if task.startswith(job + "/"))

    def key_runs(self):
        return sum((audit.key_runs(it) for it in self.regions.values()),
                   collections.Counter())

    def held(self, team, regions=("north", "south")):
        """Returns what each region holds for the team, in millicores."""
        return {region: next(
            (it["held"]["millicores"]
             for it in self.regions[region].dump()["quotas"]["teams"]
             if it["team"] == team), 0) for region in regions}

    def granted(self, region="north"):
        """Returns what the team dispatch is granted there, in millicores."""
        return sum(it["granted"]["millicores"]
                   for it in self.regions[region].dump()["quotas"]["teams"]
                   if it["team"] == "dispatch")


class WorkOfTwoRegionsTest(RegionsCase):
    def test_a_job_sent_to_both_regions_runs_in_its_home_only(self):
        self.apply(self.sections() + SAMPLE)
        homes = {}
        for i in range(8):
            job = "job-%d" % i
            answers = self.in_both(lambda it: self.submit(it, job))
            homes[job] = self.check_one_home(answers, 202)
        self.assertEqual(set(homes.values()), set(self.regions))
        answers = self.in_both(lambda it: self.submit(it, "order@south"))
        homes["order@south"] = self.check_one_home(answers, 202)
        self.assertEqual(homes["order@south"], "south")
        for job, home in homes.items():
            wait_until(lambda: self.regions[home].job(job).get("phase") ==
                       "finished", 30, job + " has finished")
            self.assertEqual(self.runs_of(job), 2)

    def test_jobs_of_the_file_run_in_one_region(self):
        marked = ("[job marked@south]\nteam = dispatch\nkind = plan\n"
                  "cores = 1 cores\nmemory = 64 MiB\nrun_time = 1 s\n")
        self.apply(self.sections() + SAMPLE + marked)
        wait_until(lambda: all(
            it.dump()["quotas"]["is_raised"] for it in self.regions.values()),
            20, "both regions have brought the file in")
        tasks = {"route-run": 6, "delivery-plan": 4, "marked@south": 1}
        for job in tasks:
            wait_until(lambda: any(
                it.job(job).get("phase") == "finished"
                for it in self.regions.values()), 30, job + " has finished")
        time.sleep(1)  # A second run would have started by now.
        for job, count in tasks.items():
            self.assertEqual(self.runs_of(job), count, job)
        self.assertEqual(
            self.south.job("marked@south").get("phase"), "finished")

    def test_a_dispatch_sent_through_both_regions_runs_once(self):
        self.apply(self.sections() + SAMPLE)
        self.wait_serving()
        homes = set()
        for _ in range(8):
            key = new_key()
            answers = self.in_both(lambda it: self.dispatch(it, key))
            homes.add(self.check_one_home(answers, 200))
            self.assertEqual(self.key_runs()[key], 1)
        self.assertEqual(homes, set(self.regions))
        key = new_key() + "@north"
        answers = self.in_both(lambda it: self.dispatch(it, key))
        self.assertEqual(self.check_one_home(answers, 200), "north")
        self.assertEqual(self.key_runs()[key], 1)

    def test_a_file_without_regions_serves_the_first_region_only(self):
        self.apply(SAMPLE)
        wait_until(lambda: self.north.job("route-run").get("phase") ==
                   "finished", 30, "north runs the file's job")
        for job in ("a", "b", "c"):
            answers = self.in_both(lambda it: self.submit(it, job))
            self.assertEqual(
                {region: (status, body.get("home_region"))
                 for region, (status, body) in answers.items()},
                {"north": (202, None), "south": (421, "north")})
        key = new_key()
        status, body = self.dispatch(self.south, key)
        self.assertEqual((status, body["home_region"]), (421, "north"))
        self.assertEqual(self.key_runs()[key], 0)
        self.assertEqual(self.runs_of("route-run"), 6)
        self.assertEqual(self.held("dispatch")["south"], 0)


class FileOfTwoRegionsTest(RegionsCase):
    def test_home_regions_are_fixed_by_the_first_file(self):
        self.apply(self.sections() + SAMPLE)
        for cluster in self.regions.values():
            for text in (SAMPLE, "[region north]\n" + SAMPLE,
                         self.sections() + "[region west]\n" + SAMPLE):
                code, answer = cluster.apply(text)
                self.assertEqual(code, 1, answer)
                self.assertIn("home_regions_fixed", answer)
        self.assertEqual(set(self.versions()), {1})
        self.apply(self.sections() + "[region west]\nhome = no\n" + SAMPLE)
        self.assertEqual(set(self.versions()), {2})

    def test_status_and_outcomes_show_each_region(self):
        self.apply(self.sections() + SAMPLE)
        self.wait_serving()
        code, text = self.north.ctl("status", "--json")
        entries = json.loads(text)["entries"]
        self.assertEqual(code, 0, text)
        self.assertEqual(sorted(it["region"] for it in entries),
                         ["north", "south"])
        self.south.entries["entry-1"]["process"].kill()
        code, text = self.north.ctl("status")
        self.assertEqual(code, 6)
        self.assertRegex(text, "south .*no entry of the region answers")
        code, text = self.north.ctl("outcomes")
        self.assertEqual(code, 7)
        self.assertIn("Region south\nNo entry of the region answers", text)
        self.assertEqual(self.north.dump()["region"], "north")

    def test_regions_never_hold_more_than_a_quota_between_them(self):
        self.apply(self.sections() + SAMPLE)
        self.wait_held({"north": 12_000, "south": 12_000})
        self.relay.part()
        code, answer = self.north.apply(self.sections((3, 1)) + SAMPLE)
        self.assertEqual(code, 0, answer)
        for _ in range(20):  # South has not given up its part.
            self.assertLessEqual(sum(self.held("dispatch").values()), 24_000)
            time.sleep(0.1)
        self.assertEqual(self.held("dispatch")["north"], 12_000)
        self.relay.heal()
        self.wait_held({"north": 18_000, "south": 6_000})

    def wait_held(self, expected):
        wait_until(lambda: self.held("dispatch") == expected, 20,
                   "each region holds its part")

    def test_without_the_shared_stream_no_team_exceeds_what_its_region_holds(
            self):
        self.apply(self.sections() + SAMPLE)
        self.wait_held({"north": 12_000, "south": 12_000})
        self.north.set_log_faults(down_streams=["configuration"])
        wait_until(lambda: self.north.status()["is_cut_off"], 20,
                   "north is cut off")
        status, body = call(self.north.any_entry(), "POST", "/v1/jobs", {
            **JOB, "job": "wide@north", "tasks": 20, "millicores": 1000,
            "run_milliseconds": 30_000})
        self.assertEqual(status, 202, body)
        wait_until(lambda: self.granted() >= 11_000, 20, "it uses its part")
        for _ in range(20):
            self.assertLessEqual(self.granted(), 12_000, self.north.dump())
            time.sleep(0.1)
        self.north.set_log_faults()
        wait_until(lambda: self.granted() > 12_000, 20,
                   "it borrows again once the others can be heard")


class MovingQuotasTest(RegionsCase):
    SETTINGS = ("[regions]\ncut_off_after = 2 s\nquota_patience = 1 s\n"
                "quota_hold_off = 3 s\n")

    def test_a_part_moves_to_where_the_work_is_and_back(self):
        self.apply(self.sections() + SAMPLE)
        wait_until(lambda: sum(self.held("dispatch").values()) == 24_000, 20,
                   "the quota is held whole")
        for region, other in (("north", "south"), ("south", "north")):
            cluster = self.regions[region]
            status, body = call(cluster.any_entry(), "POST", "/v1/jobs", {
                **JOB, "job": "wide@" + region, "tasks": 20,
                "millicores": 1000, "run_milliseconds": 60_000})
            self.assertEqual(status, 202, body)
            wait_until(lambda: self.holds_what_it_uses(region), 40,
                       region + " holds what it had borrowed")
            self.assertLess(self.held("dispatch")[other], 12_000)
            self.assertEqual(call(cluster.any_entry(), "DELETE",
                                  "/v1/jobs/wide@" + region)[0], 200)
        wait_until(lambda: sum(self.held("dispatch").values()) == 24_000, 20,
                   "nothing of the quota is lost")

    def holds_what_it_uses(self, region):
        # The taker is asked first, so that no part on its way is seen twice.
        taker_first = sorted(self.regions, key=lambda it: it != region)
        held = [self.held("dispatch", [it])[it] for it in taker_first]
        self.assertLessEqual(sum(held), 24_000)
        return 12_000 < self.granted(region) <= held[0]


class HourOfChangesTest(RegionsCase):
    """Letter 1: 7,200 changes a day, 630 teams, 32 MB for control in a node."""

    CHANGES = 7200 // 24
    TEAMS = 630
    MEGABYTES = 32

    def change(self, version):
        text = self.sections() + SAMPLE + "".join(
            "[team t%d]\ncustomer = banverksgrus\nquota_cores = %d cores\n"
            "quota_memory = 1 GiB\n" % (i, version + 1)
            for i in range(self.TEAMS))
        return call(self.north.any_entry(), "PUT", "/admin/v1/configuration",
                    text, {"Expected-Version": str(version)})[0]

    def test_an_hour_of_changes_is_caught_up_within_the_memory_of_a_node(self):
        self.assertEqual(self.change(0), 200)
        self.wait_in_force()
        self.relay.part()
        for version in range(1, self.CHANGES + 1):
            self.assertEqual(self.change(version), 200)
        self.assertEqual(self.south.status()["configuration"]["version"], 1)
        self.relay.heal()
        wait_until(lambda: self.south.status()["configuration"]["version"] ==
                   self.CHANGES + 1, 60, "the last change is in force")
        self.assertLess(self.peak_megabytes(), self.MEGABYTES)

    def peak_megabytes(self):
        process = self.south.entries["entry-1"]["process"].popen
        lines = pathlib.Path("/proc/%d/status" % process.pid).read_text()
        return int(next(it for it in lines.splitlines()
                        if it.startswith("VmHWM")).split()[1]) / 1024


class PartedRegionsTest(RegionsCase):
    ENTRIES = 2

    def test_parting_longer_than_leases_doubles_and_reverts_nothing(self):
        self.apply(self.sections() + SAMPLE)
        self.wait_serving()
        for region, cluster in self.regions.items():
            status, body = call(cluster.any_entry(), "POST", "/v1/jobs", {
                **JOB, "job": "long@" + region, "run_milliseconds": 12_000})
            self.assertEqual(status, 202, body)
            wait_until(lambda: cluster.job("long@" + region).get("running") ==
                       2, 20, "the long job runs")
        self.relay.part()
        ends_at = time.monotonic() + 8  # Five leases.
        seen = collections.defaultdict(list)
        keys, applied = [], 0
        while time.monotonic() < ends_at:
            applied += self.north.apply(self.sections() + SAMPLE)[0] == 0
            keys.append(new_key())
            self.check_parted(keys[-1])
            self.note_versions(seen)
        self.assertGreater(applied, 0)
        self.relay.heal()
        wait_until(lambda: (self.note_versions(seen),
                            set(self.versions()) == {1 + applied})[1], 12,
                   "the newest version is in force everywhere")
        for versions in seen.values():
            self.assertEqual(versions, sorted(versions))
        for region, cluster in self.regions.items():
            wait_until(lambda: cluster.job("long@" + region).get("phase") ==
                       "finished", 40, "the long job has finished")
        runs = self.task_runs()
        self.assertEqual(audit.overlapping(runs), [])
        self.assertEqual(audit.finished_more_than_once(runs), [])
        self.assertEqual(self.runs_of("long@south"), 2)
        answered = 0
        for key in keys:
            answers = self.in_both(lambda it: self.dispatch(it, key))
            ran = {body.get("ran", "yes") for _, body in answers.values()}
            # A claim that was on its way when the regions parted is refused for
            # good: then the home region says so, and nothing ran.
            self.assertIn(ran, ({"yes", "unknown"}, {"no", "unknown"}))
            answered += "yes" in ran
            self.assertEqual(self.key_runs()[key], int("yes" in ran))
        self.assertGreater(answered, 0)

    def check_parted(self, key):
        """What south can't record it refuses as not run; it never guesses."""
        status, body = self.submit(self.south, "parted@south")
        self.assertIn((status, body.get("ran")),
                      [(503, "no"), (202, None), (0, None)])
        status, body = self.dispatch(self.south, key)
        self.assertIn((body.get("reason"), body.get("ran")),
                      [("log_unavailable", "no"), ("deadline_passed", "no"),
                       ("not_home_region", "unknown")])
        self.dispatch(self.north, key)
        self.assertLessEqual(self.key_runs()[key], 1)

    def note_versions(self, seen):
        for region, cluster in self.regions.items():
            for name, entry in cluster.entries.items():
                seen[region, name].append(cluster.status(
                    entry["address"])["configuration"]["version"])


if __name__ == "__main__":
    unittest.main()
