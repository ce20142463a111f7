#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy file: the
# project's own stand-ins and review/rig. Needs no network beyond what that build has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/... ./review/rig
