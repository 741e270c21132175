#include "amaranthcove/entry/entry.h"

#include <algorithm>
#include <utility>

#include "amaranthcove/base/json.h"
#include "amaranthcove/log/log.h"
#include "amaranthcove/membership/peer_graph.h"
#include "amaranthcove/wire/document_codec.h"
#include "amaranthcove/wire/instance_codec.h"
#include "amaranthcove/wire/suspect_codec.h"

namespace amaranthcove {

namespace {

constexpr Duration kWatchInterval = std::chrono::seconds(1);
// Interval between removals of unused adapters from the popularity table.
constexpr Duration kCompactInterval = std::chrono::minutes(1);
constexpr std::size_t kMaxBodyBytes = 2 << 20;

// Heartbeats between entries carry digests of documents, so their interval
// bounds how long a missed change stays undetected.
PeerTimings MeshTimings() {
  PeerTimings timings;
  timings.idle_interval = std::chrono::seconds(1);
  timings.idle_timeout = std::chrono::seconds(4);
  return timings;
}

PeerContext MeshContext(const PeerContext& context) {
  return {context.loop,  context.self, context.cluster_key,
          MeshTimings(), nullptr,      {}};
}

ServerChooserSettings ChooserSettings(const PeerContext& context,
                                      const EntryOptions& options) {
  ServerChooserSettings settings;
  settings.region = context.self.region;
  settings.data_centre = context.self.data_centre;
  settings.choose = options.choose;
  settings.spare_candidates = options.spare_candidates;
  return settings;
}

}  // namespace

Entry::Entry(PeerContext& context,
             HttpClient& http,
             const EntryOptions& options)
    : context_(context),
      options_(options),
      random_{static_cast<std::uint64_t>(context.self.incarnation)},
      explain_(options.explain_records),
      mesh_context_(MeshContext(context)),
      mesh_(mesh_context_,
            directory_,
            catalogue_.store(),
            options.peers,
            {[this](const wire::Document& document, const std::string& from) {
               OnDocument(wire::FromWire(document), from);
             },
             [this](const wire::Suspect& suspect, const std::string& from) {
               OnSuspect(suspect, from);
             },
             [this] { mesh_.UpdateLinks(); }}),
      links_(context, {}, MakeSidecarEvents()),
      chooser_(directory_, ChooserSettings(context, options), random_.Next()),
      issuer_(context.loop, links_, chooser_),
      call_context_{context.loop, catalogue_, directory_, links_,
                    chooser_,     issuer_,    suspects_,  retry_budget_,
                    random_,      explain_,   counters_},
      platform_(
          context.loop,
          http,
          {options.platform, std::chrono::seconds(25), std::chrono::seconds(5),
           [this] { return random_.NextUnit(); }},
          {[this](std::string_view team) {
             const DocumentState* state = catalogue_.store().Find(team);
             return state == nullptr ? 0 : state->newest_revision();
           },
           [this](Document document) { OnDocument(std::move(document), ""); },
           [this](std::int64_t revision,
                  std::span<const InstanceRecord> changes) {
             OnInstances(revision, changes);
           }}),
      started_(SteadyNow()),
      watch_jitter_(std::chrono::duration_cast<Duration>(kReaderTimeoutJitter *
                                                         random_.NextUnit())) {}

Entry::~Entry() {
  context_.loop.Cancel(watch_timer_);
  context_.loop.Cancel(drain_timer_);
}

SidecarEvents Entry::MakeSidecarEvents() {
  SidecarEvents events;
  events.on_hello = [this](const wire::Hello& hello) {
    if (const auto record = wire::ToInstanceRecord(hello)) {
      const HelloResult result = directory_.OnHello(*record, hello.incarnation);
      if (result == HelloResult::kNewIncarnation) {
        chooser_.RemoveServer(hello.instance);
      }
    }
  };
  events.on_connect_failed = [this](const std::string& instance) {
    directory_.OnConnectFailed(instance, context_.loop.Now());
  };
  events.on_silence = [this](const std::string& instance) {
    directory_.OnSilence(instance, context_.loop.Now());
  };
  events.on_leaving = [this](const std::string& instance,
                             Incarnation incarnation) {
    directory_.OnLeaving(instance, incarnation);
  };
  events.on_report = [this](const std::string& instance,
                            const wire::ServerReport& report) {
    chooser_.OnReport(instance, report, context_.loop.Now());
  };
  events.on_document = [this](const wire::Document& document) {
    OnDocument(wire::FromWire(document), "");
  };
  events.on_documents_request = [this](const wire::DocumentsRequest& request,
                                       PeerConnection& connection) {
    mesh_.AnswerRequest(request, connection);
  };
  events.on_suspect = [this](const wire::Suspect& suspect) {
    OnSuspect(suspect, "");
  };
  return events;
}

Status Entry::Start() {
  if (Status listening = mesh_.Listen(options_.peer_address); !listening) {
    return listening;
  }
  context_.self.peer_address = mesh_context_.self.peer_address;
  HttpServer::Options http_options;
  http_options.limits.max_body_bytes = kMaxBodyBytes;
  auto server = HttpServer::Listen(
      context_.loop, options_.http_address, http_options,
      [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
        OnRequest(std::move(request), std::move(responder));
      });
  if (!server) {
    return tl::unexpected<Error>(server.error());
  }
  server_ = std::move(*server);
  WatchPlatform();
  return {};
}

void Entry::WatchPlatform() {
  const Time now = context_.loop.Now();
  watching_platform_ = ShouldWatchPlatform(now);
  platform_.WatchDocuments(watching_platform_);
  platform_.WatchInstances(watching_platform_);
  if (watching_platform_ && PlatformIsCurrent()) {
    mesh_.OnPlatformConfirmed(now);
  }
  directory_.RemoveGone(kMaxGoneInstances);
  CheckLeavingSidecars(now);
  if (now - compacted_ >= kCompactInterval) {
    compacted_ = now;
    chooser_.Compact(now);
  }
  watch_timer_ =
      context_.loop.RunAfter(kWatchInterval, [this] { WatchPlatform(); });
}

bool Entry::ShouldWatchPlatform(Time now) const {
  const std::vector<EntryLocation> entries = directory_.LiveEntries();
  const EntryLocation self{context_.self.instance, context_.self.data_centre};
  // A process without any confirmation from a reader, as after its start,
  // watches the platform at once instead of waiting for its peers.
  const auto last_confirmation =
      mesh_.LastReaderConfirmation(watching_platform_);
  return !last_confirmation ||
         ShouldReadPlatform(self, entries, *last_confirmation, now,
                            watch_jitter_);
}

// Returns whether the platform answers in time with revisions at least as new
// as those known here. Older revisions mean that the platform is stale, so its
// answers confirm nothing.
bool Entry::PlatformIsCurrent() const {
  if (!platform_.current() ||
      platform_.instances_revision() < directory_.list_revision()) {
    return false;
  }
  const auto& states = catalogue_.store().states();
  return std::all_of(states.begin(), states.end(), [this](const auto& item) {
    return platform_.listed_revision(item.first) >=
           item.second.newest_revision();
  });
}

// Notifies sidecars that the instance list marks as leaving, until they
// announce it themselves. Only readers open connections for the notice, because
// otherwise hundreds of entries would do so for each restart. Also probes
// sidecars that announced that they are leaving but are listed as live, because
// a new incarnation is first detected by its `Hello`.
void Entry::CheckLeavingSidecars(Time now) {
  for (const Instance* sidecar :
       directory_.ConnectTargets(InstanceRole::kSidecar, now)) {
    const InstanceRecord& record = sidecar->record;
    const bool is_reachable =
        watching_platform_ || links_.connected(record.instance);
    if (!sidecar->said_leaving && is_reachable &&
        sidecar->listed_as(InstanceState::kLeaving) && !sidecar->live()) {
      links_.NotifyLeaving(record.instance, record.address);
    } else if (sidecar->said_leaving &&
               sidecar->listed_as(InstanceState::kLive)) {
      links_.Probe(record.instance, record.address);
    }
  }
}

bool Entry::ready() const {
  const bool waited =
      context_.loop.Now() - started_ > options_.first_document_timeout;
  return !leaving_ && (waited || !catalogue_.entries().empty());
}

std::string Entry::NewRequestId() {
  return context_.self.instance + "-" +
         std::to_string(context_.self.incarnation % 1000000) + "-" +
         std::to_string(next_request_++);
}

void Entry::OnRequest(HttpRequest request,
                      std::unique_ptr<HttpResponder> responder) {
  ++counters_.received;
  const std::string request_id = NewRequestId();
  if (request.path == "/v1/models" && request.method == "GET") {
    OnModels(*responder, request_id);
  } else if (request.path == "/v1/operations") {
    OnIssueOperation(request, std::move(responder), request_id);
  } else {
    StartCall(std::move(request), std::move(responder), request_id);
  }
}

void Entry::OnModels(HttpResponder& responder,
                     const std::string& request_id) const {
  nlohmann::json data = nlohmann::json::array();
  const auto add = [&data](const std::string& team, const std::string& name) {
    std::string id = team;
    id += '/';
    id += name;
    data.push_back({{"id", id}, {"object", "model"}, {"owned_by", team}});
  };
  for (const auto& [team, entry] : catalogue_.entries()) {
    for (const auto& [adapter, versions] : entry.document.adapters) {
      for (const std::int64_t version : versions) {
        add(team, adapter + '@' + std::to_string(version));
      }
    }
    for (const auto& [alias, target] : entry.document.aliases) {
      add(team, alias);
    }
  }
  const nlohmann::json body = {{"object", "list"}, {"data", data}};
  responder.Send(
      {200,
       {{"Content-Type", "application/json"}, {"X-Request-Id", request_id}},
       SerializeJson(body)});
}

void Entry::OnIssueOperation(const HttpRequest& request,
                             std::unique_ptr<HttpResponder> responder,
                             const std::string& request_id) {
  const auto refuse = [&](int status, std::string code, std::string message) {
    ++counters_.refused_early;
    responder->Send(ErrorResponse({status, std::move(code), std::move(message)},
                                  request_id));
  };
  if (request.method != "POST") {
    refuse(405, "method_not_allowed", "Use POST.");
    return;
  }
  const nlohmann::json body = ParseJson(request.body);
  const bool valid = body.is_object() && body.contains("team") &&
                     body["team"].is_string() && body.contains("service") &&
                     body["service"].is_string();
  if (!valid) {
    refuse(400, "bad_json", "POST a JSON object with `team` and `service`.");
    return;
  }
  CallPlan plan;
  plan.kind = CallKind::kPlain;
  plan.team = body["team"];
  plan.service = body["service"];
  const CatalogueEntry* entry = catalogue_.Find(plan.team);
  if (entry == nullptr ||
      !entry->document.plain_services.contains(plan.service)) {
    refuse(404, "unknown_service",
           "No service document in force offers this service.");
    return;
  }
  ++pending_operation_ids_;
  issuer_.Issue(
      plan,
      [this, responder = std::shared_ptr<HttpResponder>(std::move(responder)),
       request_id](const std::string& id) {
        --pending_operation_ids_;
        CheckDrained();
        if (id.empty()) {
          ++counters_.failed_not_run;
          responder->Send(
              ErrorResponse({503, "no_backend_server",
                             "No backend server issued an operation id.",
                             Outcome::kNotRun, std::chrono::seconds(1)},
                            request_id));
          return;
        }
        ++counters_.completed;
        const nlohmann::json answer = {{"operation_id", id}};
        responder->Send({200,
                         {{"Content-Type", "application/json"},
                          {"X-Request-Id", request_id}},
                         SerializeJson(answer)});
      });
}

void Entry::StartCall(HttpRequest request,
                      std::unique_ptr<HttpResponder> responder,
                      const std::string& request_id) {
  auto plan = PlanCall(request, catalogue_);
  if (plan && calls_.size() >= options_.max_calls) {
    const Outcome outcome = plan->kind == CallKind::kOperation
                                ? Outcome::kUnknown
                                : Outcome::kNotRun;
    plan = tl::unexpected<ApiError>(
        {503, "too_many_calls", "This entry has too many calls in progress.",
         outcome, policy::RetryAfter(std::chrono::seconds(1), random_)});
  }
  if (!plan) {
    ++counters_.refused_early;
    responder->Send(ErrorResponse(plan.error(), request_id));
    return;
  }
  auto call = std::make_unique<Call>(call_context_, std::move(request),
                                     std::move(*plan), request_id,
                                     std::move(responder), [this, request_id] {
                                       calls_.erase(request_id);
                                       CheckDrained();
                                     });
  Call* started = call.get();
  calls_[request_id] = std::move(call);
  started->Start();
}

void Entry::OnDocument(Document document, const std::string& from) {
  const Time now = context_.loop.Now();
  const Document copy = document;
  const AdoptResult result = catalogue_.Adopt(std::move(document), now);
  if (result == AdoptResult::kStale) {
    return;
  }
  if (result == AdoptResult::kAdopted) {
    ++documents_adopted_;
    Log(LogLevel::kInfo, "documents",
        "team " + copy.team + ": revision " + std::to_string(copy.revision) +
            " is in force");
  } else {
    ++documents_refused_;
    const auto& errors = catalogue_.store().Find(copy.team)->errors;
    Log(LogLevel::kWarn, "documents",
        "team " + copy.team + ": revision " + std::to_string(copy.revision) +
            " is invalid and refused: " +
            (errors.empty() ? std::string() : errors.front()));
  }
  mesh_.PropagateDocument(copy, from);
}

void Entry::OnSuspect(const wire::Suspect& suspect, const std::string& from) {
  if (!suspects_.Merge(wire::FromWire(suspect), context_.loop.Now())) {
    return;
  }
  mesh_.PushSuspect(suspect, from);
  wire::Frame frame;
  frame.__set_suspect(suspect);
  links_.Broadcast(frame);
}

void Entry::OnInstances(std::int64_t revision,
                        std::span<const InstanceRecord> changes) {
  const std::int64_t before = directory_.list_revision();
  if (!directory_.ApplyList(revision, changes) || revision == before) {
    return;
  }
  mesh_.PropagateInstances(before);
  CheckLeavingSidecars(context_.loop.Now());
  mesh_.UpdateLinks();
}

void Entry::Leave() {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  Log(LogLevel::kInfo, "entry", "leaving; readiness is withdrawn");
  mesh_.Leave();
  drain_timer_ = context_.loop.RunAfter(options_.drain, [this] {
    drain_timer_ = 0;
    StopAccepting();
  });
}

void Entry::StopAccepting() {
  accepting_ = false;
  server_->StopAccepting();
  CheckDrained();
}

void Entry::CheckDrained() {
  if (!accepting_ && calls_.empty() && pending_operation_ids_ == 0 &&
      on_drained_) {
    // Deferred, so that the last responses are sent first and a call that is
    // ending may call this function.
    context_.loop.RunAfter(std::chrono::milliseconds(50),
                           std::exchange(on_drained_, nullptr));
  }
}

nlohmann::json Entry::Explain(const std::string& request_id) const {
  return explain_.Find(request_id);
}

nlohmann::json Entry::Dump(Time now) const {
  nlohmann::json documents = nlohmann::json::object();
  for (const auto& [team, state] : catalogue_.store().states()) {
    documents[team] = {{"revision", state.in_force.revision},
                       {"removed", state.in_force.removed},
                       {"newest_revision", state.newest_revision()},
                       {"age_ms", ToMilliseconds(now - state.adopted_at)},
                       {"errors", state.errors}};
  }
  nlohmann::json instances = nlohmann::json::object();
  for (const auto& [name, instance] : directory_.instances()) {
    instances[name] = {{"address", FormatAddress(instance.record.address)},
                       {"live", instance.live()},
                       {"said_leaving", instance.said_leaving},
                       {"failures", instance.health.consecutive_failures}};
  }
  const PlatformClient::Counters& platform = platform_.counters();
  const HttpServer::Counters http =
      server_ == nullptr ? HttpServer::Counters() : server_->counters();
  return {{"role", "entry"},
          {"instance", context_.self.instance},
          {"incarnation", context_.self.incarnation},
          {"ready", ready()},
          {"leaving", leaving_},
          {"calls", calls_.size()},
          {"documents", documents},
          {"instances", instances},
          {"instances_revision", directory_.list_revision()},
          {"reads_platform", watching_platform_},
          {"platform_current", watching_platform_ && PlatformIsCurrent()},
          {"mesh", mesh_.Dump()},
          {"sidecars", links_.Dump()},
          {"reports", chooser_.Dump(now)},
          {"suspects", suspects_.size()},
          {"counters",
           {{"received", counters_.received},
            {"http_refused", http.refused},
            {"http_incomplete", http.incomplete_connections},
            {"refused_early", counters_.refused_early},
            {"completed", counters_.completed},
            {"failed_not_run", counters_.failed_not_run},
            {"failed_unknown", counters_.failed_unknown},
            {"attempts", counters_.attempts},
            {"retries", counters_.retries},
            {"retries_denied", counters_.retries_denied},
            {"callers_gone", counters_.callers_gone},
            {"broken_after_start", counters_.broken_after_start},
            {"relayed_chunks", counters_.relayed_chunks},
            {"relayed_bytes", counters_.relayed_bytes},
            {"urgent_calls", counters_.urgent_calls},
            {"patient_calls", counters_.patient_calls},
            {"urgent_stall_s", counters_.urgent_stall_s},
            {"patient_stall_s", counters_.patient_stall_s},
            {"documents_adopted", documents_adopted_},
            {"documents_refused", documents_refused_},
            {"platform_calls", platform.calls},
            {"platform_failures", platform.failed_calls},
            {"platform_stale_answers", platform.stale_answers},
            {"frames_sent", context_.counters.frames_sent +
                                mesh_context_.counters.frames_sent},
            {"frames_received", context_.counters.frames_received +
                                    mesh_context_.counters.frames_received},
            {"bytes_sent", context_.counters.bytes_sent},
            {"bytes_received", context_.counters.bytes_received},
            {"mesh_bytes_sent", mesh_context_.counters.bytes_sent},
            {"mesh_bytes_received", mesh_context_.counters.bytes_received},
            {"bad_frames",
             context_.counters.bad_frames + mesh_context_.counters.bad_frames},
            {"unknown_frames", context_.counters.unknown_frames +
                                   mesh_context_.counters.unknown_frames},
            {"failed_handshakes", context_.counters.failed_handshakes +
                                      mesh_context_.counters.failed_handshakes},
            {"silent_connections",
             context_.counters.silent_connections +
                 mesh_context_.counters.silent_connections}}}};
}

}  // namespace amaranthcove
