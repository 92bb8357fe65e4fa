#!/usr/bin/env bash
# Installs, builds, checks format and lint, runs all tests; the last line counts.
set -uo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${CORIANDERPLANK_BUILD:-$top/build}
cd "$top"
# As in CMakeLists.txt.
decision_libraries=(detection evacuation link liveness pace)
passed=0
failed=0
known=0
names=()

# Runs one check; a failure that KNOWN-RED.txt lists does not count as one.
check() {
  local name=$1
  shift
  local started=$SECONDS
  if "$@"; then
    echo "PASS $name ($((SECONDS - started)) s)"
    passed=$((passed + 1))
  elif [ -f KNOWN-RED.txt ] && grep -q "^test: $name\$" KNOWN-RED.txt; then
    echo "KNOWN RED $name, see KNOWN-RED.txt"
    known=$((known + 1))
  else
    echo "FAIL $name ($((SECONDS - started)) s)"
    failed=$((failed + 1))
    names+=("$name")
  fi
}

# Prints the doctest cases of a test program that KNOWN-RED.txt lists, one a
# line: entries "test: PROGRAM/CASE".
known_red_cases() {
  [ ! -f KNOWN-RED.txt ] || sed -n "s|^test: $1/||p" KNOWN-RED.txt
}

# Runs a test program without its known red cases.
run_without_known_red() {
  local folder=$1 name=$2 excluded
  excluded=$(known_red_cases "$name" | sed 's/,/\\,/g' | paste -sd, -)
  "$folder/Tests/${name}_test" ${excluded:+"--test-case-exclude=$excluded"}
}

# Runs each known red case alone; one that passes has to leave the list.
check_known_red_cases() {
  local name=$1 folder=$2 case
  while read -r case; do
    if "$folder/Tests/${name}_test" "--test-case=${case//,/\\,}" >/dev/null; then
      echo "listed in KNOWN-RED.txt, but passes: $name/$case"
      failed=$((failed + 1))
      names+=("$name/$case")
    else
      echo "KNOWN RED $name/$case, see KNOWN-RED.txt"
      known=$((known + 1))
    fi
  done < <(known_red_cases "$name")
}

# Starts a check that takes one core and measures no time; `join` counts it.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
declare -A started_pids
start() {
  local name=$1
  shift
  "$@" >"$folder/$name" 2>&1 &
  started_pids[$name]=$!
}

join_started() {
  wait "${started_pids[$1]}"
  local code=$?
  [ "$code" -eq 0 ] || cat "$folder/$1"
  return "$code"
}

join() {
  check "$1" join_started "$1"
}

sources() {
  git ls-files 'Source/*.cc' 'Source/*.h' 'Tests/*.cc' 'Tests/*.h' \
    'platform/*.cc' 'platform/*.h'
}

check_format() {
  sources | xargs clang-format --dry-run --Werror
}

# One process a core; only files of ours are reported on.
check_lint() {
  sources | grep '\.cc$' |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
}

# Only platform/ knows the names of the users' platform.
check_platform_names() {
  ! git grep -lE 'kv-(key|range|watch)|ColdRemainingMs|DatagramAddr|TrafficSplit|op/(config|evacuate)|ColdPerS' \
    -- 'Source/*' 'Tests/core/*' 'Tests/evacuation/*' 'Tests/wire/*' 'Tests/net/*' 'Tests/packet/*'
}

# What the deploy file builds, without the tests.
check_deploy_build() {
  cmake -S . -B "$build-deploy" -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DCORIANDERPLANK_TESTS=OFF >/dev/null &&
    ninja -C "$build-deploy" corianderplank_packet_entry \
      corianderplank_packet_agent >/dev/null
}

# The longest one of the tests under the sanitizers.
run_sanitized_core() {
  UBSAN_OPTIONS=halt_on_error=1 RC_PARAMS="seed=7 max_success=25" \
    run_without_known_red "$build-address" core
}

# Decisions are in programs of their own, one for each library.
run_sanitized_decisions() {
  local name
  for name in "${decision_libraries[@]}"; do
    UBSAN_OPTIONS=halt_on_error=1 run_without_known_red "$build-address" "$name" ||
      return 1
  done
}

# All test programs but product under the address and undefined-behaviour sanitizers.
check_sanitizers() {
  # Under the sanitizers GCC 12 reports uninitialized reads in Boost.Histogram,
  # wrongly; the plain build is the one whose warnings are errors. With -O2 a
  # source that includes Boost.Beast takes three minutes.
  cmake -S . -B "$build-address" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g -DNDEBUG" \
    -DCORIANDERPLANK_WARNINGS_AS_ERRORS=OFF \
    -DCORIANDERPLANK_SANITIZE=address,undefined >/dev/null &&
    ninja -C "$build-address" core_test "${decision_libraries[@]/%/_test}" \
      wire_test net_test packet_test platform_test >/dev/null &&
    UBSAN_OPTIONS=halt_on_error=1 run_without_known_red "$build-address" net ||
    return 1
  start sanitized_core run_sanitized_core
  UBSAN_OPTIONS=halt_on_error=1 run_without_known_red "$build-address" wire &&
    run_sanitized_decisions &&
    UBSAN_OPTIONS=halt_on_error=1 run_without_known_red "$build-address" packet >/dev/null &&
    UBSAN_OPTIONS=halt_on_error=1 RC_PARAMS="seed=7 max_success=500" \
      run_without_known_red "$build-address" platform
  local code=$?
  join_started sanitized_core && [ "$code" -eq 0 ]
}

# The hand-over between control and traffic threads of both daemons.
check_threads() {
  cmake -S . -B "$build-thread" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCORIANDERPLANK_SANITIZE=thread >/dev/null &&
    ninja -C "$build-thread" corianderplank corianderplank_entry \
      corianderplank_agent backend_standin platform_standin >/dev/null &&
    "$top/Utilities/check_threads.sh" "$build-thread"
}

Utilities/install.sh || exit 1
cmake -S . -B "$build" -G Ninja >/dev/null || exit 1
check build ninja -C "$build" --quiet
for name in imbalance class_share; do
  start "$name" "$build/Tests/${name}_benchmark"
done
# About a minute; the tests of core play a few seeds of it.
SOAK_SEEDS=500 start soak "$build/Tests/core_test" --test-case="soak*"
check format check_format
check lint check_lint
check platform_names check_platform_names
check deploy_build check_deploy_build
for name in core "${decision_libraries[@]}" wire product packet platform; do
  check "$name" run_without_known_red "$build" "$name"
  check_known_red_cases "$name" "$build"
done
check utilities ctest --test-dir "$build" --output-on-failure -R '^utilities$'
check command ctest --test-dir "$build" --output-on-failure -R '^command_'
check command_pages Utilities/generate_command_pages.sh "$build" --check
check sanitizers check_sanitizers
check threads check_threads
join imbalance
join class_share
join soak
# These measure time or depend on it: nothing else runs beside them.
for name in net core_cost packet_cost; do
  check "$name" ctest --test-dir "$build" --output-on-failure -R "^$name\$"
done
for scenario in steady rolling-restart agent-kill document-race; do
  check "demo $scenario" Utilities/demo.sh --scenario "$scenario" --seconds 8
done
check "demo vitrina" Utilities/demo.sh --environment vitrina --seconds 8
[ "$known" -eq 0 ] || { echo "known red:"; cat KNOWN-RED.txt; }
[ "$failed" -eq 0 ] || echo "failed: ${names[*]}"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
