#include "policy_row.h"

namespace clementinelane::bench {

policy_report runQualityScenarios() { return {}; }

} // namespace clementinelane::bench
