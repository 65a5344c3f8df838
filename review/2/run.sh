#!/usr/bin/env bash
# A tenant becomes isolated; another tenant's requests must not use what its requests have left in memory.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin wall target/hornbeamwood-platform review/2/record.txt
