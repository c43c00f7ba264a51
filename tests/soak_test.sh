#!/usr/bin/env bash
# Two seeds of the soak, six seconds of faults each. Seeds that ever failed are
# added here, with a line on the cause.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
failed=0
for seed in 1 2; do
  CLEMENTINE_NET=$((10 + seed)) "$root/scripts/soak" "$seed" 6 || failed=1
done
((failed == 0))
