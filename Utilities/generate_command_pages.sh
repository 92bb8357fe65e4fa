#!/usr/bin/env bash
# Writes docs/commands anew from the programs' own help; give the build folder.
# With --check it writes nothing and fails when a page is out of date.
set -euo pipefail
build=$1
mode=${2:-}
top=$(cd "$(dirname "$0")/.." && pwd)
pages=$top/docs/commands
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT

page() {
  printf '# %s\n\n```\n%s\n```\n' "$1" "$2"
}

for command in check call load status explain diff report; do
  page "corianderplank $command" "$("$build/Source/corianderplank" "$command" --help)" \
    >"$fresh/$command.md"
done
for daemon in corianderplank_entry corianderplank_agent \
  corianderplank_packet_entry corianderplank_packet_agent; do
  page "$daemon" "$("$build/Source/$daemon" --help)" >"$fresh/$daemon.md"
done
if [ "$mode" = --check ]; then
  diff -r "$fresh" "$pages"
else
  mkdir -p "$pages"
  cp "$fresh"/*.md "$pages/"
fi
