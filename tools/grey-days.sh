#!/usr/bin/env bash
# Prints a day for the users' bench on which targets leave orders unanswered, execute them late
# or answer them badly, by random shares and at random times, beside kills, freezes and cuts of
# entries and agents:
#
#   tools/grey-days.sh SEED > day.toml
set -eu
awk -v seed="${1:?usage: tools/grey-days.sh SEED}" '
function pick(list, a) { return a[1 + int(rand() * split(list, a, " "))] }
function between(low, high) { return low + rand() * (high - low) }
function emit(text) { printf "  { %s, at = %.1f, for_s = %.1f },\n", text, between(1, 20), between(1, 10) }
function grey(how) {
  emit(sprintf("kind = \"srv_grey\", how = \"%s\", share = %s, x = %s", how, pick("0.2 0.5 0.8 1.0"), pick("0.1 0.4 0.7 0.9 1.0")))
}
BEGIN {
  srand(seed)
  printf "name = \"grey-%d\"\nplan = []\nfaults = [\n", seed
  for (i = 0; i < 3 + int(rand() * 4); i++) grey(pick("mute mute reset busy shed errors hang"))
  if (rand() < 0.7) emit(sprintf("kind = \"applied_late\", x = %s", pick("0.1 0.3 0.5 0.8")))
  if (rand() < 0.5) emit(sprintf("kind = \"answer_lost\", share = %s, x = %s", pick("0.5 1.0"), pick("0.1 0.4 0.8")))
  for (i = 0; i < 2 + int(rand() * 4); i++) {
    on = pick("side side front")
    kind = pick("node_kill node_kill node_freeze node_cut core_cut reset_conns srv_crash srv_cut clock_step")
    if (kind == "srv_crash") emit(sprintf("kind = \"srv_crash\", share = %s", pick("0.15 0.3 0.5")))
    else if (kind == "srv_cut") emit(sprintf("kind = \"srv_cut\", share = 0.3, how = \"%s\"", pick("reborn some one_way reset")))
    else if (kind == "clock_step") emit(sprintf("kind = \"clock_step\", share = 0.5, x = %d, how = \"%s\"", pick("2000 30000"), pick("back ahead")))
    else if (kind == "reset_conns") emit("kind = \"reset_conns\", share = 0.3, x = 0.5")
    else if (kind == "core_cut") emit("kind = \"core_cut\", on = \"core\", count = 1, how = \"all\"")
    else if (kind == "node_kill" && rand() < 0.4) emit("kind = \"node_kill\", on = \"core\", count = 1, how = \"giver\"")
    else emit(sprintf("kind = \"%s\", on = \"%s\", share = %s", kind, on, pick("0.1 0.3 0.5")))
  }
  print "]"
}'
