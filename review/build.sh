#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python 3 programs without packages, so this only checks
# that the interpreter is new enough and that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py */play.py <<'END'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
