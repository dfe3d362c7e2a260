#!/usr/bin/env bash
# Builds the program of the cases 11 to 15, which holds their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
go build -ldflags=-linkmode=external -o target/scenario3 ./review/scenario3
