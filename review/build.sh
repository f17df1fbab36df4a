#!/bin/sh
# Prepares the stand-ins that the scripts of the review start. They need only
# the standard library; the daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/common/standins.py review/?/case.py
