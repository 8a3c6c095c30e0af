#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
exec timeout -k 3 118 python3 "$(dirname "$0")/case.py"
