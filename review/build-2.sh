#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, each with the code of its case, into
# target/review-2. Needs a C++ compiler only.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
out=$top/target/review-2
mkdir -p "$out"
for case in "$top"/review/{6,7,8,9,10}/case.cc; do
  [ -f "$case" ] || continue
  name=case-$(basename "$(dirname "$case")")
  "${CXX:-g++}" -std=c++20 -O2 -pthread "$case" -o "$out/$name"
done
