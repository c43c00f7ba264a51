#include "capacity/allocator.h"

#include <malloc.h>

namespace clementinelane {

namespace {

/// By default the threshold grows with the blocks that are freed.
constexpr int MappedBlockBytes = 128 << 10;
/// One for each thread would keep what that thread has freed.
constexpr int MaxArenas = 2;

} // namespace

void returnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  mallopt(M_ARENA_MAX, MaxArenas);
}

} // namespace clementinelane
