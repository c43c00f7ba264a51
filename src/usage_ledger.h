#pragma once

#include "usage.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>

namespace clementinelane {

std::string encodeUsage(std::span<const usage_record> Records);
result<std::vector<usage_record>> decodeUsage(std::string_view Bytes);

/// Totals billed to one customer.
struct usage_total {
  std::uint64_t Requests = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  double Cost = 0;
};

/// Sums the usage stream into totals by customer. The stream may contain a
/// record several times: after an append whose response was lost, or from each
/// VM that held a copy.
class usage_ledger {
public:
  /// Adds one log record; RecordCorrupt if it can't be decoded.
  std::error_code apply(std::string_view Bytes);

  const std::map<std::string, usage_total, std::less<>> &totals() const {
    return Totals;
  }
  std::uint64_t duplicates() const { return Duplicates; }

private:
  std::unordered_set<std::string> BilledIds; ///< request ids
  std::map<std::string, usage_total, std::less<>> Totals;
  std::uint64_t Duplicates = 0;
};

} // namespace clementinelane
