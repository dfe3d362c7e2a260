#!/usr/bin/env bash
# Builds the stand-ins of the cases, and the program that runs them, into target/. The build of the
# deploy file has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/scenario
