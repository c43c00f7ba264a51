#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <xxhash.h>

namespace clementinelane {

/// Returns the same hash on every VM and in every program version; session
/// shares and endpoint ranking depend on it.
inline std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

/// Mixes the bits of a value; the same on all VMs.
inline std::uint64_t mixBits(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31U);
}

/// A hash as hexadecimal text, for log lines and record keys.
inline std::string toHex(std::uint64_t Value) {
  std::array<char, 16> Digits{};
  const auto End = std::to_chars(Digits.begin(), Digits.end(), Value, 16).ptr;
  return {Digits.begin(), End};
}

/// Parses the text of toHex(); none for other text.
inline std::optional<std::uint64_t> fromHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [Rest, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Error != std::errc() || Rest != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace clementinelane
