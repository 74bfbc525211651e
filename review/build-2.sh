#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python files that need
# the standard library only, so this checks the version and their syntax.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for number in range(6, 11):
    for path in pathlib.Path(str(number)).glob("*.py"):
        compile(path.read_text(), str(path), "exec")
compile(pathlib.Path("scene.py").read_text(), "scene.py", "exec")
P
echo "the stand-ins are ready"
