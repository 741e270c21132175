#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs that need
# nothing but its standard library, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -c '
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for name in sorted(glob.glob("lib/*.py") + glob.glob("[1-5]/*.py")):
    compile(open(name, encoding="utf-8").read(), name, "exec")
print("review: stand-ins ready")
'
