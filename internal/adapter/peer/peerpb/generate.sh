#!/usr/bin/env bash
# Makes the Go code of peer.proto anew; needs protoc. The result is committed.
set -euo pipefail
cd "$(dirname "$0")/../../../.."
bin=$(mktemp -d)
trap 'rm -r "$bin"' EXIT
for tool in google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc; do
	go build -modfile=tools/go.mod -o "$bin/" "$tool"
done
PATH="$bin:$PATH" protoc -I internal/adapter/peer/peerpb \
	--go_out=. --go_opt=module=github.com/stepcroft/stepcroft \
	--go-grpc_out=. --go-grpc_opt=module=github.com/stepcroft/stepcroft \
	internal/adapter/peer/peerpb/peer.proto
