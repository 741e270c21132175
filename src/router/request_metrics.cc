#include "src/router/request_metrics.h"

namespace amaranthcove {

void RequestMetrics::Count(const RelayResult& result) {
  prometheus::Counter*& outcome = outcomes_[result.outcome];
  if (outcome == nullptr) {
    outcome = &registry_.Counter("amaranthcove_requests_total",
                                 "Relayed requests by outcome.", "outcome",
                                 std::string(RelayOutcomeName(result.outcome)));
  }
  outcome->Increment();
  prometheus::Histogram*& latency = latencies_[result.service];
  if (latency == nullptr) {
    latency =
        &registry_.Histogram("amaranthcove_request_seconds",
                             "Time from a request to the end of its answer.",
                             "service", result.service);
  }
  latency->Observe(ToSeconds(result.duration));
}

void RequestMetrics::CountRefusal(std::string_view reason) {
  registry_
      .Counter("amaranthcove_refusals_total",
               "Requests refused before they were relayed.", "reason",
               std::string(reason))
      .Increment();
}

}  // namespace amaranthcove
