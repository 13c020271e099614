#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python programs, so nothing is compiled; this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 - stand_ins_2.py [6-9]/run.py 10/run.py <<'CHECK'
import glob
import sys
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
CHECK
