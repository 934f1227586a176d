#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts (cases 4 to 8) into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../../target/review-2/standin2 .
