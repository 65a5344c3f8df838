#!/usr/bin/env bash
# One server fails requests that it has run with a 503; no client may be told that its request has not run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin refused target/hornbeamwood-platform review/4/record.txt
