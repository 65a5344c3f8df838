#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin-2
