#pragma once

#include "version_shift.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// Encodes a report as MessagePack; docs/PLATFORM.md describes the format.
std::string encodeReport(const rollout_report &Report);
/// Decodes a report; none if the bytes aren't one. Unknown fields are ignored.
std::optional<rollout_report> decodeReport(std::string_view Bytes);

} // namespace clementinelane
