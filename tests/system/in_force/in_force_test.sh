#!/usr/bin/env bash
# Guards against a fleet of real processes in which a release note does not reach
# every host, a host goes back to a lower version, also after a restart while the
# store is away, or a new host finds no configuration without the store.
#
# Six hosts and ten notes. The time limit of 60 s for a note is far above the 5 s
# that scripts/in_force checks, so that a busy machine does not decide.
# Usage: in_force_test.sh FOLDER_OF_PROGRAMS
set -euo pipefail

binaries=$1
source "$(dirname "$0")/../../../scripts/local_fleet.sh"

start store "$binaries/stand_in_store" --port=0
store=$address
start target "$binaries/stand_in_target" --name=payments-1 --slots=64 --backlog=64
target=$address

"$binaries/in_force" --binaries="$binaries" --work="$work" --store="$store" --target="$target" \
  --hosts=6 --notes=10 --rest_seconds=1 --payment_seconds=2 --limit_ms=60000 \
  >"$work/figures" 2>"$work/in_force.log" || {
  cat "$work/figures" >&2
  fail "the run found a fault"
}

# expect NAME VALUE: checks a line of the run.
expect() {
  grep -qx "in_force.$1 $2 [a-z]*" "$work/figures" || {
    cat "$work/figures" >&2
    fail "$1 is not $2"
  }
}
expect reverts 0
expect disagreeing 0
expect cold_start.from_peers 1
expect lonely_host.ready 0
expect payments.not_run 0
expect payments.unknown 0
expect payments.refused 0
