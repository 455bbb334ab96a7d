#!/usr/bin/env bash
# Runs each fuzz target for the given duration, 3 s by default: tools/fuzz.sh 30s
#
# Inputs are not minimized. The coverage of a target that starts goroutines differs between
# runs of one input, so that minimizing would take most of the duration.
#
# go test reports "context deadline exceeded" now and then when the duration ends: it
# compares its context with a child that may be cancelled a moment later. Such a run has
# found nothing and is repeated, at most twice.
set -eu
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT

# fuzz PACKAGE TARGET DURATION
fuzz() {
  for _ in 1 2 3; do
    if go test "$1" -run '^$' -fuzz "^$2\$" -fuzztime "$3" -fuzzminimizetime 0x -parallel 2 > "$log" 2>&1; then
      cat "$log"
      return 0
    fi
    cat "$log"
    only_deadline_exceeded || return 1
    echo "repeating $1 $2: the run failed only with its deadline"
  done
  return 1
}

# only_deadline_exceeded reports whether the single failure in the log is that the duration
# of the run has ended.
only_deadline_exceeded() {
  [ "$(grep -A1 -e '--- FAIL: ' "$log" | tail -n +2)" = "    context deadline exceeded" ] &&
    ! grep -qiE 'failing input|failure while|panic:|fuzzing process' "$log"
}

for file in $(git ls-files '*_test.go' | xargs grep -lE '^func Fuzz'); do
  for target in $(grep -oE '^func Fuzz[A-Za-z]+' "$file" | cut -d' ' -f2); do
    fuzz "./$(dirname "$file")" "$target" "${1:-3s}"
  done
done
