"""tools/explain tells from a leader's log where the time of a job went."""

import json
import pathlib
import subprocess
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[3] / "tools/explain"


def line(second, event, **fields):
    return json.dumps({"time": "2026-01-01T00:00:%06.3fZ" % second,
                       "event": event, **fields})


def run(second, change, task, number=1, reason="", event="run.changed"):
    return line(second, event, change=change, subject="j." + task, run=number,
                runner="node-1/i/1", reason=reason)


# The first step waits for a second and is slowed to half for two; a task of the
# second step fails once, and its successor is the last to end.
LOG = [
    line(0, "job.accepted", job="j", queue="q", outcome="stored"),
    run(1, "claimed", "0.0.0"),
    run(2, "paced", "0.0.0", reason="50%"),
    run(4, "ended", "0.0.0", reason="done"),
    run(4, "claimed", "0.1.0"),
    run(4, "claimed", "0.1.1"),
    run(5, "ended", "0.1.0", reason="done"),
    run(6, "ended", "0.1.1", reason="failed"),
    run(6.5, "claimed", "0.1.1", 2),
    run(9, "ended", "0.1.1", 2, "done"),
    line(9, "job.ended", subject="j", reason="completed"),
]


class ExplainLogTest(unittest.TestCase):
    def explain(self, lines, *arguments):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
            log.write("\n".join(lines) + "\n")
            log.flush()
            return subprocess.run([TOOL, log.name, *arguments], text=True,
                                  capture_output=True, check=False)

    def test_table_names_each_cause(self):
        table = self.explain(LOG).stdout
        self.assertIn("q: 1 jobs, 1 completed", table)
        for cause, seconds in (("waited for capacity", 1.0), ("ran slowed", 1.0),
                               ("run again", 2.0), ("between two runs", 0.5)):
            self.assertRegex(table, r"%s +%.2f s" % (cause, seconds))

    def test_chain_adds_up_to_the_time_of_the_job(self):
        chain = self.explain(LOG, "j").stdout.splitlines()[1:]
        self.assertAlmostEqual(sum(float(it.split()[0]) for it in chain), 9.0)
        self.assertTrue(any("0.1.1 run 1" in it and "failed" in it
                            for it in chain))

    def test_tells_of_lines_that_are_missing(self):
        lines = [*LOG, line(9, "lines.dropped", count=7),
                 line(9, "job.accepted", job="k", queue="q", left_out=5)]
        self.assertIn("12 log lines", self.explain(lines).stdout)

    def test_refuses_a_job_that_the_log_does_not_name(self):
        self.assertNotEqual(self.explain(LOG, "other").returncode, 0)


if __name__ == "__main__":
    unittest.main()
