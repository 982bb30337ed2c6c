#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later cases start; they need only Python.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q kit2 4 5 6
