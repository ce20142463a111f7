#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. record.txt has what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
exec target/soak zone-apart review/1/record.txt
