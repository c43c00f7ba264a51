#pragma once

#include "clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Identifies requests that share one part of a service's capacity.
struct share_key {
  std::uint32_t Service = 0;  ///< digestHash() of its name
  std::uint32_t Customer = 0; ///< digestHash() of its name
  unsigned Priority = 0;      ///< 0 is the most urgent
};

/// Requests per second that a VM received, for the load digest.
struct demand_note {
  share_key Key;
  double Offered = 0;
};

/// Attempts per second of a VM at a service, for the load digest.
struct outcome_note {
  std::uint32_t Service = 0;
  double Ran = 0;
  double Rejected = 0; ///< for lack of capacity; not run
};

struct share_notes {
  std::vector<demand_note> Demands;
  std::vector<outcome_note> Outcomes;
};

} // namespace clementinelane
