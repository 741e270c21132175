#ifndef AMARANTHCOVE_METRICS_METRICS_H_
#define AMARANTHCOVE_METRICS_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace amaranthcove {

// Holds the Prometheus metrics of one process.
//
// Thread safety: thread-safe, as `prometheus::Registry` is.
class MetricsRegistry {
 public:
  // Every metric carries the labels `instance`, `role` and `data_centre`.
  MetricsRegistry(std::string_view instance,
                  std::string_view role,
                  std::string_view data_centre);

  // Return the metric `name` with the given label, and create it on first use.
  // An empty `label` adds none. References stay valid as long as the registry.
  //
  // Preconditions: `name` and `label` are valid Prometheus names, and a name is
  // used for one metric type only.
  prometheus::Counter& Counter(const std::string& name,
                               const std::string& help,
                               const std::string& label = "",
                               const std::string& value = "");
  prometheus::Gauge& Gauge(const std::string& name,
                           const std::string& help,
                           const std::string& label = "",
                           const std::string& value = "");
  // The buckets are made for latencies in seconds, from 5 ms to 20 s.
  prometheus::Histogram& Histogram(const std::string& name,
                                   const std::string& help,
                                   const std::string& label = "",
                                   const std::string& value = "");

  // Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  prometheus::Labels constant_labels_;
  std::unique_ptr<prometheus::Registry> registry_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_METRICS_METRICS_H_
