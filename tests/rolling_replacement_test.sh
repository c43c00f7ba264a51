#!/usr/bin/env bash
# Every VM is replaced, one after the other, while plain, streamed and booking
# requests run. A stop that refuses before the balancer knows, or closes before
# the last byte is out, shows as a request lost or cut; a booking repeated after
# a stop, as one that ran twice. Counts all three; passes only on none.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CLEMENTINE_FLEET=$(mktemp -d)
export CLEMENTINE_FLEET
fleet=$root/scripts/fleet
bin=${CLEMENTINE_BIN:-$root/build}
caller=
cleanup() {
  [[ -z $caller ]] || kill -TERM "$caller" 2>/dev/null || true
  "$fleet" down
  rm -rf "$CLEMENTINE_FLEET"
}
trap cleanup EXIT

"$fleet" up >"$CLEMENTINE_FLEET/up.json"
entries=127.1.1.1:8080,127.1.1.2:8080,127.1.2.1:8080,127.1.2.2:8080
"$bin/clementine_standin" --role=caller --entries=$entries \
  >"$CLEMENTINE_FLEET/report.json" 2>"$CLEMENTINE_FLEET/caller.log" &
caller=$!

taken() { curl -sf -m 2 "http://$1:8080/metrics" | sed -n 's/^clementine_requests_total //p'; }
# until_true COMMAND...: polls; fails after about twenty seconds.
until_true() {
  for _ in $(seq 400); do
    "$@" && return 0
    sleep 0.05
  done
  echo "rolling replacement: gave up on: $*" >&2
  return 1
}
has_load() { (($(taken "$1" || echo 0) > 20)); }
has_ended() { ! kill -0 "$1" 2>/dev/null; }
is_ready() { curl -sf -o /dev/null -m 1 "http://$1:8080/readyz"; }

for vm in hall-a-1:127.1.1.1 hall-a-2:127.1.1.2 hall-b-1:127.1.2.1 hall-b-2:127.1.2.2; do
  name=${vm%%:*} address=${vm#*:}
  until_true has_load "$address"
  for program in entry control; do
    pid=$(<"$CLEMENTINE_FLEET/$name-$program.pid")
    kill -TERM "$pid"
    until_true has_ended "$pid"
    grep -q 'event=stopped' "$CLEMENTINE_FLEET/$name-$program.log" || {
      echo "rolling replacement: $name-$program ended without its last line:"
      tail -n 5 "$CLEMENTINE_FLEET/$name-$program.log"
      exit 1
    }
  done
  "$fleet" start "$name" control
  "$fleet" start "$name" entry
  until_true is_ready "$address"
done
until_true has_load 127.1.2.2
kill -TERM "$caller"
wait "$caller" || true
caller=
cat "$CLEMENTINE_FLEET/report.json"
grep -q '"faults":\[\]' "$CLEMENTINE_FLEET/report.json"
for kind in plain streamed booking; do
  grep -Eq "\"$kind\":[1-9]" "$CLEMENTINE_FLEET/report.json"
done
counts=$(curl -s http://127.2.1.2:7200/counts)$(curl -s http://127.2.2.2:7200/counts)
doubled=$(grep -oE '"slot-[0-9-]+":[0-9]+' <<<"$counts" | sed 's/:.*//' | sort | uniq -d | wc -l)
more=$(grep -cE '"slot-[0-9-]+":([2-9]|1[0-9])' <<<"$(tr ',' '\n' <<<"$counts")" || true)
echo "bookings doubled: $((doubled + more))"
((doubled + more == 0))
