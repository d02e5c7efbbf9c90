#!/bin/sh
# Builds what the scripts of the third review start beside the programs of the
# deploy file: stand-ins in Python 3, whose syntax is checked here.
set -e
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed.")
for path in [*pathlib.Path("standins-3").glob("*.py"),
             *(pathlib.Path(str(n)) / "case.py" for n in range(11, 16))]:
    if path.exists():
        ast.parse(path.read_text(), str(path))
PYTHON
