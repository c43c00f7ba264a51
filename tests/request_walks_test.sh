#!/usr/bin/env bash
# An engineer has the id of a failed request and the logs of two VMs. For each of
# three kinds of failure, the request's story must name the cause.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# shellcheck source=scripts/demo-table
source "$root/scripts/demo-table"
# shellcheck source=scripts/platform-fleet
source "$root/scripts/platform-fleet"
platform_up

# set_engines FAULT
set_engines() {
  local address
  for address in 127.3.5.1:7100 127.3.5.2:7100; do
    curl -s -o /dev/null -m 5 -d "" "http://$address/standin/set?$1"
  done
}
# story ID WORD: what the logs say, once they hold the word.
story() { eventually "$2" "$bin/clementinectl" trace "$1" "$state/vm-1.log" "$state/vm-2.log"; }

set_engines full=1
call "$vm_one" /review/1 load-1 >/dev/null
told=$(story load-1 "refuse ")
expect "refused under load: why" "why=endpoint_full" "$told"
expect "and that nothing ran" "kind=endpoint_refused" "$told"

set_engines cut_after=2
call "$vm_two" /review/1 cut-1 >/dev/null
told=$(story cut-1 "broken_off")
expect "a stream cut: which endpoint" "attempt_failed where=engine-" "$told"
expect "and why it did not go on" "number=3" "$told"
set_engines cut_after=0

store_fault silent
eventually Retry-After call "$vm_one" /booking/1 store-0 >/dev/null
call "$vm_one" /booking/1 store-1 >/dev/null
told=$(story store-1 "refuse ")
expect "refused without the store: what was lost" "store_lost topic=keyed.op" "$told"
expect "and how old the keys were" "refuse kind=not_ready lease_age_ms=4" "$told"

rc=0
told=$("$bin/clementinectl" trace nobody "$state/vm-1.log" 2>&1) || rc=$?
expect "an id that no line names" "no line names the request nobody" "$told"
expect "is an error" "status 1" "status $rc"
print_table
