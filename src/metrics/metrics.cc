#include "amaranthcove/metrics/metrics.h"

#include <prometheus/text_serializer.h>

namespace amaranthcove {
namespace {

prometheus::Labels LabelsOf(const std::string& label,
                            const std::string& value) {
  return label.empty() ? prometheus::Labels{}
                       : prometheus::Labels{{label, value}};
}

// Powers of two from 1 ms to 65.536 s. A load takes about 0.25 s, and the
// target for first tokens is 0.36 s; both lie well inside.
prometheus::Histogram::BucketBoundaries SecondsBuckets() {
  constexpr int kBuckets = 17;
  prometheus::Histogram::BucketBoundaries bounds;
  double bound = 0.001;
  for (int i = 0; i < kBuckets; ++i) {
    bounds.push_back(bound);
    bound *= 2;
  }
  return bounds;
}

}  // namespace

MetricsRegistry::MetricsRegistry(std::string_view instance,
                                 std::string_view role,
                                 std::string_view data_centre)
    : constant_labels_{{"instance", std::string(instance)},
                       {"role", std::string(role)},
                       {"data_centre", std::string(data_centre)}},
      registry_(std::make_unique<prometheus::Registry>()) {}

prometheus::Counter& MetricsRegistry::Counter(const std::string& name,
                                              const std::string& help,
                                              const std::string& label,
                                              const std::string& value) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Labels(constant_labels_)
      .Register(*registry_)
      .Add(LabelsOf(label, value));
}

prometheus::Gauge& MetricsRegistry::Gauge(const std::string& name,
                                          const std::string& help,
                                          const std::string& label,
                                          const std::string& value) {
  return prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Labels(constant_labels_)
      .Register(*registry_)
      .Add(LabelsOf(label, value));
}

prometheus::Histogram& MetricsRegistry::SecondsHistogram(
    const std::string& name,
    const std::string& help,
    const std::string& label,
    const std::string& value) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Labels(constant_labels_)
      .Register(*registry_)
      .Add(LabelsOf(label, value), SecondsBuckets());
}

std::string MetricsRegistry::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

Metrics::Metrics(MetricsRegistry& registry)
    : documents_adopted(registry.Counter("amaranthcove_documents_total",
                                         "Document revisions received",
                                         "result",
                                         "adopted")),
      documents_invalid(registry.Counter("amaranthcove_documents_total",
                                         "Document revisions received",
                                         "result",
                                         "invalid")),
      documents_known(registry.Gauge("amaranthcove_documents",
                                     "Teams with a document in effect")),
      platform_calls(registry.Counter("amaranthcove_platform_calls_total",
                                      "Calls to the configuration service "
                                      "and the instance list",
                                      "result",
                                      "ok")),
      platform_failures(registry.Counter("amaranthcove_platform_calls_total",
                                         "Calls to the configuration service "
                                         "and the instance list",
                                         "result",
                                         "failed")),
      frames_sent(registry.Counter("amaranthcove_frames_total",
                                   "Frames by direction",
                                   "direction",
                                   "sent")),
      frames_received(registry.Counter("amaranthcove_frames_total",
                                       "Frames by direction",
                                       "direction",
                                       "received")),
      frames_malformed(registry.Counter("amaranthcove_frames_refused_total",
                                        "Frames that were not handled",
                                        "reason",
                                        "malformed")),
      frames_oversized(registry.Counter("amaranthcove_frames_refused_total",
                                        "Frames that were not handled",
                                        "reason",
                                        "oversized")),
      frames_unauthenticated(
          registry.Counter("amaranthcove_frames_refused_total",
                           "Frames that were not handled",
                           "reason",
                           "unauthenticated")),
      frames_unknown(registry.Counter("amaranthcove_frames_refused_total",
                                      "Frames that were not handled",
                                      "reason",
                                      "unknown_kind")),
      peer_connections(registry.Gauge("amaranthcove_peer_connections",
                                      "Open connections to peers")),
      requests_completed(registry.Counter("amaranthcove_requests_total",
                                          "Requests of callers by outcome",
                                          "outcome",
                                          "completed")),
      requests_not_run(registry.Counter("amaranthcove_requests_total",
                                        "Requests of callers by outcome",
                                        "outcome",
                                        "not_run")),
      requests_unknown(registry.Counter("amaranthcove_requests_total",
                                        "Requests of callers by outcome",
                                        "outcome",
                                        "unknown")),
      requests_in_flight(registry.Gauge("amaranthcove_requests_in_flight",
                                        "Requests that are not answered yet")),
      retries(registry.Counter("amaranthcove_retries_total",
                               "Attempts after the first of a request")),
      resumes(registry.Counter("amaranthcove_resumes_total",
                               "Streams resumed on a new connection")),
      first_byte_seconds(registry.SecondsHistogram(
          "amaranthcove_first_byte_seconds",
          "Time from a request to the first byte of its response")),
      queued_urgent(registry.Gauge("amaranthcove_queued_requests",
                                   "Requests in the queue of a sidecar",
                                   "urgency",
                                   "urgent")),
      queued_patient(registry.Gauge("amaranthcove_queued_requests",
                                    "Requests in the queue of a sidecar",
                                    "urgency",
                                    "patient")),
      rejected_attempts(registry.Counter("amaranthcove_rejected_attempts_total",
                                         "Attempts a sidecar rejected")),
      loads_completed(registry.Counter("amaranthcove_adapter_loads_total",
                                       "Adapter loads by result",
                                       "result",
                                       "completed")),
      loads_failed(registry.Counter("amaranthcove_adapter_loads_total",
                                    "Adapter loads by result",
                                    "result",
                                    "failed")),
      evictions(registry.Counter("amaranthcove_evictions_total",
                                 "Adapters evicted from slots")),
      load_seconds(
          registry.SecondsHistogram("amaranthcove_adapter_load_seconds",
                                    "Duration of adapter loads")),
      load_stall_urgent_seconds(registry.SecondsHistogram(
          "amaranthcove_load_stall_seconds",
          "Time requests waited for an adapter to arrive",
          "urgency",
          "urgent")),
      load_stall_patient_seconds(registry.SecondsHistogram(
          "amaranthcove_load_stall_seconds",
          "Time requests waited for an adapter to arrive",
          "urgency",
          "patient")),
      operations_issued(registry.Counter("amaranthcove_operations_issued_total",
                                         "Operation ids issued")),
      operations_lost(registry.Counter(
          "amaranthcove_operations_lost_total",
          "Calls whose operation id this incarnation does not know")),
      wrong_model_aborts(registry.Counter(
          "amaranthcove_wrong_model_aborts_total",
          "Responses aborted because another model produced them")),
      stale_fences(
          registry.Counter("amaranthcove_stale_fences_total",
                           "Commands an engine rejected by fencing number")),
      engine_crashes(registry.Counter("amaranthcove_engine_crashes_total",
                                      "Crashes of the engine")),
      quarantined_fingerprints(
          registry.Gauge("amaranthcove_quarantined_fingerprints",
                         "Request fingerprints in quarantine")),
      component_restarts(
          registry.Counter("amaranthcove_component_restarts_total",
                           "Components restarted by the supervisor")) {}

}  // namespace amaranthcove
