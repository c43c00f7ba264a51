#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace clementinelane::standin {

/// Decodes a value of a form: what a client escaped, and blanks.
inline std::string unescaped(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  std::string Plain;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%' || At + 2 >= Text.size()) {
      Plain += Text[At] == '+' ? ' ' : Text[At];
      continue;
    }
    Plain += static_cast<char>(std::strtol(
        std::string(Text.substr(At + 1, 2)).c_str(), nullptr, Hexadecimal));
    At += 2;
  }
  return Plain;
}

/// Returns the value of `Name` in the query string of a request target; empty
/// if missing.
inline std::string queryValue(std::string_view Target, std::string_view Name) {
  std::size_t At = Target.find('?');
  while (At != std::string_view::npos) {
    const std::size_t Start = At + 1;
    At = Target.find('&', Start);
    const std::string_view Pair =
        Target.substr(Start, At == std::string_view::npos ? At : At - Start);
    const std::size_t Equal = Pair.find('=');
    if (Equal != std::string_view::npos && Pair.substr(0, Equal) == Name)
      return unescaped(Pair.substr(Equal + 1));
  }
  return {};
}

inline std::uint64_t queryNumber(std::string_view Target,
                                 std::string_view Name) {
  return std::strtoull(queryValue(Target, Name).c_str(), nullptr, 10);
}

} // namespace clementinelane::standin
