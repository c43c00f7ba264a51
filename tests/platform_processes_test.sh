#!/usr/bin/env bash
# The router's real processes on a stand-in of the platform: settings that
# change, a VM that stands still, a log reader that stops reading.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# shellcheck source=scripts/demo-table
source "$root/scripts/demo-table"
# shellcheck source=scripts/platform-fleet
source "$root/scripts/platform-fleet"
platform_up

# An operator changes a VM's settings file, with a signal and without one, and
# once makes a mistake in it. The router takes the new settings up; with the
# mistake it says where it is and goes on with those that it has.
settings vm-1 hall-a "$vm_one" 3 >"$state/vm-1.toml"
signal vm-1 HUP
expect "settings are reloaded on a signal" '"settings_reloaded"' \
  "$(eventually settings_reloaded cat "$state/vm-1.log")"
settings vm-2 hall-b "$vm_two" 3 >"$state/vm-2.toml"
expect "and without one" '"settings_reloaded"' \
  "$(eventually settings_reloaded cat "$state/vm-2.log")"
sed 's/^revoke_timeout_ms.*/revoke_timeout_ms = "soon"/' "$state/vm-1.toml" >"$state/wrong.toml"
cp "$state/wrong.toml" "$state/vm-1.toml"
signal vm-1 HUP
expect "a mistake is told with line and key" "vm-1.toml:14: bounds.revoke_timeout_ms" \
  "$(eventually settings_wrong cat "$state/vm-1.log")"
expect "and the settings before stay in use" "200 OK" "$(call "$vm_one" /lookup/1 m1)"
rc=0
told=$("$bin/clementine_router" --settings="$state/wrong.toml" --check 2>&1) || rc=$?
expect "a check tells the same" "wrong.toml:14: bounds.revoke_timeout_ms" "$told"
expect "and fails" "status 2" "status $rc"

# A VM stands still for longer than its keys hold, and a customer's key is
# withdrawn meanwhile. The first request after it goes on must not be served
# with that key.
signal vm-2 STOP
put keyed.op config "$(configuration 2 key-b)"
sleep 5.5
call "$vm_two" /booking/1 f1 key-a >"$state/frozen.txt" &
waiting=$!
sleep 0.2
signal vm-2 CONT
wait "$waiting"
frozen=$(head -n 1 "$state/frozen.txt" | tr -d '\r')
[[ $frozen == *" 401 "* || $frozen == *" 503 "* ]] && frozen=refused
expect "a withdrawn key after a standstill" "refused" "$frozen"
expect "and the other key" "200 OK" "$(eventually '200 OK' call "$vm_two" /booking/1 f2)"

# Whoever reads a VM's log stops reading, and the pipe is full. Requests are
# served all the same, and the lines that found no room are counted.
mkfifo "$state/log"
exec {reader}<>"$state/log"
settings vm-3 hall-a 127.3.3.1 >"$state/vm-3.toml"
"$bin/clementine_router" --settings="$state/vm-3.toml" --metrics_port=9464 \
  </dev/null >"$state/log" 2>"$state/vm-3.err" &
echo "$!" >"$state/vm-3.pid"
eventually 200 readiness 127.3.3.1 >/dev/null
served=$(curl -s -Z --parallel-max 30 -m 60 -o /dev/null -w '%{http_code}\n' \
  -H "Host: h.example" -H "X-Attempt-Id: r" -H "X-Key: key-b" -d hi \
  "http://127.3.3.1:8080/lookup/[1-2000]" | grep -c 200)
expect "a log that nobody reads holds up nothing" "2000 of 2000" "$served of 2000"
dropped=$(curl -s -m 5 http://127.3.3.1:9464/metrics | sed -n 's/^clementine_log_lines_dropped[a-z_]* //p')
expect "lines without room are counted" "some" "$([[ ${dropped%.*} -gt 0 ]] && echo some || echo "dropped: $dropped")"
exec {reader}<&-

print_table
