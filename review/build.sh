#!/usr/bin/env bash
# Builds the stand-ins that the cases start, the project's own too, with the
# packages of the deploy file, into target/review.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -DBOOST_ASIO_DISABLE_CONCEPTS -pthread -Iinclude -Isrc -Itests -Iplatform)
builds=()
for name in runner service; do
  g++ "${flags[@]}" "review/standin/$name.cpp" -o "$out/$name" &
  builds+=("$!")
done
objects=()
for source in tests/standin/platform/*.cpp src/caller_server.cpp src/endpoint_connector.cpp \
  src/http_exchange.cpp src/http_framing.cpp src/sockets.cpp; do
  object=$out/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  builds+=("$!")
done
for each in "${builds[@]}"; do wait "$each"; done
g++ "${objects[@]}" -o "$out/platform_standin" -lgflags -lboost_system -pthread
