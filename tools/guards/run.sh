#!/usr/bin/env bash
# Takes each guard of "Two runs of one task never overlap" out in turn, in a copy of the work tree,
# and prints which tests notice:
#   tools/guards/run.sh KIND DIR [NAME...]
# KIND is unit, fleet (the daemon with all roles) or model. Without names all patches are applied;
# the name none stands for the sources without a patch, and a+b takes both guards out. DIR keeps the
# copy of the sources and the output of the tests.
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
kind=$1
mkdir -p "$2"
dir=$(cd "$2" && pwd)
shift 2
[ $# -gt 0 ] || set -- none $(cd "$root/tools/guards" && ls ./*.patch | sed 's|^\./||; s|\.patch$||')
# One copy for all patches, so that go test has the results of packages that a patch leaves as
# they are.
copy=$dir/$kind
rm -rf "$copy"
mkdir "$copy"
(cd "$root" && git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy")
cd "$copy"

run_tests() {
  case $kind in
  model) go test -vet=off -timeout 20m ./internal/process/model -run Schedules -rapid.shrinktime 0s -rapid.nofailfile ;;
  fleet) go test -vet=off ./internal/process/daemon ;;
  # Packages that replay loads, without failures of processes, and those of the other kinds are
  # left out.
  unit) go test -vet=off -timeout 60s $(go list ./internal/process/... ./internal/connection/... ./platform/... | grep -vE '/(model|daemon|loadreplay)$') ;;
  esac
}

for name; do
  for part in ${name//+/ }; do
    [ "$part" = none ] || patch -s -p1 -F0 < "$root/tools/guards/$part.patch"
  done
  log=$dir/$kind-$name.log
  run_tests > "$log" 2>&1 || true
  for part in ${name//+/ }; do
    [ "$part" = none ] || patch -s -p1 -R < "$root/tools/guards/$part.patch"
  done
  noticed=$(awk '/^ *--- FAIL: / { print $3 } /^panic: / { print "panic" } /build failed/ { print "build failed" }' "$log" | sort -u | tr '\n' ' ')
  echo "$name: ${noticed:-nothing}"
done
