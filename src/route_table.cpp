#include "route_table.h"

#include <algorithm>

namespace clementinelane {

namespace {

/// Resolution of the traffic split.
constexpr std::uint64_t ShareSteps = 1U << 20U;

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::optional<double> route_table::priceOf(std::string_view Service,
                                           std::string_view Model) const {
  const auto Found = Services.find(std::string(Service));
  if (Found == Services.end())
    return std::nullopt;
  for (const model_price &Each : Found->second.Models)
    if (Each.Name == Model && Each.CostPerThousandTokens > 0)
      return Each.CostPerThousandTokens;
  return std::nullopt;
}

const route_rule *route_table::find(std::string_view Host,
                                    std::string_view Path) const {
  const std::string_view Name = withoutPort(Host);
  const route_rule *Best = nullptr;
  for (const route_rule &Route : Routes) {
    if (Route.Host != Name || !Path.starts_with(Route.PathPrefix))
      continue;
    if (!Best || Route.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Route;
  }
  return Best;
}

std::string_view serviceFor(const route_rule &Route, std::uint64_t Hash) {
  double Sum = 0;
  for (const service_share &Share : Route.Services)
    Sum += Share.Weight;
  double Point =
      Sum * static_cast<double>(Hash % ShareSteps) / double{ShareSteps};
  for (const service_share &Share : Route.Services) {
    if (Point < Share.Weight)
      return Share.Service;
    Point -= Share.Weight;
  }
  return Route.Services.empty() ? std::string_view{}
                                : Route.Services.back().Service;
}

} // namespace clementinelane
