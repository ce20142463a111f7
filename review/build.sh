#!/usr/bin/env bash
# Builds the rig of the review's scripts, which has their stand-ins of the store, the workers
# and the callers. The daemons are built by the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
