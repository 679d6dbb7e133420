#!/usr/bin/env bash
# Builds what the scripts of the third review (folders 11 to 15) start, beside the
# build of the deploy file. Their stand-ins are Python programs of the standard
# library alone: they are only checked for syntax here.
set -eu
cd "$(dirname "$0")"
for file in lib-3/standins.py 1[1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
