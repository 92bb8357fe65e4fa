#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
out=$top/target/review
mkdir -p "$out"
for source in "$top"/review/standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$out/$(basename "$source" .cc).o" &
done
for job in $(jobs -p); do wait "$job"; done
for source in "$top"/review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra "$source" \
    "$out"/{base,store,ends,processes,deployment}.o -o "$out/case-$name"
done
