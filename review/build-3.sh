#!/usr/bin/env bash
# Builds the product's programs, as the deploy file says, and the stand-ins of review/11 to review/15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/... ./review/rig3
