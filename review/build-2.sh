#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python scripts and need only its standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
CHECK
test -x ../target/release/skylarkhookd
