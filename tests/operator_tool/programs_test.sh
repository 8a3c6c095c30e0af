#!/usr/bin/env bash
# Guards against programs whose flags, output or exit codes differ from their
# help text.
# Usage: programs_test.sh STAND_IN_STORE BULRUSHCTL NOTES_FOLDER
set -euo pipefail

stand_in_store=$1
bulrushctl=$2
notes=$3
folder=$(mktemp -d)
store_pid=
trap '[ -z "$store_pid" ] || kill "$store_pid" 2>/dev/null; rm -r "$folder"' EXIT

expect_exit() {
  local expected=$1 actual=0
  shift
  "$@" >"$folder/out" 2>"$folder/err" || actual=$?
  if [ "$actual" -ne "$expected" ]; then
    echo "exit code $actual in place of $expected: $*" >&2
    cat "$folder/out" "$folder/err" >&2
    exit 1
  fi
}

"$stand_in_store" --port=0 >"$folder/store" &
store_pid=$!
for _ in $(seq 100); do
  grep -q '^listening ' "$folder/store" && break
  sleep 0.05
done
address=$(sed -n '1s/^listening //p' "$folder/store")

expect_exit 0 "$bulrushctl" --help
expect_exit 0 "$bulrushctl" --version
expect_exit 0 "$stand_in_store" --help
expect_exit 2 "$bulrushctl" unknown
expect_exit 2 "$bulrushctl" publish "$notes/echtheid.ini"
expect_exit 2 "$bulrushctl" validate "$folder/missing.ini"
expect_exit 0 "$bulrushctl" validate "$notes/lakeshore.ini"
expect_exit 0 "$bulrushctl" diff "$notes/echtheid.ini" --store="$address"
expect_exit 0 "$bulrushctl" publish "$notes/echtheid.ini" --store="$address" --output=json
grep -q '"result": "accepted"' "$folder/out"
expect_exit 0 "$bulrushctl" publish "$notes/echtheid.ini" --store="$address"
if grep -q $'\x1b' "$folder/out"; then
  echo "colour codes in an output that is no terminal" >&2
  exit 1
fi
expect_exit 3 "$bulrushctl" publish "$notes/lakeshore.ini" --store="$address"
expect_exit 0 "$bulrushctl" status --store="$address" --output=json
grep -q '"targets": 34' "$folder/out"
expect_exit 0 "$bulrushctl" history --store="$address"
expect_exit 0 "$bulrushctl" audit --store="$address"
expect_exit 6 "$bulrushctl" publish "$notes/echtheid.ini" --store="$address" \
  --wait --hosts=127.0.0.1:1 --timeout_ms=300

kill -TERM "$store_pid"
store_exit=0
wait "$store_pid" || store_exit=$?
store_pid=
[ "$store_exit" -eq 0 ]
expect_exit 5 "$bulrushctl" status --store="$address"
expect_exit 5 "$bulrushctl" publish "$notes/echtheid.ini" --store="$address"
