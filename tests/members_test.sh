#!/usr/bin/env bash
# A fleet of real processes: all find each other, one stops as planned, one is
# killed without a word and comes back under the same address. What an operator
# sees at another VM must follow, and nobody may take the planned stop for a
# death.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CLEMENTINE_FLEET=$(mktemp -d)
export CLEMENTINE_FLEET
fleet=$root/scripts/fleet
trap '"$fleet" down; rm -rf "$CLEMENTINE_FLEET"' EXIT

# expect VM STATE: waits until the first VM shows it so.
expect() {
  local shown
  for _ in $(seq 400); do
    shown=$(curl -s -m 2 http://127.1.1.1:9091/v1/members || true)
    grep -qE "\"state\":\"$2\",\"vm\":\"$1\"" <<<"$shown" && return 0
    sleep 0.1
  done
  echo "wanted $1 $2, got: $shown" >&2
  exit 1
}

"$fleet" up --data-centres 2 --vms 3 >/dev/null
for vm in hall-a-1 hall-a-2 hall-a-3 hall-b-1 hall-b-2 hall-b-3; do
  expect "$vm" alive
done
kill -TERM "$(<"$CLEMENTINE_FLEET/hall-a-2-control.pid")"
expect hall-a-2 leaving
kill -KILL "$(<"$CLEMENTINE_FLEET/hall-b-2-control.pid")"
expect hall-b-2 dead
expect hall-a-2 left
if grep -h member_dead "$CLEMENTINE_FLEET"/*-control.log | grep -v hall-b-2; then
  echo "a planned stop was taken for a death" >&2
  exit 1
fi
"$fleet" start hall-b-2 control
expect hall-b-2 alive
curl -s http://127.1.1.1:9091/metrics | grep '^clementine_gossip'
