#!/usr/bin/env bash
# Writes the generated headers of Source/wire anew; needs flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/../Source/wire"
flatc --cpp --scoped-enums datagram.fbs control.fbs
