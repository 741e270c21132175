#include "src/admin/exported_metrics.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace amaranthcove {

namespace {

using Json = nlohmann::json;

constexpr std::array kMetrics = {
    ExportedMetric{"/calls", "amaranthcove_calls_in_progress",
                   MetricType::kGauge,
                   "Requests of callers in progress on this entry."},
    ExportedMetric{"/documents", "amaranthcove_documents", MetricType::kGauge,
                   "Teams whose service document this process knows."},
    ExportedMetric{"/instances", "amaranthcove_instances", MetricType::kGauge,
                   "Instances this entry knows, all roles and states."},
    ExportedMetric{"/instances_revision", "amaranthcove_instances_revision",
                   MetricType::kGauge, "Revision of the instance list."},
    ExportedMetric{"/suspects", "amaranthcove_suspects", MetricType::kGauge,
                   "Fingerprints of requests that may crash a server."},
    ExportedMetric{"/mesh/links", "amaranthcove_mesh_links", MetricType::kGauge,
                   "Connections to other entries."},
    ExportedMetric{"/sidecars/links", "amaranthcove_sidecar_links",
                   MetricType::kGauge,
                   "Sidecars this entry has a connection record of."},
    ExportedMetric{"/sidecars/attempts", "amaranthcove_attempts_in_progress",
                   MetricType::kGauge,
                   "Attempts sent to sidecars and not ended."},
    ExportedMetric{"/config_version", "amaranthcove_config_version",
                   MetricType::kGauge,
                   "Version of the configuration in force on this router."},
    ExportedMetric{"/config_age_s", "amaranthcove_config_age_seconds",
                   MetricType::kGauge,
                   "Time since the metadata store confirmed the "
                   "configuration."},
    ExportedMetric{"/backends_age_s", "amaranthcove_backends_age_seconds",
                   MetricType::kGauge,
                   "Time since the metadata store confirmed the list of "
                   "backend servers."},
    ExportedMetric{"/router/counters/store_calls",
                   "amaranthcove_store_calls_total", MetricType::kCounter,
                   "Calls to the metadata store."},
    ExportedMetric{"/router/counters/failed_store_calls",
                   "amaranthcove_store_calls_failed_total",
                   MetricType::kCounter,
                   "Calls to the metadata store that were not answered."},
    ExportedMetric{"/router/counters/upstream_connections",
                   "amaranthcove_upstream_connections_total",
                   MetricType::kCounter,
                   "Connections opened to backend servers."},
    ExportedMetric{"/router/counters/requests_refused_for_memory",
                   "amaranthcove_requests_refused_for_memory_total",
                   MetricType::kCounter,
                   "Requests refused because they took too long to arrive or "
                   "there was no memory for them."},
    ExportedMetric{"/router/counters/answers_closed_unread",
                   "amaranthcove_answers_closed_unread_total",
                   MetricType::kCounter,
                   "Connections closed because their answers were not read "
                   "while memory was short."},
    ExportedMetric{"/router/counters/connections_closed_for_new",
                   "amaranthcove_connections_closed_for_new_total",
                   MetricType::kCounter,
                   "Idle connections closed because there were too many."},
    ExportedMetric{"/router/counters/stray_answers",
                   "amaranthcove_stray_answers_total", MetricType::kCounter,
                   "Answers of backend servers that belong to no call."},
    ExportedMetric{"/router/counters/dropped_log_lines",
                   "amaranthcove_router_log_lines_dropped_total",
                   MetricType::kCounter, "Log lines dropped by the quota."},
    ExportedMetric{"/router/counters/requests_in_progress",
                   "amaranthcove_requests_in_progress", MetricType::kGauge,
                   "Requests of callers in progress on this router."},
    ExportedMetric{"/adapter_agent/counters/orders",
                   "amaranthcove_engine_orders_total", MetricType::kCounter,
                   "Orders given to the engine."},
    ExportedMetric{"/adapter_agent/counters/reports",
                   "amaranthcove_engine_reports_total", MetricType::kCounter,
                   "Reports asked of the engine."},
    ExportedMetric{"/adapter_agent/counters/dropped_log_lines",
                   "amaranthcove_agent_log_lines_dropped_total",
                   MetricType::kCounter, "Log lines dropped by the quota."},
    ExportedMetric{"/adapter_agent/counters/routers",
                   "amaranthcove_agent_routers", MetricType::kGauge,
                   "Routers from which the agent hears."},
    ExportedMetric{"/adapter_agent/counters/quota_ledgers",
                   "amaranthcove_agent_quota_ledgers", MetricType::kGauge,
                   "Workspaces whose quota the agent keeps the ledger of."},
    ExportedMetric{"/adapter_agent/counters/waiting_calls",
                   "amaranthcove_agent_waiting_calls", MetricType::kGauge,
                   "Calls to plain services that wait for a place here."},
    ExportedMetric{"/adapter_agent/counters/calls_with_places",
                   "amaranthcove_agent_calls_with_places", MetricType::kGauge,
                   "Calls to plain services that have a place from here."},
    ExportedMetric{"/counters/received", "amaranthcove_requests_received_total",
                   MetricType::kCounter,
                   "HTTP requests received from callers."},
    ExportedMetric{
        "/counters/http_refused", "amaranthcove_http_refused_total",
        MetricType::kCounter,
        "HTTP requests refused for an oversized body or malformed chunks."},
    ExportedMetric{"/counters/http_incomplete",
                   "amaranthcove_http_incomplete_total", MetricType::kCounter,
                   "Connections that ended without one whole HTTP request."},
    ExportedMetric{"/counters/unknown_frames",
                   "amaranthcove_unknown_frames_total", MetricType::kCounter,
                   "Frames of a kind that this release does not know."},
    ExportedMetric{"/counters/refused_early",
                   "amaranthcove_requests_refused_early_total",
                   MetricType::kCounter,
                   "Requests refused before anything was sent to a sidecar."},
    ExportedMetric{"/counters/completed",
                   "amaranthcove_requests_completed_total",
                   MetricType::kCounter,
                   "Requests answered with the backend server's response."},
    ExportedMetric{"/counters/failed_not_run",
                   "amaranthcove_requests_failed_not_run_total",
                   MetricType::kCounter,
                   "Requests that failed after planning and did not run."},
    ExportedMetric{"/counters/failed_unknown",
                   "amaranthcove_requests_failed_unknown_total",
                   MetricType::kCounter,
                   "Requests that failed and may have run."},
    ExportedMetric{"/counters/attempts", "amaranthcove_attempts_total",
                   MetricType::kCounter, "Attempts sent to sidecars."},
    ExportedMetric{"/counters/retries", "amaranthcove_retries_total",
                   MetricType::kCounter,
                   "Attempts after the first of a request."},
    ExportedMetric{"/counters/retries_denied",
                   "amaranthcove_retries_denied_total", MetricType::kCounter,
                   "Retries that the retry budget denied."},
    ExportedMetric{"/counters/callers_gone", "amaranthcove_callers_gone_total",
                   MetricType::kCounter,
                   "Requests whose caller disconnected or read too slowly."},
    ExportedMetric{"/counters/broken_after_start",
                   "amaranthcove_streams_broken_total", MetricType::kCounter,
                   "Streams that ended with an error event."},
    ExportedMetric{"/counters/relayed_chunks",
                   "amaranthcove_relayed_chunks_total", MetricType::kCounter,
                   "Chunks of responses relayed to callers."},
    ExportedMetric{"/counters/relayed_bytes",
                   "amaranthcove_relayed_bytes_total", MetricType::kCounter,
                   "Bytes of responses relayed to callers."},
    ExportedMetric{"/counters/urgent_calls",
                   "amaranthcove_urgent_requests_total", MetricType::kCounter,
                   "Requests of an urgent kind."},
    ExportedMetric{"/counters/patient_calls",
                   "amaranthcove_patient_requests_total", MetricType::kCounter,
                   "Requests of a patient kind."},
    ExportedMetric{"/counters/urgent_stall_s",
                   "amaranthcove_urgent_stall_seconds_total",
                   MetricType::kCounter,
                   "Time urgent requests waited for an adapter to load."},
    ExportedMetric{"/counters/patient_stall_s",
                   "amaranthcove_patient_stall_seconds_total",
                   MetricType::kCounter,
                   "Time patient requests waited for an adapter to load."},
    ExportedMetric{"/counters/documents_adopted",
                   "amaranthcove_documents_adopted_total", MetricType::kCounter,
                   "Revisions of service documents put in force."},
    ExportedMetric{"/counters/documents_refused",
                   "amaranthcove_documents_refused_total", MetricType::kCounter,
                   "Revisions of service documents refused as invalid."},
    ExportedMetric{"/counters/platform_calls",
                   "amaranthcove_platform_calls_total", MetricType::kCounter,
                   "Calls to the configuration service and the instance list."},
    ExportedMetric{"/counters/platform_failures",
                   "amaranthcove_platform_failures_total", MetricType::kCounter,
                   "Calls to the platform that failed."},
    ExportedMetric{"/counters/platform_stale_answers",
                   "amaranthcove_platform_stale_answers_total",
                   MetricType::kCounter,
                   "Responses of the platform older than what is known."},
    ExportedMetric{"/counters/frames_sent", "amaranthcove_frames_sent_total",
                   MetricType::kCounter, "Frames sent to other processes."},
    ExportedMetric{"/counters/frames_received",
                   "amaranthcove_frames_received_total", MetricType::kCounter,
                   "Frames received from other processes."},
    ExportedMetric{"/counters/bytes_sent",
                   "amaranthcove_frame_bytes_sent_total", MetricType::kCounter,
                   "Bytes of frames sent between entries and sidecars."},
    ExportedMetric{"/counters/bytes_received",
                   "amaranthcove_frame_bytes_received_total",
                   MetricType::kCounter,
                   "Bytes of frames received between entries and sidecars."},
    ExportedMetric{"/counters/mesh_bytes_sent",
                   "amaranthcove_mesh_bytes_sent_total", MetricType::kCounter,
                   "Bytes of frames sent to other entries."},
    ExportedMetric{"/counters/mesh_bytes_received",
                   "amaranthcove_mesh_bytes_received_total",
                   MetricType::kCounter,
                   "Bytes of frames received from other entries."},
    ExportedMetric{
        "/counters/bad_frames", "amaranthcove_bad_frames_total",
        MetricType::kCounter,
        "Connections closed for a malformed, oversized or misplaced frame."},
    ExportedMetric{"/counters/failed_handshakes",
                   "amaranthcove_failed_handshakes_total", MetricType::kCounter,
                   "Connections closed before both sides were authenticated."},
    ExportedMetric{"/counters/silent_connections",
                   "amaranthcove_silent_connections_total",
                   MetricType::kCounter,
                   "Connections closed because nothing arrived in time."},
    ExportedMetric{"/answers", "amaranthcove_responses_kept",
                   MetricType::kGauge,
                   "Attempts running or with chunks not yet acknowledged."},
    ExportedMetric{"/entries", "amaranthcove_entry_links", MetricType::kGauge,
                   "Entries connected to this sidecar."},
    ExportedMetric{"/counters/submitted",
                   "amaranthcove_attempts_submitted_total",
                   MetricType::kCounter, "Attempts received from entries."},
    ExportedMetric{
        "/counters/duplicates", "amaranthcove_attempts_duplicate_total",
        MetricType::kCounter, "Copies of attempts that were already known."},
    ExportedMetric{"/counters/late_copies", "amaranthcove_attempts_late_total",
                   MetricType::kCounter,
                   "Copies of attempts refused because the attempt was over."},
    ExportedMetric{"/counters/resumed", "amaranthcove_streams_resumed_total",
                   MetricType::kCounter,
                   "Responses resumed on a new connection."},
    ExportedMetric{"/counters/orphaned", "amaranthcove_attempts_orphaned_total",
                   MetricType::kCounter,
                   "Attempts cancelled because their entry did not return."},
    ExportedMetric{"/counters/cancelled",
                   "amaranthcove_attempts_cancelled_total",
                   MetricType::kCounter, "Attempts cancelled by entries."},
    ExportedMetric{"/counters/stale_documents",
                   "amaranthcove_attempts_stale_document_total",
                   MetricType::kCounter,
                   "Attempts refused because the entry's document is older."},
    ExportedMetric{"/backend/queued_urgent", "amaranthcove_queued_urgent",
                   MetricType::kGauge, "Urgent requests in the queue."},
    ExportedMetric{"/backend/queued_patient", "amaranthcove_queued_patient",
                   MetricType::kGauge, "Patient requests in the queue."},
    ExportedMetric{"/backend/queued", "amaranthcove_queued", MetricType::kGauge,
                   "Calls in the queue of the plain service."},
    ExportedMetric{"/backend/operations/remembered",
                   "amaranthcove_operations_remembered", MetricType::kGauge,
                   "Operations in the table of this sidecar."},
    ExportedMetric{"/backend/operations/running",
                   "amaranthcove_operations_running", MetricType::kGauge,
                   "Operations running on the backend server."},
    ExportedMetric{"/backend/running", "amaranthcove_running",
                   MetricType::kGauge,
                   "Requests running on the backend server."},
    ExportedMetric{"/backend/batch_size", "amaranthcove_batch_size",
                   MetricType::kGauge, "Places in a batch of the engine."},
    ExportedMetric{"/backend/slots", "amaranthcove_adapter_slots",
                   MetricType::kGauge, "Adapter slots of the engine."},
    ExportedMetric{"/backend/superseded", "amaranthcove_superseded",
                   MetricType::kGauge,
                   "1 if a newer sidecar commands this engine."},
    ExportedMetric{"/backend/load_rate_per_s",
                   "amaranthcove_load_rate_per_second", MetricType::kGauge,
                   "Adapter loads per second that the load budget allows now."},
    ExportedMetric{"/backend/counters/started",
                   "amaranthcove_backend_started_total", MetricType::kCounter,
                   "Requests started on the engine."},
    ExportedMetric{"/backend/counters/calls",
                   "amaranthcove_backend_calls_total", MetricType::kCounter,
                   "Calls received for the plain service."},
    ExportedMetric{"/backend/counters/completed",
                   "amaranthcove_backend_completed_total", MetricType::kCounter,
                   "Requests the backend server completed."},
    ExportedMetric{"/backend/counters/refused",
                   "amaranthcove_backend_refused_total", MetricType::kCounter,
                   "Requests refused by this sidecar without running."},
    ExportedMetric{
        "/backend/counters/broken", "amaranthcove_backend_broken_total",
        MetricType::kCounter,
        "Requests whose response from the backend server broke off."},
    ExportedMetric{"/backend/counters/wrong_answers",
                   "amaranthcove_wrong_answers_total", MetricType::kCounter,
                   "Responses stopped because another model produced them."},
    ExportedMetric{"/backend/counters/loads", "amaranthcove_loads_total",
                   MetricType::kCounter, "Adapter loads that succeeded."},
    ExportedMetric{"/backend/counters/load_failures",
                   "amaranthcove_load_failures_total", MetricType::kCounter,
                   "Adapter loads that failed."},
    ExportedMetric{"/backend/counters/store_busy",
                   "amaranthcove_store_busy_total", MetricType::kCounter,
                   "Adapter loads the weight store rejected as too many."},
    ExportedMetric{"/backend/counters/evictions",
                   "amaranthcove_evictions_total", MetricType::kCounter,
                   "Adapters evicted from slots."},
    ExportedMetric{"/backend/counters/slot_mismatches",
                   "amaranthcove_slot_mismatches_total", MetricType::kCounter,
                   "Slots found to hold another adapter than recorded."},
    ExportedMetric{"/backend/counters/engine_restarts",
                   "amaranthcove_engine_restarts_total", MetricType::kCounter,
                   "Restarts of the engine seen by its boot id."},
    ExportedMetric{"/backend/counters/stale_fences",
                   "amaranthcove_stale_fences_total", MetricType::kCounter,
                   "Commands the engine rejected by their fencing number."},
    ExportedMetric{"/backend/counters/overtaken_loads",
                   "amaranthcove_overtaken_loads_total", MetricType::kCounter,
                   "Loads that a later command of the same sidecar overtook."},
    ExportedMetric{"/backend/counters/urgent_stall_s",
                   "amaranthcove_backend_urgent_stall_seconds_total",
                   MetricType::kCounter,
                   "Time urgent requests waited here for an adapter."},
    ExportedMetric{"/backend/counters/patient_stall_s",
                   "amaranthcove_backend_patient_stall_seconds_total",
                   MetricType::kCounter,
                   "Time patient requests waited here for an adapter."},
    ExportedMetric{"/backend/counters/operations_issued",
                   "amaranthcove_operations_issued_total", MetricType::kCounter,
                   "Operation ids issued."},
    ExportedMetric{"/backend/counters/operations_run",
                   "amaranthcove_operations_run_total", MetricType::kCounter,
                   "Operations started on the backend server."},
    ExportedMetric{"/backend/counters/operations_joined",
                   "amaranthcove_operations_joined_total", MetricType::kCounter,
                   "Repeated calls attached to their running operation."},
    ExportedMetric{"/backend/counters/operations_replayed",
                   "amaranthcove_operations_replayed_total",
                   MetricType::kCounter,
                   "Repeated calls answered with the stored response."},
    ExportedMetric{"/backend/counters/operations_unknown",
                   "amaranthcove_operations_unknown_total",
                   MetricType::kCounter,
                   "Operations whose outcome this sidecar cannot tell."},
    ExportedMetric{"/supervisor/counters/component_restarts",
                   "amaranthcove_component_restarts_total",
                   MetricType::kCounter,
                   "Components restarted by the supervisor."},
};

// Returns no value for null and strings.
std::optional<double> MetricValue(const Json& value) {
  if (value.is_boolean()) {
    return value.get<bool>() ? 1 : 0;
  }
  if (value.is_number()) {
    return value.get<double>();
  }
  if (value.is_structured()) {
    return static_cast<double>(value.size());
  }
  return std::nullopt;
}

// Increases `counter` to `value`. Counters of the dump start at 0 with the
// process, so a counter never needs to decrease.
void IncreaseTo(prometheus::Counter& counter, double value) {
  if (value > counter.Value()) {
    counter.Increment(value - counter.Value());
  }
}

// Returns the number of teams whose newest document was refused, so that an
// older one or none is in force.
double CountRefusedDocuments(const Json& dump) {
  const Json documents = dump.value("documents", Json::object());
  return static_cast<double>(std::count_if(
      documents.begin(), documents.end(), [](const Json& document) {
        return document.value("newest_revision", std::int64_t{0}) >
               document.value("revision", std::int64_t{0});
      }));
}

bool IsExported(std::string_view pointer) {
  return std::any_of(
      kMetrics.begin(), kMetrics.end(),
      [&](const ExportedMetric& metric) { return pointer == metric.pointer; });
}

}  // namespace

std::span<const ExportedMetric> ExportedMetrics() {
  return kMetrics;
}

void ExportMetrics(const Json& dump, MetricsRegistry& registry) {
  for (const ExportedMetric& metric : kMetrics) {
    const Json::json_pointer pointer(metric.pointer);
    if (!dump.contains(pointer)) {
      continue;
    }
    const std::optional<double> value = MetricValue(dump.at(pointer));
    if (!value) {
      continue;
    }
    if (metric.type == MetricType::kGauge) {
      registry.Gauge(metric.name, metric.help).Set(*value);
    } else {
      IncreaseTo(registry.Counter(metric.name, metric.help), *value);
    }
  }
  registry
      .Gauge("amaranthcove_documents_refused_now",
             "Teams whose newest service document is refused.")
      .Set(CountRefusedDocuments(dump));
}

std::vector<std::string> UnexportedCounters(const Json& dump) {
  std::vector<std::string> missing;
  const Json flat = dump.flatten();
  for (const auto& [pointer, value] : flat.items()) {
    if (value.is_number() && pointer.find("/counters/") != std::string::npos &&
        !IsExported(pointer)) {
      missing.push_back(pointer);
    }
  }
  return missing;
}

}  // namespace amaranthcove
