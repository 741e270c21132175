#include "src/router/request_metrics.h"

namespace amaranthcove {

namespace {

constexpr char kOtherWorkspaces[] = "other";

}  // namespace

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

void RequestMetrics::CountQuota(const std::string& workspace,
                                QuotaEvent event) {
  if (workspaces_.size() < kMaxWorkspaces) {
    workspaces_.insert(workspace);
  }
  const std::string label =
      workspaces_.contains(workspace) ? workspace : kOtherWorkspaces;
  switch (event) {
    case QuotaEvent::kAdmitted:
      registry_
          .Counter("amaranthcove_quota_admitted_total",
                   "Requests admitted by the quota of their workspace.",
                   "workspace", label)
          .Increment();
      return;
    case QuotaEvent::kLimited:
      registry_
          .Counter("amaranthcove_quota_limited_total",
                   "Requests refused by the quota of their workspace.",
                   "workspace", label)
          .Increment();
      return;
    case QuotaEvent::kGivenBack:
      registry_
          .Counter("amaranthcove_quota_given_back_total",
                   "Admitted requests that did not run, and do not count.",
                   "workspace", label)
          .Increment();
      return;
  }
}

void RequestMetrics::CountRefusal(std::string_view reason) {
  registry_
      .Counter("amaranthcove_refusals_total",
               "Requests refused before they were relayed.", "reason",
               std::string(reason))
      .Increment();
}

}  // namespace amaranthcove
