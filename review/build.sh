#!/usr/bin/env bash
# Builds the stand-ins that the script cases start. The project's own programs are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
