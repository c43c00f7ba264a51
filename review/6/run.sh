#!/usr/bin/env bash
# Streams that may not be resumed, and the body that the second model gets.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0: without the disruption.
set -uo pipefail

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/lost_body
if [[ ! -x target/clementine_router || ! -x $program ]]; then
  echo "build with the deploy file's command, then with review/build-2.sh" >&2
  exit 2
fi
timeout 115 "$program" "$here/record.txt"
rc=$?
tail -n 2 "$here/record.txt"
[[ $rc == 0 || $rc == 1 ]] || rc=2
exit "$rc"
