#!/bin/sh
# The stand-ins are Python 3 programs and need no build; checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import pathlib, sys
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
'
