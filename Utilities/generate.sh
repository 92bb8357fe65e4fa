#!/usr/bin/env bash
# Writes the headers in Generated anew; needs flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums -o Generated Source/wire/datagram.fbs Source/wire/control.fbs Source/wire/mesh.fbs
