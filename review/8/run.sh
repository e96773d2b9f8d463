#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# same is played without the disruption.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo 'the build of the deploy file has not run' >&2; exit 2; }
timeout -k 5 114 python3 -B ../lib-2/run_case.py .
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
