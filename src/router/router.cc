#include "amaranthcove/router/router.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "amaranthcove/agent_link/place_codec.h"
#include "amaranthcove/agent_link/quota_codec.h"
#include "amaranthcove/base/hash.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/log/event_log.h"
#include "amaranthcove/log/guarded.h"
#include "amaranthcove/net/http_server.h"
#include "amaranthcove/net/udp.h"
#include "amaranthcove/net/upstream_client.h"
#include "amaranthcove/quota/quota_accounts.h"
#include "platform/backend_request.h"
#include "src/router/fleet.h"
#include "src/router/fleet_updates.h"
#include "src/router/relay_call.h"
#include "src/router/request_metrics.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// The longest time for which requests are held at startup. A router receives
// its configuration within some 20 ms of its start, and holding requests until
// then spares callers a retry.
constexpr Duration kMaxHoldTime = milliseconds(300);

// The interval at which demands, grace periods, held requests and a graceful
// stop are checked.
constexpr Duration kTickInterval = milliseconds(50);

// A tick that is later than this shows that the router is behind: its beliefs
// and the callers that have left are older than it assumes.
constexpr Duration kMaxTickDelay = milliseconds(250);

// The router serves for this time after a stop begins: the platform sends
// connections to other routers after two not-ready answers, one second apart.
constexpr Duration kServeTimeAfterStop = milliseconds(2600);

// Time for writing the answers that are in progress when the last request ends.
constexpr Duration kLastWritesDelay = milliseconds(150);

// When callers should return that came before the first configuration.
constexpr Duration kRetryWithoutConfig = std::chrono::seconds(1);

// When this much of the stop limit is left, the router no longer waits for
// requests in progress.
constexpr Duration kStopMargin = milliseconds(700);

// Memory of the instance that is not for the requests and answers of callers:
// the program, the configuration, and what is known of servers.
constexpr std::size_t kOwnMemoryMb = 40;
// Share of the descriptors for connections of callers: each may need another
// one to a backend server.
constexpr double kCallerDescriptorShare = 0.375;
// The least memory for requests and for answers.
constexpr std::size_t kMinCallerMemoryMb = 4;

// Returns the memory in bytes for requests, and again for answers.
std::size_t CallerMemory(int memory_mb) {
  const auto total = static_cast<std::size_t>(memory_mb);
  const std::size_t free = total - std::min(total, kOwnMemoryMb);
  return std::max(free / 2, kMinCallerMemoryMb) << 20;
}

// Returns how many large answers may be gathered at the same time.
std::size_t AnswerPlaces(int memory_mb) {
  constexpr std::size_t kAnswerMb = 8;  // The largest one while it grows.
  return std::max<std::size_t>(1, (CallerMemory(memory_mb) >> 20) / kAnswerMb);
}

class RouterImpl final : public Router {
 public:
  RouterImpl(EventLoop& loop,
             MetricsRegistry& metrics,
             const RouterSettings& settings)
      : loop_(loop),
        settings_(settings),
        log_("router", {}),
        links_(settings.instance,
               NewIncarnation(),
               [this](const Address& agent, std::string_view bytes) {
                 udp_->Send(agent, bytes);
               }),
        fleet_({settings.data_centre,
                settings.agent_port,
                {settings.retry_ratio, settings.retry_extra,
                 settings.retry_window},
                settings.shared_places,
                NewIncarnation()},
               links_),
        upstream_(UpstreamClient::Create(loop, {})),
        request_metrics_(metrics),
        answers_(AnswerPlaces(settings.memory_mb)),
        crash_checker_(loop,
                       [this](std::uint64_t id, LostRequest request) {
                         OnPlainCrash(id, std::move(request));
                       }),
        environment_{loop_,
                     *upstream_,
                     fleet_,
                     log_,
                     crashes_,
                     crash_checker_,
                     answers_,
                     [this] { SendDemandsSoon(); },
                     [this](const BackendServer& server,
                            const ResponseInfo& info,
                            Time now) { OnAnnouncement(server, info, now); }},
        updates_(loop,
                 fleet_,
                 *upstream_,
                 log_,
                 {settings.metadata_store, settings.leaving_limit,
                  settings.config_limit},
                 {[this](std::string_view server) { NotifyCalls(server); },
                  [this] {
                    ApplyLimits();
                    ApplyQuotas();
                    ReleaseHeld();
                  }}) {}

  ~RouterImpl() override {
    loop_.Cancel(tick_timer_);
    loop_.Cancel(demand_timer_);
    loop_.Cancel(cleanup_timer_);
    loop_.Cancel(announcement_timer_);
    loop_.Cancel(stop_timer_);
  }

  Status Start() override;
  void Leave(std::function<void()> on_stopped) override;
  bool ready() const override;
  nlohmann::json Dump() const override;

 private:
  Status Listen();
  void OnRequest(HttpRequest request, std::unique_ptr<HttpResponder> responder);
  // Returns whether both the configuration and the backend servers are known.
  bool HasConfigAndBackends() const {
    return fleet_.has_config() && updates_.has_backends();
  }
  void HoldUntilConfigured(HttpRequest request,
                           std::unique_ptr<HttpResponder> responder,
                           Time now);
  // Applies the configured limits of callers to the HTTP server.
  void ApplyLimits();
  // Applies the configured quotas of workspaces.
  void ApplyQuotas();
  // Takes the request out of the quota of its workspace. Refuses it, and
  // returns false, if the quota does not cover it.
  bool TakeQuota(const Workspace& workspace,
                 const RequestInfo& info,
                 HttpResponder& responder,
                 Time now);
  void ReleaseHeld();
  void RefuseExpiredHeld(Time now);
  void Relay(HttpRequest request,
             RequestInfo info,
             std::unique_ptr<HttpResponder> responder,
             Time now);
  // Returns whether keys may have been taken away too long ago.
  bool AreKeysTooOld(Time now) const {
    return settings_.revocation_strict &&
           fleet_.ConfigAge(now) > settings_.revocation_limit;
  }
  void LogUnknownKey(const RequestInfo& info);
  // Returns whether a service of `route` has engines.
  bool HasEngines(const Route& route) const;
  void Refuse(const RequestInfo& info,
              int status,
              std::string_view reason,
              HttpResponder& responder);
  // Answers a request that has not run. Callers follow `retry_after` up to a
  // third of their remaining time.
  void SendRefusal(int status,
                   std::string_view reason,
                   std::optional<Duration> retry_after,
                   HttpResponder& responder);
  void OnReadinessRequest(const HttpRequest& request, HttpResponder& responder);
  void OnCallDone(std::uint64_t call, const RelayResult& result);
  void OnDatagram(const Address& sender, std::string_view bytes);
  // Returns the estimates of the services with engines.
  nlohmann::json DumpServices(Time now) const;
  // Returns the quotas of workspaces and what was done about them.
  nlohmann::json DumpWorkspaces(Time now) const;
  void NotifyCalls(std::string_view server);
  // Applies what a server says of itself in an answer.
  void OnAnnouncement(const BackendServer& server,
                      const ResponseInfo& info,
                      Time now);
  // Records a request that was lost in the crash of a plain server, and tells
  // the other routers by way of an agent.
  void OnPlainCrash(std::uint64_t id, LostRequest request);
  void LogCrashCauses();
  void SendDemandsSoon();
  // Sends the demands for places that are due.
  void SendPlaceDemands(Time now);
  void OnPlaceGrants(const Address& agent,
                     const agent_wire::PlaceGrants& grants);
  void Tick();
  // Logs a tick that comes so late that the router has fallen behind.
  void LogLateTick(Time now);
  void CheckStopped();

  EventLoop& loop_;
  const RouterSettings settings_;
  EventLog log_;
  std::unique_ptr<UdpSocket> udp_;
  AgentLinks links_;
  Fleet fleet_;
  CrashTable crashes_;
  QuotaAccounts quotas_{{settings_.quota_overshoot, settings_.quota_tolerance}};
  std::unique_ptr<UpstreamClient> upstream_;
  RequestMetrics request_metrics_;
  AnswerGate answers_;
  CrashChecker crash_checker_;
  RelayCall::Environment environment_;
  FleetUpdates updates_;

  // A request that arrived before the first configuration.
  struct HeldRequest {
    HttpRequest request;
    std::unique_ptr<HttpResponder> responder;
    Time arrived;
  };

  // Of the digests of keys in the log.
  const std::uint64_t key_salt_ = static_cast<std::uint64_t>(NewIncarnation());
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, HeldRequest> held_;
  std::map<std::uint64_t, std::unique_ptr<RelayCall>> calls_;
  std::vector<std::uint64_t> done_calls_;
  // Servers that have said something of themselves, and whether they leave.
  std::vector<std::pair<BackendServer, bool>> announced_;

  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpServer> readiness_server_;

  TimerId tick_timer_ = 0;
  Time next_tick_;
  TimerId demand_timer_ = 0;
  TimerId cleanup_timer_ = 0;
  TimerId announcement_timer_ = 0;
  TimerId stop_timer_ = 0;
  bool leaving_ = false;
  bool stopped_ = false;
  Time leave_started_;
  std::function<void()> on_stopped_;
};

Status RouterImpl::Listen() {
  auto udp = UdpSocket::Bind(
      loop_, settings_.agent_address,
      [this](const Address& sender, std::string_view bytes) {
        RunGuarded(log_, "datagram", [&] { OnDatagram(sender, bytes); });
      });
  if (!udp) {
    return tl::unexpected(udp.error());
  }
  udp_ = std::move(*udp);
  HttpServer::Options options;
  options.abort_method = HttpServer::AbortMethod::kClose;
  options.memory_budget = CallerMemory(settings_.memory_mb);
  options.max_connections = static_cast<std::size_t>(kCallerDescriptorShare *
                                                     settings_.max_descriptors);
  auto server = HttpServer::Listen(
      loop_, settings_.http_address, options,
      [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
        RunGuarded(log_, "request", [&] {
          OnRequest(std::move(request), std::move(responder));
        });
      });
  if (!server) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  auto readiness = HttpServer::Listen(
      loop_, settings_.readiness_address, {},
      [this](const HttpRequest& request,
             const std::unique_ptr<HttpResponder>& responder) {
        OnReadinessRequest(request, *responder);
      });
  if (!readiness) {
    return tl::unexpected(readiness.error());
  }
  readiness_server_ = std::move(*readiness);
  return {};
}

Status RouterImpl::Start() {
  if (Status listening = Listen(); !listening) {
    return listening;
  }
  log_.SetNow(loop_.Now());
  log_.Write(LogLevel::kWarn, "start",
             {{"instance", settings_.instance},
              {"http", FormatAddress(settings_.http_address)},
              {"store", FormatAddress(settings_.metadata_store)}});
  links_.SetQuotaReporter([this](const Address& agent, Time now) {
    return quotas_.ReportsFor(agent, now);
  });
  updates_.Start();
  Tick();
  return {};
}

bool RouterImpl::ready() const {
  return !leaving_ && HasConfigAndBackends();
}

void RouterImpl::OnReadinessRequest(const HttpRequest& request,
                                    HttpResponder& responder) {
  HttpResponse response;
  if (!platform::IsReadinessPath(request.path)) {
    response.status = kNotFound;
  } else {
    response.status = ready() ? kOk : kServiceUnavailable;
  }
  responder.Send(std::move(response));
}

void RouterImpl::OnRequest(HttpRequest request,
                           std::unique_ptr<HttpResponder> responder) {
  const Time now = loop_.Now();
  log_.SetNow(now);
  RequestInfo info = platform::DecodeRequest(request);
  if (!HasConfigAndBackends()) {
    HoldUntilConfigured(std::move(request), std::move(responder), now);
    return;
  }
  Relay(std::move(request), std::move(info), std::move(responder), now);
}

void RouterImpl::HoldUntilConfigured(HttpRequest request,
                                     std::unique_ptr<HttpResponder> responder,
                                     Time now) {
  const std::uint64_t id = next_call_++;
  responder->OnCallerGone([this, id] { held_.erase(id); });
  held_.emplace(id, HeldRequest{std::move(request), std::move(responder), now});
}

void RouterImpl::ApplyLimits() {
  if (!fleet_.has_config()) {
    return;
  }
  const CallerLimits& limits = fleet_.table().config().limits;
  server_->SetLimits({limits.max_header_bytes, limits.max_body_bytes,
                      limits.header_timeout, limits.idle_timeout});
}

void RouterImpl::ApplyQuotas() {
  if (fleet_.has_config()) {
    const RoutingConfig& config = fleet_.table().config();
    quotas_.SetWorkspaces(config.workspaces, config.version);
  }
}

bool RouterImpl::TakeQuota(const Workspace& workspace,
                           const RequestInfo& info,
                           HttpResponder& responder,
                           Time now) {
  const double cost = QuotaCost(workspace, info);
  const QuotaDecision decision =
      quotas_.Take(workspace.name, cost, links_.router_count(now),
                   UnitHash(info.attempt_id, key_salt_), now);
  for (const Address& agent :
       quotas_.TakeUrgentReports(links_.router_count(now), now)) {
    links_.ReportQuotas(agent, now);
    SendDemandsSoon();
  }
  if (workspace.quota.rate_per_s > 0) {
    request_metrics_.CountQuota(workspace.name,
                                decision.admitted
                                    ? RequestMetrics::QuotaEvent::kAdmitted
                                    : RequestMetrics::QuotaEvent::kLimited);
  }
  if (decision.admitted) {
    return true;
  }
  log_.Write(
      LogLevel::kInfo, "quota_exceeded",
      {{"request", info.attempt_id},
       {"workspace", workspace.name},
       {"cost", std::to_string(static_cast<std::int64_t>(cost))},
       {"available",
        std::to_string(static_cast<std::int64_t>(decision.available))},
       {"basis", std::string(QuotaBasisName(decision.basis))},
       {"view_age_ms", std::to_string(ToMilliseconds(decision.view_age))},
       {"rate_per_s",
        std::to_string(static_cast<std::int64_t>(workspace.quota.rate_per_s))},
       {"retry_after_ms", std::to_string(ToMilliseconds(decision.retry_after))},
       {"config", std::to_string(fleet_.config_version())}});
  SendRefusal(kTooManyRequests, "quota_exceeded", decision.retry_after,
              responder);
  return false;
}

void RouterImpl::ReleaseHeld() {
  if (!HasConfigAndBackends()) {
    return;
  }
  for (auto& [id, held] : std::exchange(held_, {})) {
    RequestInfo info = platform::DecodeRequest(held.request);
    Relay(std::move(held.request), std::move(info), std::move(held.responder),
          held.arrived);
  }
}

void RouterImpl::RefuseExpiredHeld(Time now) {
  // Ids increase with arrival, so the oldest requests come first.
  while (!held_.empty() &&
         now - held_.begin()->second.arrived >= kMaxHoldTime) {
    const HeldRequest held = std::move(held_.begin()->second);
    held_.erase(held_.begin());
    Refuse(platform::DecodeRequest(held.request), kServiceUnavailable,
           "no_configuration", *held.responder);
  }
}

void RouterImpl::Relay(HttpRequest request,
                       RequestInfo info,
                       std::unique_ptr<HttpResponder> responder,
                       Time now) {
  const Route* route = fleet_.table().Find(info.host, request.path);
  if (route == nullptr) {
    Refuse(info, kNotFound, "no_route", *responder);
    return;
  }
  const CallerIdentity identity = IdentifyCaller(fleet_.table(), *route, info);
  if (identity.has_workspaces && !route->is_public && AreKeysTooOld(now)) {
    Refuse(info, kServiceUnavailable, "keys_too_old", *responder);
    return;
  }
  if (!identity.allowed) {
    LogUnknownKey(info);
    Refuse(info, kUnauthorized, "unknown_key", *responder);
    return;
  }
  if (!info.has_valid_model && HasEngines(*route)) {
    Refuse(info, kBadRequest, "model_not_utf8", *responder);
    return;
  }
  if (identity.workspace != nullptr &&
      !TakeQuota(*identity.workspace, info, *responder, now)) {
    return;
  }
  const std::uint64_t id = next_call_++;
  auto call = std::make_unique<RelayCall>(environment_, std::move(request),
                                          std::move(info), *route, identity,
                                          std::move(responder));
  RelayCall& started = *call;
  calls_.emplace(id, std::move(call));
  started.Start(
      now, [this, id](const RelayResult& result) { OnCallDone(id, result); });
}

void RouterImpl::LogUnknownKey(const RequestInfo& info) {
  log_.Write(LogLevel::kInfo, "unknown_key",
             {{"request", info.attempt_id},
              {"key_digest", KeyDigest(info.key, key_salt_)},
              {"sent_twice", info.has_malformed_key ? "1" : "0"}});
}

bool RouterImpl::HasEngines(const Route& route) const {
  return std::any_of(route.services.begin(), route.services.end(),
                     [this](const WeightedService& part) {
                       const ServiceSpec* service =
                           fleet_.table().FindService(part.service);
                       return service != nullptr && service->engine.has_value();
                     });
}

void RouterImpl::Refuse(const RequestInfo& info,
                        int status,
                        std::string_view reason,
                        HttpResponder& responder) {
  log_.Write(LogLevel::kWarn, "request_refused",
             {{"request", info.attempt_id},
              {"host", info.host},
              {"status", std::to_string(status)},
              {"reason", std::string(reason)},
              {"config", std::to_string(fleet_.config_version())},
              {"config_age_ms",
               std::to_string(ToMilliseconds(fleet_.ConfigAge(loop_.Now())))}});
  SendRefusal(status, reason,
              status == kServiceUnavailable
                  ? std::optional<Duration>(kRetryWithoutConfig)
                  : std::nullopt,
              responder);
}

void RouterImpl::SendRefusal(int status,
                             std::string_view reason,
                             std::optional<Duration> retry_after,
                             HttpResponder& responder) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  if (retry_after) {
    response.headers.push_back({"Retry-After", FormatSeconds(*retry_after)});
  }
  response.body = R"({"error":{"code":")" + std::string(reason) +
                  R"(","outcome":"not_run"}})";
  responder.Send(std::move(response));
  request_metrics_.CountRefusal(reason);
}

void RouterImpl::OnCallDone(std::uint64_t call, const RelayResult& result) {
  request_metrics_.Count(result);
  if (!result.workspace.empty() && !result.may_have_run &&
      quotas_.GiveBack(result.workspace, result.quota_cost)) {
    request_metrics_.CountQuota(result.workspace,
                                RequestMetrics::QuotaEvent::kGivenBack);
  }
  done_calls_.push_back(call);
  if (cleanup_timer_ == 0) {
    // Deferred because the call is still on the stack.
    cleanup_timer_ = loop_.RunAfter(Duration::zero(), [this] {
      cleanup_timer_ = 0;
      for (const std::uint64_t done : std::exchange(done_calls_, {})) {
        calls_.erase(done);
      }
    });
  }
}

void RouterImpl::OnDatagram(const Address& sender, std::string_view bytes) {
  const AgentLinks::Update update = links_.Receive(sender, bytes, loop_.Now());
  for (const std::int64_t prompt : update.admitted) {
    for (const auto& [id, call] : calls_) {
      call->OnAdmitted(prompt, loop_.Now());
    }
  }
  for (const ServerCrash& crash : update.crashes) {
    if (crashes_.Put(sender, crash, loop_.Now())) {
      LogCrashCauses();
    }
  }
  if (update.places) {
    OnPlaceGrants(sender, *update.places);
  }
  if (update.quotas) {
    quotas_.OnViews(sender, update.quotas->incarnation, update.quotas->sequence,
                    DecodeLedgerViews(update.quotas->views), loop_.Now());
  }
  if (update.engine) {
    NotifyCalls(*update.engine);
  }
}

void RouterImpl::OnPlainCrash(std::uint64_t id, LostRequest request) {
  const Time now = loop_.Now();
  log_.Write(LogLevel::kWarn, "plain_server_crash",
             {{"crash", std::to_string(id)},
              {"request_hash", std::to_string(request.request)}});
  links_.ReportPlainCrash(id, request, now);
  SendDemandsSoon();
  if (crashes_.AddOwn(id, std::move(request), now)) {
    LogCrashCauses();
  }
}

void RouterImpl::LogCrashCauses() {
  std::string parts;
  for (const CrashCause& cause : crashes_.causes()) {
    for (const PartId part : cause.parts) {
      parts += (parts.empty() ? "" : ",") + std::to_string(part);
    }
  }
  log_.Write(LogLevel::kWarn, "crash_causes",
             {{"crashes", std::to_string(crashes_.size())},
              {"causes", std::to_string(crashes_.causes().size())},
              {"part_hashes", parts}});
}

void RouterImpl::NotifyCalls(std::string_view server) {
  // `OnCallDone` defers the erasing of calls, so the map does not change here.
  for (const auto& [id, call] : calls_) {
    call->OnServerChanged(server, loop_.Now());
  }
}

void RouterImpl::OnAnnouncement(const BackendServer& server,
                                const ResponseInfo& info,
                                Time now) {
  if (info.wants_nothing_for) {
    fleet_.PauseServer(server, *info.wants_nothing_for,
                       UnitHash(server.id, key_salt_), now);
    log_.Write(
        LogLevel::kInfo, "server_paused",
        {{"server", server.id},
         {"request", info.attempt_id},
         {"for_ms", std::to_string(ToMilliseconds(*info.wants_nothing_for))}});
  }
  // Deferred because the call that got the answer is still on the stack.
  announced_.push_back({server, info.server_leaves});
  if (announcement_timer_ == 0) {
    announcement_timer_ = loop_.RunAfter(Duration::zero(), [this] {
      announcement_timer_ = 0;
      for (const auto& [announced, leaves] : std::exchange(announced_, {})) {
        if (leaves) {
          updates_.MarkLeaving(announced);
        }
        NotifyCalls(announced.id);
      }
    });
  }
}

void RouterImpl::SendDemandsSoon() {
  if (demand_timer_ == 0) {
    demand_timer_ = loop_.RunAfter(Duration::zero(), [this] {
      demand_timer_ = 0;
      links_.Tick(loop_.Now());
      SendPlaceDemands(loop_.Now());
    });
  }
}

void RouterImpl::SendPlaceDemands(Time now) {
  for (const PlaceClient::Outgoing& outgoing : fleet_.places().TakeDue(now)) {
    agent_wire::AgentDatagram datagram;
    datagram.__set_place_demand(EncodePlaceDemand(outgoing.demand));
    udp_->Send(outgoing.agent, EncodeDatagram(datagram));
  }
}

void RouterImpl::OnPlaceGrants(const Address& agent,
                               const agent_wire::PlaceGrants& grants) {
  const Time now = loop_.Now();
  const std::vector<PlaceUse> news = fleet_.places().OnGrants(
      agent, static_cast<ServiceHash>(grants.service_hash), grants.sequence,
      DecodePlaceUses(grants.grants));
  for (const PlaceUse& grant : news) {
    for (const auto& [id, call] : calls_) {
      call->OnPlaceGranted(grant.id, grant.server, now);
    }
  }
  for (const agent_wire::PlaceWait& wait : grants.waits) {
    for (const auto& [id, call] : calls_) {
      call->OnPlaceWait({wait.id, wait.ahead}, now);
    }
  }
}

void RouterImpl::Tick() {
  const Time now = loop_.Now();
  log_.SetNow(now);
  LogLateTick(now);
  quotas_.SetAgents(links_.AnsweringAgents(now));
  fleet_.places().SetAgents(links_.AnsweringAgents(now));
  SendPlaceDemands(now);
  links_.Tick(now);
  updates_.Tick(now);
  RefuseExpiredHeld(now);
  next_tick_ = now + kTickInterval;
  tick_timer_ = loop_.RunAt(next_tick_, [this] { Tick(); });
  if (leaving_) {
    CheckStopped();
  }
}

void RouterImpl::LogLateTick(Time now) {
  if (next_tick_ == Time() || now - next_tick_ <= kMaxTickDelay) {
    return;
  }
  log_.Write(LogLevel::kWarn, "loop_late",
             {{"late_ms", std::to_string(ToMilliseconds(now - next_tick_))},
              {"requests", std::to_string(calls_.size())}});
}

void RouterImpl::Leave(std::function<void()> on_stopped) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  leave_started_ = loop_.Now();
  on_stopped_ = std::move(on_stopped);
  log_.Write(LogLevel::kWarn, "stop_begins",
             {{"requests", std::to_string(calls_.size())}});
  server_->CloseAfterAnswers();
}

void RouterImpl::CheckStopped() {
  if (stopped_) {
    return;
  }
  const Duration elapsed = loop_.Now() - leave_started_;
  if (elapsed < kServeTimeAfterStop) {
    return;
  }
  // Has no effect after the first call.
  server_->StopAccepting();
  const bool out_of_time = elapsed >= settings_.stop_limit - kStopMargin;
  if (stop_timer_ != 0 || (!calls_.empty() && !out_of_time)) {
    return;
  }
  log_.Write(LogLevel::kWarn, "stop",
             {{"requests", std::to_string(calls_.size())},
              {"after_ms", std::to_string(ToMilliseconds(elapsed))}});
  stop_timer_ = loop_.RunAfter(kLastWritesDelay, [this] {
    stop_timer_ = 0;
    // A request that was read just before its connection was closed still runs.
    const Duration elapsed_now = loop_.Now() - leave_started_;
    if (calls_.empty() || elapsed_now >= settings_.stop_limit - kStopMargin) {
      stopped_ = true;
      on_stopped_();
    }
  });
}

nlohmann::json RouterImpl::DumpServices(Time now) const {
  nlohmann::json services = nlohmann::json::object();
  if (!fleet_.has_config()) {
    return services;
  }
  for (const auto& [name, service] : fleet_.table().config().services) {
    if (!service.engine) {
      continue;
    }
    const Fleet::ServiceEstimate estimate = fleet_.EstimateOf(name);
    services[name] = {
        {"prompt_token_ms", estimate.pace.prompt_token_ms},
        {"first_event_ms", estimate.pace.first_event_ms},
        {"estimate_age_ms",
         estimate.updated ? ToMilliseconds(now - *estimate.updated) : -1}};
  }
  return services;
}

nlohmann::json RouterImpl::DumpWorkspaces(Time now) const {
  nlohmann::json workspaces = nlohmann::json::object();
  for (const QuotaAccounts::Summary& summary : quotas_.Summaries(now)) {
    workspaces[summary.workspace] = {
        {"admitted", summary.counters.admitted},
        {"limited", summary.counters.limited},
        {"given_back", summary.counters.given_back},
        {"used", summary.use},
        {"rate_per_s", summary.limits.rate_per_s},
        {"level", summary.level},
        {"view_age_ms", ToMilliseconds(summary.view_age)}};
  }
  return workspaces;
}

nlohmann::json RouterImpl::Dump() const {
  const Time now = loop_.Now();
  const HttpServer::Counters http =
      server_ == nullptr ? HttpServer::Counters() : server_->counters();
  nlohmann::json servers = nlohmann::json::array();
  for (const BackendServer* server : fleet_.directory().All()) {
    nlohmann::json item = {{"id", server->id},
                           {"service", server->service},
                           {"address", FormatAddress(server->address)},
                           {"data_centre", server->data_centre},
                           {"leaving", server->leaving}};
    if (const EngineSnapshot* snapshot = links_.Snapshot(server->id, now)) {
      item["running"] = snapshot->running;
      item["queued"] = snapshot->queued;
      item["resident"] = snapshot->resident.size();
      item["free_places"] = snapshot->free_places;
      item["view_age_ms"] = ToMilliseconds(now - snapshot->received);
      item["other_requests"] = snapshot->other_requests;
      item["prompt_tokens"] =
          snapshot->other_prompt_tokens + links_.prompt_tokens(server->id);
      item["limits_prompts"] = snapshot->limits_prompts;
    }
    const auto health = fleet_.health().find(server->id);
    if (health != fleet_.health().end()) {
      item["error_share"] = health->second.error_share;
      item["avoided"] = IsAvoided(health->second, now);
    }
    servers.push_back(std::move(item));
  }
  return {
      {"instance", settings_.instance},
      {"services", DumpServices(now)},
      {"workspaces", DumpWorkspaces(now)},
      {"ready", ready()},
      {"config_version", fleet_.config_version()},
      {"config_age_s", ToSeconds(fleet_.ConfigAge(now))},
      {"backends_age_s", ToSeconds(fleet_.BackendsAge(now))},
      {"servers", servers},
      {"router",
       {{"counters",
         {{"store_calls", updates_.store_calls()},
          {"failed_store_calls", updates_.failed_store_calls()},
          {"upstream_connections", upstream_->counters().connections_opened},
          {"requests_refused_for_memory", http.refused_intake},
          {"answers_closed_unread", http.closed_unread},
          {"connections_closed_for_new", http.closed_for_new},
          {"stray_answers", upstream_->counters().stray_answers},
          {"dropped_log_lines", log_.dropped()},
          {"requests_in_progress", calls_.size()}}}}}};
}

}  // namespace

std::unique_ptr<Router> Router::Create(EventLoop& loop,
                                       MetricsRegistry& metrics,
                                       const RouterSettings& settings) {
  return std::make_unique<RouterImpl>(loop, metrics, settings);
}

}  // namespace amaranthcove
