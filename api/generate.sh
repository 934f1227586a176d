#!/usr/bin/env bash
# Regenerates the committed Go code from the .proto files in this directory.
# Needs protoc. go.mod pins the versions of the Go plugins (tool directives).
# PUMICEYARD_API sets another output directory.
set -euo pipefail
cd "$(dirname "$0")"
out="${PUMICEYARD_API:-.}"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc -I . \
  --go_out="$out" --go_opt=paths=source_relative \
  --connect-go_out="$out" --connect-go_opt=paths=source_relative \
  pumiceyard/v1/*.proto
