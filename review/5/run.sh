#!/bin/bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/case-5 review/5
