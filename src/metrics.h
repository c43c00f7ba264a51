#pragma once

#include <prometheus/metric_family.h>
#include <span>
#include <string>
#include <string_view>

namespace clementinelane {

/// Creates a metric family without values.
prometheus::MetricFamily makeFamily(std::string_view Name,
                                    std::string_view Help,
                                    prometheus::MetricType Type);
/// Adds a value, with the label pool=`Pool` unless it is empty.
void addValue(prometheus::MetricFamily &Family, double Value,
              std::string_view Pool = {});
/// Serializes `Families` in the Prometheus text format.
std::string metricsText(std::span<const prometheus::MetricFamily> Families);

/// The media type of the Prometheus text format.
constexpr std::string_view MetricsType = "text/plain; version=0.0.4";

} // namespace clementinelane
