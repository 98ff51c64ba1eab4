#!/usr/bin/env bash
# Builds the daemon as the deploy file does, and the programs of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/sassafrasspurd
go build -o target/review/ ./review/...
