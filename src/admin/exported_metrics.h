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

// Returns all metrics that are read from the dump, for every role. Thread-safe.
std::span<const ExportedMetric> ExportedMetrics();

// Sets the metrics of `registry` from `dump`. Booleans are exported as 0 and 1,
// arrays and objects as their size. Numbers that the dump lacks are skipped, so
// a process has only the metrics of its role.
void ExportMetrics(const nlohmann::json& dump, MetricsRegistry& registry);

// Returns the JSON pointers of numbers inside objects called "counters", at any
// depth, that `ExportedMetrics` does not list. Thread-safe.
std::vector<std::string> UnexportedCounters(const nlohmann::json& dump);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADMIN_EXPORTED_METRICS_H_
