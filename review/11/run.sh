#!/usr/bin/env bash
# Plays this case on real processes: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0
# leaves the disruption out. review/build-3.sh builds what it starts. day.toml is the same case for the bench.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rig3 ] || [ ! -x target/hemlockhinge ]; then
  echo "run review/build-3.sh first" >&2
  exit 2
fi
timeout -k 5 110 target/rig3 takeover review/11
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
