#!/bin/sh
# Builds what the scripts of the review start besides the daemons. The stand-ins are single files of
# the standard library, so they are only compiled, which fails on a file that can't be read.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
