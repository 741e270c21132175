#ifndef AMARANTHCOVE_SRC_ROUTER_REQUEST_METRICS_H_
#define AMARANTHCOVE_SRC_ROUTER_REQUEST_METRICS_H_

#include <cstddef>
#include <map>
#include <set>
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

  // What became of a request of a workspace with a quota.
  enum class QuotaEvent { kAdmitted, kLimited, kGivenBack };
  // Counts it for `workspace`. After `kMaxWorkspaces` names, further ones are
  // counted together, because each change of the configuration may bring new
  // names.
  static constexpr std::size_t kMaxWorkspaces = 256;
  void CountQuota(const std::string& workspace, QuotaEvent event);

 private:
  MetricsRegistry& registry_;
  std::map<RelayOutcome, prometheus::Counter*> outcomes_;
  std::map<std::string, prometheus::Histogram*> latencies_;
  std::set<std::string> workspaces_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_REQUEST_METRICS_H_
