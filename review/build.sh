#!/usr/bin/env bash
# Builds the stand-ins of the cases to review/bin/. It needs the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .
