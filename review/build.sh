#!/usr/bin/env bash
# Builds what the scripts of the cases start: the stand-ins are Python programs
# that need the standard library only, so that nothing but their syntax is to be
# checked. bulrush_edge comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(glob.glob("stand_ins/*.py") + glob.glob("*/case.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print(path + ": ok")
END
