#!/usr/bin/env bash
# Builds the soak tool, which runs the review's cases with stand-ins of the store, the workers
# and the callers. The daemons are built by the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/soak ./platform/soak
