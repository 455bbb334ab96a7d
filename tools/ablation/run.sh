#!/usr/bin/env bash
# Plays days of the users' bench with the sources of HEAD and with each patch applied:
#   tools/ablation/run.sh BENCH SITE DAYS SEEDS JOBS DIR [NAME...]
# DIR keeps the copies of the sources, the reports and the tables; a run that was ended goes
# on where it was. Without names all patches are played.
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
bench=$1 site=$2 days=$3 seeds=$4 jobs=$5 dir=$6
shift 6
mkdir -p "$dir"
(cd "$root" && go build -o "$dir/rosemarybay-bench" ./cmd/rosemarybay-bench)
[ -d "$dir/head" ] || git clone -q "$root" "$dir/head"
[ $# -gt 0 ] || set -- $(cd "$root/tools/ablation" && ls ./*.patch | sed 's|^\./||; s|\.patch$||')
for name in "$@"; do
  if [ ! -d "$dir/$name" ]; then
    git clone -q "$root" "$dir/$name"
    (cd "$dir/$name" && patch -s -p1 < "$root/tools/ablation/$name.patch")
  fi
  "$dir/rosemarybay-bench" compare -bench "$bench" -days "$days" -seeds "$seeds" -jobs "$jobs" \
    -reports "$dir/reports" -why "ablation: without $name" "$dir/head" "$dir/$name" "$site" > "$dir/$name.md"
done
