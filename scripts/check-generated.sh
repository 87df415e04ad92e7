#!/usr/bin/env bash
# Compares the committed generated code with the output of protoc. If protoc is
# not installed, it only checks by digest that source and output were committed
# together.
set -euo pipefail
digest=$(sha256sum api/peer/peer.proto | cut -d' ' -f1)
recorded=$(cat api/peer/peer.proto.sha256)
if [ "$digest" != "$recorded" ]; then
  echo "api/peer/peer.proto changed: run 'make generate'"; exit 1
fi
if command -v protoc >/dev/null 2>&1; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
  go build -modfile=tools/go.mod -o "$out/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
  protoc --plugin="$out/protoc-gen-go" --go_out="$out" --go_opt=paths=source_relative api/peer/peer.proto
  diff <(grep -v '^// .*protoc ' "$out/api/peer/peer.pb.go") <(grep -v '^// .*protoc ' api/peer/peer.pb.go)
fi
