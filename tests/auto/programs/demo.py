"""The demo: two entries, three workers over two zones, one of each killed."""

import collections
import concurrent.futures
import pathlib
import sys
import time

from cluster import Cluster, new_key, wait_until

SAMPLE = pathlib.Path(__file__).with_name("sample.ini").read_text()
QUICK_CHECKS = 200


class Promises:
    """Collects what was checked, and whether it held."""

    def __init__(self):
        self.rows = []

    def check(self, promise, holds, seen):
        self.rows.append((promise, bool(holds), str(seen)))
        print("  %-58s %s  (%s)" % (promise, "held" if holds else "BROKEN",
                                    seen), flush=True)

    def all_hold(self):
        return all(holds for _, holds, _ in self.rows)


def run_counts(cluster, names):
    """Returns how often each task and each key really ran."""
    tasks, keys = collections.Counter(), collections.Counter()
    finished = collections.Counter()
    for name in names:
        journal = cluster.journal(name)
        for run in journal.get("tasks", []):
            tasks[run["task"]] += 1
            finished[run["task"]] += run["end"] == "finished"
        for run in journal.get("requests", []):
            keys[run["key"]] += 1
    return tasks, finished, keys


def overlaps(cluster, names):
    """Returns the tasks that ran in two places at once; clocks are shared."""
    spans = collections.defaultdict(list)
    for name in names:
        for run in cluster.journal(name).get("tasks", []):
            spans[run["task"]].append(
                (run["started_us"], run["ended_us"] or float("inf")))
    return [task for task, list_ in spans.items()
            for (_, end), (start, _) in zip(sorted(list_), sorted(list_)[1:])
            if start < end]


def quick_checks(cluster, addresses, count):
    def one(i):
        body = '{"scan": %d}' % i
        status, answer = cluster.request(
            "keg-check", body, address=addresses[i % len(addresses)])
        if status == 200:
            return "answered" if answer.get("echo") == body else "wrong answer"
        return "refused: %s, ran %s" % (answer.get("reason"),
                                        answer.get("ran"))
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        return collections.Counter(pool.map(one, range(count)))


def show(cluster, promises, with_guards):
    print("\n== %s guards" % ("With" if with_guards else "Without"), flush=True)
    first = cluster.start_entry("entry-1", zone="zone-1")
    second = cluster.start_entry("entry-2", zone="zone-2")
    for i, zone in enumerate(["zone-1", "zone-2", "zone-2"]):
        cluster.start_worker("worker-%d" % i, zone=zone, rack="rack-%d" % i,
                             service="truck-dispatch" if i == 2
                             else "keg-check", guard=with_guards)
    names = list(cluster.workers)

    code, text = cluster.apply(SAMPLE)
    promises.check("An accepted file is in force", code == 0, text.strip())
    wait_until(lambda: cluster.ctl("status")[0] == 0, 12,
               "the file is in force everywhere")
    print(cluster.ctl("status")[1])
    wait_until(lambda: cluster.request("keg-check", address=first)[0] == 200
               and cluster.request("keg-check", address=second)[0] == 200, 10,
               "both entries serve")

    checks = quick_checks(cluster, [first, second], QUICK_CHECKS)
    promises.check("Each quick check gets its own whole answer",
                   checks["answered"] == QUICK_CHECKS, dict(checks))

    key = new_key()
    answers = [cluster.request("truck-dispatch", '{"truck": 1}', key=key,
                               address=address)
               for address in (first, second, first)]
    keys = run_counts(cluster, names)[2]
    promises.check("A truck dispatch runs once although repeated",
                   keys[key] == 1, "ran %d time(s)" % keys[key])
    promises.check("Each repeat gets the first one's answer",
                   all(it == answers[0] and it[0] == 200 for it in answers),
                   [it[0] for it in answers])

    wait_until(lambda: cluster.job("route-run").get("running", 0) > 0, 10,
               "route runs have started")
    victim = "worker-0"
    cluster.workers[victim]["process"].kill()
    if with_guards:
        cluster.workers[victim]["guard"].kill()
    cluster.entries["entry-2"]["process"].kill()
    del cluster.entries["entry-2"]
    left = [name for name in names if name != victim]
    after = quick_checks(cluster, [first], QUICK_CHECKS // 2)
    wrong = [it for it in after
             if it == "wrong answer" or it.startswith("refused: None")]
    promises.check("After the kills no answer is wrong and none is missing",
                   not wrong, dict(after))
    wait_until(lambda: all(cluster.job(job).get("phase") == "finished"
                           for job in ("route-run", "delivery-plan")), 60,
               "all jobs have finished")
    tasks, finished, _ = run_counts(cluster, left)
    doubled = [task for task, count in finished.items() if count > 1]
    promises.check("Route runs and plans finish after a worker was killed",
                   True, "route-run %s, delivery-plan %s" % (
                       cluster.job("route-run")["finished"],
                       cluster.job("delivery-plan")["finished"]))
    promises.check("No task finished twice or ran in two places at once",
                   not doubled and not overlaps(cluster, left), doubled)
    wait_until(lambda: len(cluster.status(first)["entries"]) == 1, 40,
               "the killed entry is retired")
    again = quick_checks(cluster, [first], 50)
    promises.check("One entry alone serves all", again["answered"] == 50,
                   dict(again))
    time.sleep(1.5)  # The last report of outcomes.
    code, table = cluster.ctl("outcomes")
    print(table)
    promises.check("What a killed entry never reported shows as a gap",
                   code == 7 and "entry-2" in table.split("Gaps")[-1],
                   "exit code %d" % code)
    code = cluster.entries["entry-1"]["process"].stop()
    promises.check("A planned stop ends in order", code == 0,
                   "exit code %d" % code)


def main():
    promises = Promises()
    started = time.monotonic()
    for with_guards in (False, True):
        with Cluster() as cluster:
            try:
                show(cluster, promises, with_guards)
            except (TimeoutError, KeyError) as failure:
                promises.check("The demo goes to its end", False, failure)
                for process in cluster.processes:
                    print("--", process.name, process.is_running())
                    print(process.output_text()[-2000:])
    print("\n%d of %d promises held; %.0f s." % (
        sum(holds for _, holds, _ in promises.rows), len(promises.rows),
        time.monotonic() - started))
    return 0 if promises.all_hold() else 1


if __name__ == "__main__":
    sys.exit(main())
