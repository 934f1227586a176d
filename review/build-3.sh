#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases (9 to 13) into target/. The system itself is built by the command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../../target/standin-3 .
