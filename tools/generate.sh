#!/usr/bin/env bash
# Generates the Go code of the .proto files under api/ into the given directory, by
# default into the repository itself.
set -eu
cd "$(dirname "$0")/.."
out=${1:-.}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -modfile=tools/go.mod -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
(cd tools/protogen && go build -o "$bin/" .)
PATH="$bin:$PATH" protogen -out "$out" -opt module=github.com/rosemarybay/rosemarybay \
  -plugin protoc-gen-go -plugin protoc-gen-connect-go $(git ls-files 'api/*.proto')
