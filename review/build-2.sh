#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the
# compiler of the deploy file alone.
set -euo pipefail

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
out=$here/../target/review-2
mkdir -p "$out"
for source in "$here"/standin-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "$out/$(basename "$source" .cpp)" "$source"
done
