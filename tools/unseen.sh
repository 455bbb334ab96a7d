#!/usr/bin/env bash
# Writes deployments that nobody has tuned for, by substitution in a site file of the users:
#   tools/unseen.sh SITE DIR
set -eu
site=$1 dir=$2
mkdir -p "$dir"
cp "$(dirname "$site")/wire.json" "$dir/"

# The priorities are reversed, and smaller targets differ more in how long they take.
sed -e 's/priority = 0, /priority = 9, /; s/priority = 2, /priority = 0, /; s/priority = 9, /priority = 2, /' \
  -e 's/speeds = \[[^]]*\]/speeds = [0.6, 1.0, 1.5]/; s/cpu = 32000/cpu = 24000/' "$site" > "$dir/reversed.toml"

# Declared run times are far off, widths vary, objectives are longer, entries have half the
# strength.
sed -e 's/est_off = [0-9.]*/est_off = 0.8/; s/width = { mean = 8, spread = 0.4/width = { mean = 5, spread = 0.8/' \
  -e 's/stretch = [0-9.]*/stretch = 2.0/; s/cpu_share = 0.4, /cpu_share = 0.2, /' "$site" > "$dir/wide.toml"

# Half the capacity, on targets that take twice as long, and larger tasks: hardly any job can
# be in time.
sed -e 's/speeds = \[[^]]*\]/speeds = [2.0]/; s/cpu = 32000/cpu = 16000/; s/cpu = { mean = 3100.0/cpu = { mean = 4000.0/' \
  "$site" > "$dir/slow.toml"

# All queues have the same priority, and jobs are of equal width.
sed -e 's/priority = [0-9], /priority = 1, /; s/width = { mean = [0-9]*,/width = { mean = 4,/' "$site" > "$dir/equal.toml"
