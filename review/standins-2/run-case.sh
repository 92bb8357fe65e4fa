#!/usr/bin/env bash
# Runs the case in the given folder: 1 if the rule was broken, 0 if it held, 2
# if the case could not run. With TROUBLE=0 without the disruption.
set -uo pipefail
folder=$(cd "$1" && pwd)
top=$(cd "$folder/../.." && pwd)
cd "$top"
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] || { echo "build target/ and run review/build-2.sh first" >&2; exit 2; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# The case ends its processes when it ends, however that is.
timeout -k 2 110 "$program" "$folder/record.txt" "$work" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' TERM INT HUP
wait "$child"
status=$?
[ "${KEEP_LOGS:-}" = "" ] || cp "$work"/*.log "$KEEP_LOGS"/
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
