#!/usr/bin/env bash
# Engines break in the middle of answers while a caller reads: one is killed,
# one dies after some tokens and repeats others on resume, one goes silent on
# an open connection, one only trickles comments, one says that it is leaving.
# The caller sees each word once and in order, and the end of its answer.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CLEMENTINE_FLEET=$(mktemp -d)
export CLEMENTINE_FLEET
fleet=$root/scripts/fleet
trap '"$fleet" down; rm -rf "$CLEMENTINE_FLEET"' EXIT
"$fleet" up --vms 1 >"$CLEMENTINE_FLEET/up.json"
entry=http://127.1.1.1:8080
near=http://127.2.1.1:7100
far=http://127.2.2.1:7100
log=$CLEMENTINE_FLEET/hall-a-1-entry.log

ask() {
  curl -sN -m 30 "$entry/v1/chat/completions" -H "Authorization: Bearer kasbalans-demo-key" \
    -H "Content-Type: application/json" \
    -d '{"model":"care-question","stream":true,"max_tokens":'"$1"',"messages":[]}'
}
fault() { curl -sf -o /dev/null -X POST "$1/faults?name=$2&value=$3"; }
count() { curl -sf "$1/counts" | grep -oE "\"$2\":[0-9]+" | sed 's/.*://' || echo 0; }
words() { grep -oE '"content":"w[0-9]+ ' | grep -oE '[0-9]+'; }
# whole TOKENS WHAT FILE: each word once, in order, and the end.
whole() {
  if diff <(seq 0 $(($1 - 1))) <(words <"$3") >/dev/null && grep -q '^data: \[DONE\]' "$3"; then
    echo "$2: whole"
    return
  fi
  echo "engine faults: $2: the answer is not whole" >&2
  tail -c 600 "$3" >&2
  exit 1
}

fault $near die_after 5
fault $far repeat_tokens 2
ask 20 >"$CLEMENTINE_FLEET/a"
whole 20 "dies after 5 tokens, resume repeats 2" "$CLEMENTINE_FLEET/a"
fault $near die_after 0
fault $far repeat_tokens 0

fault $near silent 1
ask 20 >"$CLEMENTINE_FLEET/b"
whole 20 "silent connection" "$CLEMENTINE_FLEET/b"
# Lines are written by a thread of their own, so this one may come after the answer.
for _ in $(seq 200); do
  grep -q 'event=endpoint_silent' "$log" && break
  sleep 0.02
done
grep -q 'event=endpoint_silent' "$log"

fault $near trickle 1
ask 20 >"$CLEMENTINE_FLEET/c"
whole 20 "trickles comments" "$CLEMENTINE_FLEET/c"
(($(count $near cancelled) >= 1))
echo "the engine was told to stop"

fault $near leaving 1
ask 20 >"$CLEMENTINE_FLEET/d"
whole 20 "leaving, its own answer ends" "$CLEMENTINE_FLEET/d"
before=$(count $near match-small@1)
ask 20 >"$CLEMENTINE_FLEET/e"
whole 20 "after it said that it leaves" "$CLEMENTINE_FLEET/e"
(($(count $near match-small@1) == before))
echo "the leaving engine got no new work"

runs=$(count $far match-small@1)
ask 1500 >"$CLEMENTINE_FLEET/f" &
asker=$!
for _ in $(seq 200); do
  (($(count $far match-small@1) > runs)) && [[ $(words <"$CLEMENTINE_FLEET/f" | wc -l) -gt 20 ]] && break
  sleep 0.02
done
kill -STOP "$(<"$CLEMENTINE_FLEET/runner-2.pid")"
sleep 0.3
kill -CONT "$(<"$CLEMENTINE_FLEET/runner-2.pid")"
wait "$asker"
whole 1500 "engine paused and resumed" "$CLEMENTINE_FLEET/f"

fault $near leaving 0
runs=$(count $near match-small@1)
for _ in $(seq 200); do
  ask 1 >/dev/null
  (($(count $near match-small@1) > runs)) && break
  sleep 0.05
done
(($(count $near match-small@1) > runs))
echo "the engine that stays has work again"

# Ten answers earn the retry that the faults before may have used up.
for _ in $(seq 10); do ask 1 >/dev/null; done
ask 1500 >"$CLEMENTINE_FLEET/g" &
asker=$!
for _ in $(seq 200); do
  [[ $(words <"$CLEMENTINE_FLEET/g" | wc -l) -gt 20 ]] && break
  sleep 0.02
done
kill -KILL "$(<"$CLEMENTINE_FLEET/runner-1.pid")"
wait "$asker"
whole 1500 "engine killed mid-stream" "$CLEMENTINE_FLEET/g"
