#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start into
# target/review-3, with the libraries of the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

[ -e target/build.ninja ] || {
  echo "$0: run the build of the deploy file first" >&2
  exit 1
}
cmake --build target --target bulrush_edge platform_store_stand_in bulrushshore_platform
mkdir -p target/review-3
rm -f target/review-3/*
mapfile -t archives < <(find target/libraries target/platform target/services target/stand_ins -name 'lib*.a')
compile=(g++ -std=c++20 -O2 -g1 -I.)
for source in review/stand_ins_3/*.cc; do
  object=target/review-3/$(basename "$source" .cc).o
  "${compile[@]}" -c "$source" -o "$object" &
done
wait
g++ target/review-3/*.o -o target/review-3/review_case \
  -Wl,--start-group "${archives[@]}" -Wl,--end-group -llog4cxx -lxxhash -lcaf_core -lpthread
