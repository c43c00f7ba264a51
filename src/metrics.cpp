#include "metrics.h"

#include <prometheus/text_serializer.h>
#include <vector>

namespace clementinelane {

prometheus::MetricFamily makeFamily(std::string_view Name,
                                    std::string_view Help,
                                    prometheus::MetricType Type) {
  return {std::string(Name), std::string(Help), Type, {}};
}

void addValue(prometheus::MetricFamily &Family, double Value,
              std::string_view Pool) {
  prometheus::ClientMetric &Metric = Family.metric.emplace_back();
  if (!Pool.empty())
    Metric.label.push_back({"pool", std::string(Pool)});
  Metric.counter.value = Value;
  Metric.gauge.value = Value;
}

std::string metricsText(std::span<const prometheus::MetricFamily> Families) {
  return prometheus::TextSerializer().Serialize(
      {Families.begin(), Families.end()});
}

} // namespace clementinelane
