#!/usr/bin/env bash
# Runs each fuzz target for the given duration, 2 s by default: tools/fuzz.sh 30s
set -eu
cd "$(dirname "$0")/.."
for file in $(git ls-files '*_test.go' | xargs grep -lE '^func Fuzz'); do
  for target in $(grep -oE '^func Fuzz[A-Za-z]+' "$file" | cut -d' ' -f2); do
    go test "./$(dirname "$file")" -run '^$' -fuzz "^$target\$" -fuzztime "${1:-2s}" -parallel 2
  done
done
