#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# same is played without the disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 -B case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
