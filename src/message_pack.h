#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace clementinelane {

/// Decodes bytes of another process; null if they are nested deeper than any
/// message is. Throws json::exception if they are malformed.
nlohmann::json decodeMessagePack(std::string_view Bytes);

} // namespace clementinelane
