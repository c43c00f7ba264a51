#pragma once

#include <prometheus/metric_family.h>
#include <span>
#include <string>
#include <string_view>

namespace clementinelane {

/// A family without values yet.
prometheus::MetricFamily makeFamily(std::string_view Name,
                                    std::string_view Help,
                                    prometheus::MetricType Type);
/// Adds one value; `Pool` is its label, if not empty.
void addValue(prometheus::MetricFamily &Family, double Value,
              std::string_view Pool = {});
/// The text format of Prometheus.
std::string metricsText(std::span<const prometheus::MetricFamily> Families);

/// The media type of that format.
constexpr std::string_view MetricsType = "text/plain; version=0.0.4";

} // namespace clementinelane
