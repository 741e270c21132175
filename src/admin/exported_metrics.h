#ifndef AMARANTHCOVE_ADMIN_EXPORTED_METRICS_H_
#define AMARANTHCOVE_ADMIN_EXPORTED_METRICS_H_

#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "amaranthcove/metrics/metrics.h"

namespace amaranthcove {

enum class MetricType { kCounter, kGauge };

// A number of the state dump that is exported as a metric.
struct ExportedMetric {
  const char* pointer;  // JSON pointer into the dump.
  const char* name;
  MetricType type;
  const char* help;
};

// Every metric that comes from the dump, of both roles. Thread-safe.
std::span<const ExportedMetric> ExportedMetrics();

// Sets the metrics of `registry` from `dump`. Booleans count as 0 and 1, arrays
// and objects as their size. A process has only the metrics of its role.
void ExportMetrics(const nlohmann::json& dump, MetricsRegistry& registry);

// JSON pointers of the numbers in objects called "counters", at any depth, that
// `ExportedMetrics` lacks. Thread-safe.
std::vector<std::string> UnexportedCounters(const nlohmann::json& dump);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADMIN_EXPORTED_METRICS_H_
