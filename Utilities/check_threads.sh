#!/usr/bin/env bash
# Runs a short demo with a build under the thread sanitizer; fails on a report.
set -euo pipefail
build=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$(dirname "$0")"
export TSAN_OPTIONS="exitcode=66"
python3 -B -m demo --build "$build" --scenario document-race --seconds 6 \
  --load rate=20 --keep "$folder"
if grep -l "WARNING: ThreadSanitizer" "$folder"/*.log; then
  grep -h -A 30 "WARNING: ThreadSanitizer" "$folder"/*.log | head -80
  exit 1
fi
