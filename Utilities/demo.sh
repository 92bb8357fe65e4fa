#!/usr/bin/env bash
# Builds, starts a whole set-up on loopback, runs a load and checks the result.
# Example: Utilities/demo.sh --scenario entry-kill --seconds 10 --seed 3
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${CORIANDERPLANK_BUILD:-$top/build}
log=$(mktemp)
trap 'rm -f "$log"' EXIT
{
  "$top/Utilities/install.sh"
  cmake -S "$top" -B "$build" -G Ninja
  ninja -C "$build" corianderplank corianderplank_entry corianderplank_agent \
    backend_standin platform_standin
} >"$log" 2>&1 || { cat "$log"; exit 1; }
rm -f "$log"
cd "$top/Utilities"
exec python3 -B -m demo --build "$build" "$@"
