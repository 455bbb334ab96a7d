#!/usr/bin/env bash
# Checks that each patch of tools/ablation and tools/guards still applies without fuzz and that
# the result builds.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cd "$root"
git ls-files -z '*.go' go.mod go.sum | xargs -0 cp --parents -t "$copy"
cd "$copy"
for patch in "$root"/tools/ablation/*.patch "$root"/tools/guards/*.patch; do
  patch -s -p1 -F0 < "$patch"
  # Patches change no declaration that other packages use.
  packages=$(sed -n 's|^+++ b/\(.*\)/[^/]*$|./\1|p' "$patch" | sort -u)
  go build $packages || { echo "does not build: $(basename "$patch")"; exit 1; }
  patch -s -p1 -R < "$patch"
done
