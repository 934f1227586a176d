#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases. The system itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/standin-3
