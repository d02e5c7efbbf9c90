import pathlib
import shlex
import subprocess
import unittest

from cluster import PROGRAMS
from region_case import RegionCase

DOCUMENTS = pathlib.Path(__file__).parents[3] / "docs" / "operations"
CTL = "papayadrift-ctl "
INDENT = "    "
ADDRESS = "10.0.0.1:8080"
GAPS = 7


def commands_in(path):
    """Returns the commands of the indented blocks of a page, as written."""
    commands = []
    is_open = False
    for line in path.read_text().splitlines():
        if is_open:
            commands[-1] += " " + line.strip().rstrip("\\").rstrip()
        elif line.startswith(INDENT + CTL):
            commands.append(line.strip().rstrip("\\").rstrip())
        else:
            continue
        is_open = line.endswith("\\")
    return commands


class DocumentedCommandsTest(RegionCase):
    def test_each_command_of_the_pages_does_what_they_say(self):
        self.apply_sample()
        address = self.cluster.any_entry()
        commands = [(page.name, it)
                    for page in sorted(DOCUMENTS.glob("*.md"))
                    for it in commands_in(page)]
        self.assertGreaterEqual(len(commands), 9)
        for page, command in commands:
            with self.subTest(page=page, command=command):
                words = shlex.split(command)[1:]
                run = subprocess.run(
                    [str(PROGRAMS["ctl"]),
                     *(address if it == ADDRESS else it for it in words)],
                    capture_output=True, text=True, timeout=30, check=False)
                allowed = (0, GAPS) if words[0] == "outcomes" else (0,)
                self.assertIn(run.returncode, allowed, run.stderr)
                self.assertTrue(run.stdout.strip())


if __name__ == "__main__":
    unittest.main()
