#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// Compresses to zlib's format, for speed rather than size.
std::string deflate(std::string_view Bytes);

/// None if the bytes are incomplete or corrupt, or larger than `MaxBytes` once
/// decompressed.
std::optional<std::string> inflate(std::string_view Compressed,
                                   std::size_t MaxBytes);

} // namespace clementinelane
