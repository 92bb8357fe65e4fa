#!/usr/bin/env bash
# Installs what the build and the tests need, unless it is there already.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config python3 clang-format clang-tidy
  libboost1.81-dev libboost-json1.81-dev libboost-log1.81-dev
  libboost-thread1.81-dev libnng-dev
  libcxxopts-dev libtomlplusplus-dev libsodium-dev libxxhash-dev
  nlohmann-json3-dev doctest-dev librapidcheck-dev libbenchmark-dev
  libflatbuffers-dev zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
    "${missing[@]}" >/dev/null
fi
