#!/usr/bin/env bash
# Operators and control by real processes, with the log's faults switched on.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CLEMENTINE_FLEET=$(mktemp -d)
export CLEMENTINE_FLEET CLEMENTINE_CONTROL=127.1.1.1:9091 CLEMENTINE_LOG=127.9.0.1:7000
ctl=${CLEMENTINE_BIN:-$root/build}/clementinectl
trap '"$root/scripts/fleet" down; rm -rf "$CLEMENTINE_FLEET"' EXIT

failed=0
# expect WHAT STATUS TEXT COMMAND...: runs it and compares status and output.
expect() {
  local what=$1 status=$2 text=$3 out rc=0
  shift 3
  out=$("$@" 2>&1) || rc=$?
  if [[ $rc == "$status" && $out == *"$text"* ]]; then
    echo "passed: $what"
  else
    failed=1
    printf 'FAILED: %s: status %s, wanted %s with "%s"\n%s\n' "$what" "$rc" "$status" "$text" "$out"
  fi
}
fault() { curl -sf -o /dev/null -X POST "http://$CLEMENTINE_LOG/faults?name=$1&value=$2"; }
# expect_soon WHAT TEXT COMMAND...: as expect, tried again for ten seconds.
expect_soon() {
  local what=$1 text=$2 out
  shift 2
  for _ in $(seq 100); do
    out=$("$@" 2>&1) && [[ $out == *"$text"* ]] && break
    sleep 0.1
  done
  expect "$what" 0 "$text" "$@"
}

"$root/scripts/fleet" up >/dev/null

expect "a roll-out starts and is in force at every member" 0 "in force at every member" \
  "$ctl" rollout start r1 --from match-small@1 --to match-small@2 --steps 5,50,100 --wait
expect "it advances" 0 "step 1 exposure 50%" "$ctl" rollout advance r1
expect "it is paused" 0 "paused" "$ctl" rollout pause r1
expect "a paused roll-out does not advance" 1 "is paused" "$ctl" rollout advance r1
expect "a folder published later keeps the steps" 0 "nothing to publish" \
  "$ctl" publish "$root/examples/01-two-data-centres/config"
expect "an endpoint is drained" 0 "accepted" "$ctl" drain runner-a1
expect "a drain of no endpoint is refused" 1 "no endpoint nobody" "$ctl" drain nobody
expect "explain names version and reason" 0 "version=match-small@1 reason=cheapest_meeting_target" \
  "$ctl" explain valadares care-question

# The log takes the change and its answer is lost: the client finds the record
# and its verdict, and does not publish twice.
fault lose_answers 1
expect "an answer lost after the append" 0 "accepted" "$ctl" retire match-small@1
# The append is lost before it took effect. The client can't tell that from a
# slow one, says so, and prints the command to ask again.
fault lose_before 1
expect "an answer lost before the append" 4 "clementinectl verdict" \
  "$ctl" reactivate match-small@1 --patience_ms=1500
expect "the version is still retiring" 0 "version=match-small@1 state=retiring" "$ctl" versions

# A VM is replaced while the log is down: it takes the state from its peers.
before=$("$ctl" status --json)
fault down 1
kill -TERM "$(<"$CLEMENTINE_FLEET/hall-b-1-control.pid")"
while kill -0 "$(<"$CLEMENTINE_FLEET/hall-b-1-control.pid")" 2>/dev/null; do sleep 0.05; done
"$root/scripts/fleet" start hall-b-1 control
offset=$(jq -r .offset <<<"$before")
expect_soon "a start while the log is down has the offset in force" "offset=$offset" \
  curl -sf http://127.1.2.1:9091/readyz
expect "publish says unknown while the log is down" 4 "the log does not answer" \
  "$ctl" reactivate match-small@1 --patience_ms=500
fault down 0

# The log comes back without its last record: nobody goes back, all say so.
fault shorten 1
expect_soon "a log that came back shorter is noticed" '"log_suspect":true' \
  "$ctl" status --json
expect "and what is in force stays" 0 "offset $offset" "$ctl" status
exit "$failed"
