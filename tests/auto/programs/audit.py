"""What really ran, by the journals of the stand-ins, not by our own counts."""

import collections


def task_runs(cluster, names=None):
    """Returns the runs of each task on all workers."""
    runs = collections.defaultdict(list)
    for name in names or cluster.workers:
        if name in cluster.last_journals:
            journal = cluster.last_journals[name]
        elif cluster.workers[name]["process"].is_running():
            journal = cluster.journal(name)
        else:
            continue
        for run in journal.get("tasks", []):
            runs[run["task"]].append({**run, "worker": name})
    return runs


def evicted(runs):
    """Returns the runs that ended with a checkpoint."""
    return [run for spans in runs.values() for run in spans
            if run["end"] == "checkpointed"]


def wrong_resumes(runs, killed=()):
    """Returns what breaks "evicted work resumes exactly once, and from its
    checkpoint". What a killed worker wrote last may be lost before it was
    recorded: then the task begins anew."""
    found = []
    for task, spans in runs.items():
        ordered = sorted(spans, key=lambda it: it["started_us"])
        written = {run["checkpoint"]: run for run in ordered
                   if run["checkpoint"]}
        resumed = collections.Counter(run["resumed"] for run in ordered)
        for checkpoint, run in written.items():
            least = 0 if run["worker"] in killed else 1
            if not least <= resumed[checkpoint] <= 1:
                found.append((task, checkpoint, resumed[checkpoint]))
        for run in ordered:
            if not run["resumed"]:
                if run["from_permille"] != 0:
                    found.append((task, "begins late", run))
                continue
            writer = written.get(run["resumed"])
            if writer is None or run["started_us"] < writer["ended_us"] or \
                    run["from_permille"] != writer["to_permille"]:
                found.append((task, "resumes otherwise", run))
    return found


def overlapping(runs):
    """Returns tasks that ran in two places at once; the clocks are one."""
    found = []
    for task, spans in runs.items():
        ordered = sorted((it["started_us"], it["ended_us"] or float("inf"))
                         for it in spans)
        found += [task for (_, end), (start, _) in zip(ordered, ordered[1:])
                  if start < end]
    return found


def finished_more_than_once(runs):
    return [task for task, spans in runs.items()
            if sum(it["end"] == "finished" for it in spans) > 1]


def body_runs(cluster):
    """Returns how often a request with each body was really executed."""
    bodies = collections.Counter()
    for name in cluster.workers:
        for run in cluster.journal(name).get("requests", []):
            bodies[run["body"]] += 1
    return bodies


def lies(answers, runs):
    """Returns what callers were told that is not true, for each request with
    a body of its own: (body, status, answer)."""
    found = []
    for body, status, answer in answers:
        if status == 200:
            is_true = (isinstance(answer, dict) and
                       answer.get("echo") == body and runs[body] >= 1)
        elif status == 0:
            is_true = True  # Told nothing.
        elif not isinstance(answer, dict):
            is_true = False  # Every refusal says whether it ran.
        else:
            is_true = (answer.get("ran") in ("no", "unknown", "yes") and
                       (answer["ran"] != "no" or runs[body] == 0) and
                       (answer["ran"] != "yes" or runs[body] >= 1))
        if not is_true:
            found.append((body, status, answer, runs[body]))
    return found


def key_runs(cluster):
    """Returns how often each idempotency key was really executed."""
    keys = collections.Counter()
    for name in cluster.workers:
        for run in cluster.journal(name).get("requests", []):
            keys[run["key"]] += 1
    return keys
