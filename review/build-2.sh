#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. Needs
# only the packages of deploy/system.toml. Changes nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
objects=()
for source in review/stand_ins_2/*.cc; do
  object=target/review-2/$(basename "$source" .cc).o
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I. -c "$source" -o "$object" &
  objects+=("$object")
done
wait
g++ -pthread "${objects[@]}" -o target/review-2/cases
