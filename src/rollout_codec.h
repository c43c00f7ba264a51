#pragma once

#include "version_shift.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// A report as MessagePack; the shape stands in docs/PLATFORM.md.
std::string encodeReport(const rollout_report &Report);
/// None if the bytes are not such a report; an unknown field is passed over.
std::optional<rollout_report> decodeReport(std::string_view Bytes);

} // namespace clementinelane
