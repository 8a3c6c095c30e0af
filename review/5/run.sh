#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
python3 -c 'import tomllib' || exit 2
status=0
timeout -k 3 116 python3 "$(dirname "$0")/case.py" || status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
