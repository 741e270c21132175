#ifndef AMARANTHCOVE_SRC_ROUTER_REQUEST_METRICS_H_
#define AMARANTHCOVE_SRC_ROUTER_REQUEST_METRICS_H_

#include <map>
#include <string>
#include <string_view>

#include "amaranthcove/metrics/metrics.h"
#include "src/router/relay_call.h"

namespace amaranthcove {

// Records the number of requests by outcome and their latencies by service. The
// services come from the configuration, so the number of label values is
// bounded.
//
// Thread safety: none.
class RequestMetrics {
 public:
  // `registry` must outlive this object.
  explicit RequestMetrics(MetricsRegistry& registry) : registry_(registry) {}

  // Counts a request that was relayed.
  void Count(const RelayResult& result);

  // Counts a request that was refused before it was relayed.
  void CountRefusal(std::string_view reason);

 private:
  MetricsRegistry& registry_;
  std::map<RelayOutcome, prometheus::Counter*> outcomes_;
  std::map<std::string, prometheus::Histogram*> latencies_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_REQUEST_METRICS_H_
