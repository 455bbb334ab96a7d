#!/usr/bin/env bash
# Checks the verdict of tools/fuzz.sh on prepared outputs of go test: a run that fails only
# because its duration has ended is repeated, any other failure fails the script at once.
set -eu
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# The stand-in for go fails its first runs with a prepared output, then passes.
cat > "$dir/go" <<'EOF'
#!/usr/bin/env bash
cd "$(dirname "$0")"
echo run >> runs
if [ "$(wc -l < runs)" -le "$(cat failures)" ]; then
  cat output
  exit 1
fi
echo PASS
EOF
chmod +x "$dir/go"

deadline='--- FAIL: FuzzX (2.01s)
    context deadline exceeded
FAIL'
crash='--- FAIL: FuzzX (0.01s)
    --- FAIL: FuzzX (0.00s)
        context deadline exceeded

    Failing input written to testdata/fuzz/FuzzX/0
FAIL'
minimized='fuzz: minimizing 34-byte failing input file
--- FAIL: FuzzX (2.01s)
    context deadline exceeded
FAIL'
seed='failure while testing seed corpus entry: FuzzX/seed#0
--- FAIL: FuzzX (0.01s)
    context deadline exceeded
FAIL'
hung='--- FAIL: FuzzX (0.01s)
    fuzzing process hung or terminated unexpectedly: exit status 2
FAIL'

targets=$(git ls-files '*_test.go' | xargs grep -hE '^func Fuzz[A-Za-z]+' | wc -l)

# check NAME OUTPUT FAILURES VERDICT RUNS
check() {
  echo "$2" > "$dir/output"
  echo "$3" > "$dir/failures"
  rm -f "$dir/runs"
  verdict=pass
  PATH="$dir:$PATH" tools/fuzz.sh > "$dir/log" 2>&1 || verdict=fail
  runs=$(wc -l < "$dir/runs")
  if [ "$verdict $runs" != "$4 $5" ]; then
    echo "FAIL $1: $verdict after $runs runs, expected $4 after $5"
    exit 1
  fi
}

check "no failure" "" 0 pass "$targets"
check "deadline exceeded without a failing input" "$deadline" 1 pass $((targets + 1))
check "deadline exceeded twice" "$deadline" 2 pass $((targets + 2))
check "deadline exceeded in each run" "$deadline" 3 fail 3
check "failing input" "$crash" 1 fail 1
check "deadline exceeded while a failing input is minimized" "$minimized" 1 fail 1
check "failing seed" "$seed" 1 fail 1
check "fuzzing process exits" "$hung" 1 fail 1
check "go test does not build" "undefined: x" 1 fail 1
