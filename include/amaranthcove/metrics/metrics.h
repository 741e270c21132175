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

// Builds metrics in one registry. A helper for `Metrics`, which declares all
// metrics of the product.
//
// Thread safety: as of prometheus::Registry, every method may be called from
// any thread.
class MetricsRegistry {
 public:
  // Every metric carries the labels `instance`, `role` and `data_centre`.
  MetricsRegistry(std::string_view instance,
                  std::string_view role,
                  std::string_view data_centre);

  // The metric `name` with the given fixed label; "" as `label` adds none.
  // References stay valid as long as the registry. Preconditions: `name` and
  // `label` are valid in Prometheus, and one name has one type.
  prometheus::Counter& Counter(const std::string& name,
                               const std::string& help,
                               const std::string& label = "",
                               const std::string& value = "");
  prometheus::Gauge& Gauge(const std::string& name,
                           const std::string& help,
                           const std::string& label = "",
                           const std::string& value = "");
  // A histogram of seconds from 1 ms to about 65 s.
  prometheus::Histogram& SecondsHistogram(const std::string& name,
                                          const std::string& help,
                                          const std::string& label = "",
                                          const std::string& value = "");

  // All metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  prometheus::Labels constant_labels_;
  std::unique_ptr<prometheus::Registry> registry_;
};

// All metrics of a process. Counters of the other role stay 0.
//
// Thread safety: as of prometheus-cpp, metrics may be changed from any thread.
struct Metrics {
  explicit Metrics(MetricsRegistry& registry);

  // Documents and configuration.
  prometheus::Counter& documents_adopted;
  prometheus::Counter& documents_invalid;
  prometheus::Gauge& documents_known;
  prometheus::Counter& platform_calls;
  prometheus::Counter& platform_failures;

  // Frames between processes.
  prometheus::Counter& frames_sent;
  prometheus::Counter& frames_received;
  prometheus::Counter& frames_malformed;
  prometheus::Counter& frames_oversized;
  prometheus::Counter& frames_unauthenticated;
  prometheus::Counter& frames_unknown;
  prometheus::Gauge& peer_connections;

  // Requests of callers, by outcome.
  prometheus::Counter& requests_completed;
  prometheus::Counter& requests_not_run;
  prometheus::Counter& requests_unknown;
  prometheus::Gauge& requests_in_flight;
  prometheus::Counter& retries;
  prometheus::Counter& resumes;
  prometheus::Histogram& first_byte_seconds;

  // Queue, slots and loads of a sidecar.
  prometheus::Gauge& queued_urgent;
  prometheus::Gauge& queued_patient;
  prometheus::Counter& rejected_attempts;
  prometheus::Counter& loads_completed;
  prometheus::Counter& loads_failed;
  prometheus::Counter& evictions;
  prometheus::Histogram& load_seconds;
  prometheus::Histogram& load_stall_urgent_seconds;
  prometheus::Histogram& load_stall_patient_seconds;

  // Operations, fencing and crashes.
  prometheus::Counter& operations_issued;
  prometheus::Counter& operations_lost;
  prometheus::Counter& wrong_model_aborts;
  prometheus::Counter& stale_fences;
  prometheus::Counter& engine_crashes;
  prometheus::Gauge& quarantined_fingerprints;

  // Supervision.
  prometheus::Counter& component_restarts;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_METRICS_METRICS_H_
