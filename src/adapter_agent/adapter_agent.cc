#include "amaranthcove/adapter_agent/adapter_agent.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "amaranthcove/adapter_agent/adapter_plan.h"
#include "amaranthcove/adapter_agent/crash_recorder.h"
#include "amaranthcove/adapter_agent/demand_table.h"
#include "amaranthcove/adapter_agent/event_interval_estimator.h"
#include "amaranthcove/agent_link/datagram.h"
#include "amaranthcove/agent_link/lost_request_codec.h"
#include "amaranthcove/agent_link/place_codec.h"
#include "amaranthcove/agent_link/quota_codec.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/utf8.h"
#include "amaranthcove/log/event_log.h"
#include "amaranthcove/log/guarded.h"
#include "amaranthcove/net/udp.h"
#include "amaranthcove/net/upstream_client.h"
#include "amaranthcove/places/place_queue.h"
#include "amaranthcove/quota/quota_ledger.h"
#include "platform/engine_control.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// Intervals between polls of the engine. Polls are more frequent during loads,
// because requests wait for their end.
constexpr Duration kPollIntervalWhileLoading = milliseconds(10);
constexpr Duration kPollInterval = milliseconds(80);

// Timeout of calls to the engine, which is on the same host and answers within
// a few milliseconds.
constexpr Duration kCallTimeout = milliseconds(700);

// A crash is reported after this delay, in which several routers tell what they
// have lost, and repeated because datagrams may be lost.
constexpr Duration kCrashReportDelay = milliseconds(10);
// After a crash of many engines the evidence changes with each part that begins
// again, and each report goes to all routers.
constexpr Duration kMinCrashReportInterval = milliseconds(200);
constexpr Duration kCrashRepeatInterval = milliseconds(250);
constexpr Duration kCrashRepeatTime = std::chrono::seconds(5);

// Size limit of a response. A report lists each adapter and each run, with
// about 100 bytes each.
constexpr std::size_t kMaxResponseBytes = 1 << 20;

// Intervals between periodic statuses to the routers. They bound the age of the
// load that routers see, which changes less while no request uses the engine.
constexpr Duration kStatusInterval = milliseconds(250);
constexpr Duration kIdleStatusInterval = milliseconds(500);

// The longest wait of a prompt that counts.
constexpr Duration kMaxWaited = std::chrono::minutes(1);

// Prompts that wait longer are logged, at most once in the interval.
constexpr Duration kLoggedWait = milliseconds(200);
constexpr Duration kWaitingLogInterval = milliseconds(1000);

// Interval at which waiting prompts are checked while nothing else happens.
constexpr Duration kAdmissionInterval = milliseconds(20);

// Upper bound of the datagrams per second that tell routers of the growth of
// the engine's load. With more routers, each of them is told less often.
constexpr int kMaxLoadDatagramsPerSecond = 200;

// Interval at which routers are told of the quotas of workspaces that are near
// their limit. Otherwise the statuses carry the quotas.
constexpr Duration kQuotaInterval = milliseconds(100);

// An unload waits for the runs of its adapter. If the adapter is still resident
// after this time, an adapter to unload is chosen again.
constexpr Duration kUnloadRetryDelay = milliseconds(500);

// Initial estimate of the duration of a load.
constexpr double kInitialLoadMs = kUncontendedLoadMs;
// Weight of the latest load in the moving average of load durations.
constexpr double kLatestLoadWeight = 0.2;
// Time constant with which the estimate returns to its initial value.
constexpr double kLoadEstimateResetS = 3;
// Loads that take longer are considered failed and are not measured.
constexpr Duration kMaxLoadTime = std::chrono::seconds(10);

// Number of consecutive failed calls after which the engine is considered
// unreachable.
constexpr int kFailuresUntilUnreachable = 2;

// Pause of orders after the engine has fenced one off because of another
// holder: the length of a lease.
constexpr Duration kFencedPause = std::chrono::seconds(3);

// An agent is the only holder of its engine, so its fencing token grows only
// when an order was fenced off.
constexpr std::int64_t kFirstFencingToken = 1;
constexpr std::int64_t kFencingTokenStep = 1'000'000;

constexpr int kOk = 200;

// Converts adapters to the wire format. Adapters of models that the engine does
// not hold are left out, because they cannot serve requests.
std::vector<agent_wire::ResidentAdapter> ToWire(
    std::span<const std::string> models,
    std::span<const AdapterState> adapters) {
  std::vector<agent_wire::ResidentAdapter> result;
  result.reserve(adapters.size());
  for (const AdapterState& adapter : adapters) {
    const auto model = std::find(models.begin(), models.end(), adapter.model);
    if (model == models.end()) {
      continue;
    }
    agent_wire::ResidentAdapter item;
    item.model = static_cast<std::int16_t>(model - models.begin());
    item.adapter = adapter.adapter;
    item.version = adapter.version;
    result.push_back(std::move(item));
  }
  return result;
}

agent_wire::ServerCrash ToWire(const ServerCrash& crash, Time now) {
  agent_wire::ServerCrash wire;
  wire.id = static_cast<std::int64_t>(crash.id);
  wire.age_ms = ToMilliseconds(now - crash.at);
  for (const LostRequest& request : crash.requests) {
    wire.requests.push_back(EncodeLostRequest(request));
  }
  return wire;
}

RouterDemand FromWire(const agent_wire::AdapterDemand& wire) {
  RouterDemand demand;
  demand.incarnation = wire.incarnation;
  demand.sequence = wire.sequence;
  demand.prompt_tokens = wire.prompt_tokens;
  for (const agent_wire::WaitingPrompt& prompt : wire.prompts) {
    demand.prompts.push_back(
        {prompt.id,
         prompt.tokens,
         prompt.rank,
         milliseconds(std::clamp<std::int64_t>(prompt.waited_ms, 0,
                                               ToMilliseconds(kMaxWaited))),
         {static_cast<WorkspaceId>(prompt.workspace), prompt.weight}});
  }
  demand.sent_tokens = wire.sent_tokens;
  demand.sent_requests = wire.sent_requests;
  demand.pauses = {wire.long_pauses, wire.late_pauses};
  demand.service_has_late_pauses = wire.service_has_late_pauses;
  demand.prompt_limits = {wire.prompt_window, milliseconds(wire.gap_ms),
                          wire.batch_size};
  demand.capacity = {wire.adapter_places, wire.weights_mb};
  for (const agent_wire::BaseModel& model : wire.models) {
    demand.models.push_back({model.name, model.weights_mb});
  }
  for (const agent_wire::AdapterUse& use : wire.uses) {
    if (!IsUtf8(use.model) || !IsUtf8(use.adapter)) {
      continue;  // No engine can be ordered to load such a name.
    }
    WantedAdapter wanted;
    wanted.target = {use.model, use.adapter, use.version};
    wanted.waiting = use.waiting;
    wanted.running = use.running;
    wanted.rank = use.rank;
    demand.uses.push_back(std::move(wanted));
  }
  return demand;
}

std::string_view ActionName(AdapterOrder::Action action) {
  return action == AdapterOrder::Action::kLoad ? "load" : "unload";
}

std::string_view AnswerName(platform::OrderOutcome answer) {
  switch (answer) {
    case platform::OrderOutcome::kAccepted:
      return "accepted";
    case platform::OrderOutcome::kNoChangeNeeded:
      return "done";
    case platform::OrderOutcome::kConflict:
      return "conflict";
    case platform::OrderOutcome::kFenced:
      return "fenced";
    case platform::OrderOutcome::kImpossible:
      return "impossible";
  }
  return "unknown";
}

class AdapterAgentImpl final : public AdapterAgent {
 public:
  AdapterAgentImpl(EventLoop& loop, const AgentSettings& settings)
      : loop_(loop),
        settings_(settings),
        log_("adapter_agent", {}),
        incarnation_(NewIncarnation()),
        client_(UpstreamClient::Create(loop, {})) {}

  ~AdapterAgentImpl() override {
    loop_.Cancel(poll_timer_);
    loop_.Cancel(call_timeout_timer_);
    loop_.Cancel(status_timer_);
    loop_.Cancel(loads_timer_);
    loop_.Cancel(admission_timer_);
    loop_.Cancel(crashes_timer_);
    loop_.Cancel(quotas_timer_);
  }

  Status Start() override;
  bool ready() const override { return reachable_; }
  nlohmann::json Dump() const override;

 private:
  void OnDatagram(const Address& sender, std::string_view bytes);
  // Polls the engine after `delay`, or earlier if an earlier poll is scheduled.
  void PollAfter(Duration delay);
  void Poll();
  void Call(const HttpRequest& request,
            std::function<void(const HttpResponse*)> done);
  void OnReport(const HttpResponse* response);
  void OnEngineFailure();
  void OnNewReport(EngineReport report);
  void PlanNext();
  void SendOrder(const AdapterOrder& order);
  void OnOrderAnswer(const AdapterOrder& order, const HttpResponse* response);
  void MeasureLoads();
  PendingUnloads CurrentUnloads();
  Duration PollInterval() const;
  void SendStatus(const std::vector<Address>& routers);
  void SendStatusToAll();
  // Tells the routers soon that the engine's load has grown.
  void SendLoadsSoon();
  void SendLoads();
  void OnPlaceDemand(const Address& router, PlaceDemand demand);
  // Grants free places and tells the routers that got one, and `asking` in any
  // case.
  void GrantPlaces(std::set<PlaceQueue::Source> asking);
  // Tells the routers of the quotas often while a workspace is near its limit.
  void SendQuotasWhileNearLimit();
  void SendQuotas(const std::vector<Address>& routers);
  // Returns what `router` has to know of quotas, if anything.
  std::optional<agent_wire::QuotaViews> QuotasFor(const Address& router);
  // Logs what prompts wait for, if they have waited for long.
  void LogWaitingPrompts(Time now);
  // Admits waiting prompts and tells their routers.
  void SendAdmissions();
  void LogLimitChange();
  // Records what a router tells of crashes.
  void OnCrashReports(const agent_wire::AdapterDemand& demand);
  // Records a crash of the engine that sent the last report.
  void OnEngineCrash();
  // Tells all routers the crashes soon, and repeats that for some time.
  void SendCrashesSoon();
  // Tells all routers the crashes at `when`, unless that is due earlier.
  void SendCrashesAt(Time when);
  void SendCrashes(const std::vector<Address>& routers);
  agent_wire::EngineLoad MakeLoad(const RequestLoad& load);

  EventLoop& loop_;
  const AgentSettings settings_;
  EventLog log_;
  const Incarnation incarnation_;
  std::unique_ptr<UpstreamClient> client_;
  std::unique_ptr<UdpSocket> udp_;
  DemandTable demands_;
  PlaceQueue place_queue_;
  QuotaLedger quota_ledger_;
  std::int64_t quota_sequence_ = 0;
  CrashRecorder crash_recorder_;
  Time crashes_sent_;  // To all routers.
  Time crashes_due_;   // When `crashes_timer_` expires.
  Time crashes_sent_until_;
  std::optional<EngineReport> report_;
  EventIntervalEstimator event_interval_estimator_;
  bool reachable_ = false;
  int failures_ = 0;
  bool calling_ = false;
  std::int64_t fencing_token_ = kFirstFencingToken;
  Time no_orders_until_;
  // Pending unloads, and when an adapter may be chosen again instead of each.
  std::map<std::pair<std::string, std::string>, Time> unload_retry_times_;
  // When the loads in progress were ordered.
  std::map<std::pair<std::string, std::string>, Time> load_start_times_;
  // Estimate of the duration of a load, and when it was last updated.
  double load_ms_ = kInitialLoadMs;
  Time load_ms_updated_;
  std::int64_t status_sequence_ = 0;
  TimerId poll_timer_ = 0;
  Time poll_time_;  // When `poll_timer_` expires.
  TimerId call_timeout_timer_ = 0;
  TimerId status_timer_ = 0;
  TimerId loads_timer_ = 0;
  TimerId admission_timer_ = 0;
  TimerId crashes_timer_ = 0;
  TimerId quotas_timer_ = 0;
  Time loads_sent_;
  bool prompts_limited_ = false;
  Time waiting_logged_;
  std::uint64_t orders_ = 0;
  std::uint64_t reports_ = 0;
};

Status AdapterAgentImpl::Start() {
  auto udp = UdpSocket::Bind(
      loop_, settings_.agent_address,
      [this](const Address& sender, std::string_view bytes) {
        RunGuarded(log_, "datagram", [&] { OnDatagram(sender, bytes); });
      });
  if (!udp) {
    return tl::unexpected(udp.error());
  }
  udp_ = std::move(*udp);
  log_.SetNow(loop_.Now());
  log_.Write(LogLevel::kWarn, "start",
             {{"instance", settings_.instance},
              {"engine", FormatAddress(settings_.engine)}});
  Poll();
  SendStatusToAll();
  return {};
}

void AdapterAgentImpl::OnDatagram(const Address& sender,
                                  std::string_view bytes) {
  auto datagram = DecodeDatagram(bytes);
  if (datagram && datagram->__isset.place_demand) {
    OnPlaceDemand(sender, DecodePlaceDemand(datagram->place_demand));
    return;
  }
  if (!datagram || !datagram->__isset.demand) {
    log_.Write(LogLevel::kInfo, "datagram_refused",
               {{"sender", FormatAddress(sender)}});
    return;
  }
  const bool is_known_router =
      demands_.Knows(sender, datagram->demand.incarnation);
  const RequestLoad load_before = demands_.TotalLoad(loop_.Now());
  const bool is_new =
      demands_.Put(sender, FromWire(datagram->demand), loop_.Now());
  if (!is_new) {
    return;
  }
  OnCrashReports(datagram->demand);
  quota_ledger_.Put(sender, datagram->demand.incarnation,
                    DecodeQuotaReports(datagram->demand.quotas), loop_.Now());
  if (!is_known_router) {
    SendCrashes({sender});
    SendQuotas({sender});
  }
  SendQuotasWhileNearLimit();
  const RequestLoad load = demands_.TotalLoad(loop_.Now());
  // A single prompt delays nobody.
  if (load_before.prompt_tokens > 0 &&
      load.prompt_tokens > load_before.prompt_tokens) {
    SendLoadsSoon();
  }
  LogLimitChange();
  if (demands_.has_waiting_prompts()) {
    SendAdmissions();
  }
  if (report_ && demands_.capacity().adapter_places > 0 && !calling_) {
    PlanNext();
  }
}

void AdapterAgentImpl::PollAfter(Duration delay) {
  const Time when = loop_.Now() + delay;
  // Demands arrive more often than the engine is polled, so they must not
  // postpone a scheduled poll.
  if (poll_timer_ != 0 && poll_time_ <= when) {
    return;
  }
  loop_.Cancel(poll_timer_);
  poll_time_ = when;
  poll_timer_ = loop_.RunAt(when, [this] {
    poll_timer_ = 0;
    Poll();
  });
}

void AdapterAgentImpl::Poll() {
  log_.SetNow(loop_.Now());
  demands_.Expire(loop_.Now());
  quota_ledger_.Expire(loop_.Now());
  if (!place_queue_.empty()) {
    place_queue_.Expire(loop_.Now());
    GrantPlaces({});
  }
  if (calling_) {
    return;
  }
  ++reports_;
  Call(platform::ReportRequest(),
       [this](const HttpResponse* response) { OnReport(response); });
}

// Sends `request` to the engine. `done` receives the response, or null if the
// engine did not answer in time. Precondition: no other call is in progress.
void AdapterAgentImpl::Call(const HttpRequest& request,
                            std::function<void(const HttpResponse*)> done) {
  calling_ = true;
  auto finish = std::make_shared<std::function<void(const HttpResponse*)>>(
      [this, done = std::move(done)](const HttpResponse* result) {
        calling_ = false;
        loop_.Cancel(std::exchange(call_timeout_timer_, 0));
        if (!RunGuarded(log_, "engine_answer", [&] { done(result); })) {
          PollAfter(kPollInterval);
        }
      });
  const UpstreamCallId call = client_->Fetch(
      settings_.engine, request, kMaxResponseBytes,
      [finish](UpstreamEnd end, const HttpResponse& response) {
        (*finish)(end == UpstreamEnd::kComplete ? &response : nullptr);
      });
  call_timeout_timer_ = loop_.RunAfter(kCallTimeout, [this, call, finish] {
    call_timeout_timer_ = 0;
    client_->Cancel(call);
    (*finish)(nullptr);
  });
}

void AdapterAgentImpl::OnReport(const HttpResponse* response) {
  if (response == nullptr || response->status != kOk) {
    OnEngineFailure();
    return;
  }
  auto report = platform::DecodeReport(response->body);
  if (!report) {
    log_.Write(LogLevel::kWarn, "report_refused",
               {{"reason", report.error().message}});
    OnEngineFailure();
    return;
  }
  OnNewReport(std::move(*report));
}

void AdapterAgentImpl::OnEngineFailure() {
  ++failures_;
  if (failures_ == kFailuresUntilUnreachable && reachable_) {
    reachable_ = false;
    OnEngineCrash();
    report_.reset();
    log_.Write(LogLevel::kWarn, "engine_lost",
               {{"engine", FormatAddress(settings_.engine)}});
    SendStatus(demands_.Routers());
  }
  PollAfter(kPollInterval);
}

void AdapterAgentImpl::OnNewReport(EngineReport report) {
  failures_ = 0;
  const bool regained = !reachable_;
  if (regained) {
    reachable_ = true;
    log_.Write(LogLevel::kWarn, "engine_regained",
               {{"started_at_ms", std::to_string(report.started_at_ms)},
                {"models", std::to_string(report.models.size())},
                {"adapters", std::to_string(report.resident.size())}});
  }
  if (report_ && report_->started_at_ms != report.started_at_ms) {
    OnEngineCrash();
  }
  const bool changed = !report_ || report_->resident != report.resident ||
                       report_->models != report.models;
  event_interval_estimator_.Observe(report, loop_.Now());
  report_ = std::move(report);
  MeasureLoads();
  if (regained) {
    SendStatus(demands_.Routers());
  } else if (changed) {
    SendStatus(demands_.WaitingRouters());
  }
  PlanNext();
}

void AdapterAgentImpl::MeasureLoads() {
  for (const AdapterState& adapter : report_->resident) {
    const auto started =
        load_start_times_.find({adapter.model, adapter.adapter});
    if (started == load_start_times_.end()) {
      continue;
    }
    const double took_ms =
        static_cast<double>(ToMilliseconds(loop_.Now() - started->second));
    // Shorter loads came from the engine's own memory; their duration does not
    // depend on the weight store.
    if (took_ms > kUncontendedLoadMs / 2) {
      load_ms_ += kLatestLoadWeight * (took_ms - load_ms_);
    }
    load_start_times_.erase(started);
  }
  // The recovery of an engine shows only in its loads, and a high estimate
  // keeps loads away from it, so the estimate returns to its initial value over
  // time.
  load_ms_ += (kInitialLoadMs - load_ms_) *
              std::min(1.0, ToSeconds(loop_.Now() - load_ms_updated_) /
                                kLoadEstimateResetS);
  load_ms_updated_ = loop_.Now();
  std::erase_if(load_start_times_, [this](const auto& item) {
    return loop_.Now() - item.second > kMaxLoadTime;
  });
}

PendingUnloads AdapterAgentImpl::CurrentUnloads() {
  std::erase_if(unload_retry_times_, [this](const auto& item) {
    return loop_.Now() >= item.second;
  });
  PendingUnloads result;
  for (const AdapterState& adapter : report_->resident) {
    std::pair key(adapter.model, adapter.adapter);
    if (unload_retry_times_.contains(key)) {
      result.insert(std::move(key));
    }
  }
  return result;
}

Duration AdapterAgentImpl::PollInterval() const {
  const bool loading =
      report_ && (!report_->loading.empty() || !unload_retry_times_.empty());
  return loading ? kPollIntervalWhileLoading : kPollInterval;
}

void AdapterAgentImpl::PlanNext() {
  const std::vector<WantedAdapter> wanted = demands_.Wanted();
  if (!report_ || loop_.Now() < no_orders_until_) {
    PollAfter(kPollInterval);
    return;
  }
  const std::optional<AdapterOrder> order = NextOrder(
      *report_, demands_.capacity(), demands_.models(), wanted,
      demands_.last_uses(), CurrentUnloads(), ConcurrentLoadLimit(load_ms_));
  if (order) {
    SendOrder(*order);
    return;
  }
  PollAfter(PollInterval());
}

void AdapterAgentImpl::SendOrder(const AdapterOrder& order) {
  ++orders_;
  loop_.Cancel(std::exchange(poll_timer_, 0));
  Call(platform::OrderRequest(order, settings_.instance, fencing_token_,
                              report_->orders),
       [this, order](const HttpResponse* response) {
         OnOrderAnswer(order, response);
       });
}

void AdapterAgentImpl::OnOrderAnswer(const AdapterOrder& order,
                                     const HttpResponse* response) {
  if (response == nullptr) {
    // The engine may have accepted the order; the next report shows its state.
    log_.Write(LogLevel::kWarn, "order_unanswered",
               {{"action", std::string(ActionName(order.action))},
                {"adapter", order.target.adapter}});
    OnEngineFailure();
    return;
  }
  const platform::OrderOutcome answer =
      platform::DecodeOrderStatus(response->status);
  log_.Write(
      LogLevel::kInfo, "order",
      {{"action", std::string(ActionName(order.action))},
       {"resident", std::to_string(report_->resident.size())},
       {"loading", std::to_string(report_->loading.size())},
       {"needed", std::to_string(NeededPlaces(*report_, demands_.Wanted()))},
       {"free", std::to_string(FreePlaces(*report_, demands_.capacity(),
                                          demands_.Wanted()))},
       {"running", std::to_string(report_->running)},
       {"load_ms", std::to_string(static_cast<int>(load_ms_))},
       {"model", order.target.model},
       {"adapter", order.target.adapter},
       {"version", std::to_string(order.target.version)},
       {"answer", std::string(AnswerName(answer))}});
  if (answer == platform::OrderOutcome::kFenced) {
    fencing_token_ += kFencingTokenStep;
    no_orders_until_ = loop_.Now() + kFencedPause;
  }
  if (order.action == AdapterOrder::Action::kUnload &&
      answer != platform::OrderOutcome::kNoChangeNeeded) {
    unload_retry_times_[{order.target.model, order.target.adapter}] =
        loop_.Now() + kUnloadRetryDelay;
  }
  if (order.action == AdapterOrder::Action::kLoad &&
      answer == platform::OrderOutcome::kAccepted &&
      !order.target.adapter.empty()) {
    load_start_times_[{order.target.model, order.target.adapter}] = loop_.Now();
  }
  const bool refused = answer == platform::OrderOutcome::kImpossible ||
                       answer == platform::OrderOutcome::kConflict;
  if (refused) {
    // The next report shows what prevented the order.
    PollAfter(kPollIntervalWhileLoading);
    return;
  }
  Poll();
}

void AdapterAgentImpl::SendStatusToAll() {
  SendStatus(demands_.Routers());
  const bool idle = demands_.Wanted().empty() &&
                    (!report_ || report_->running + report_->queued == 0);
  status_timer_ = loop_.RunAfter(idle ? kIdleStatusInterval : kStatusInterval,
                                 [this] { SendStatusToAll(); });
}

void AdapterAgentImpl::SendStatus(const std::vector<Address>& routers) {
  if (routers.empty()) {
    return;
  }
  agent_wire::EngineStatus status;
  status.sequence = ++status_sequence_;
  status.incarnation = incarnation_;
  status.reachable = reachable_;
  status.started_at_ms = report_ ? report_->started_at_ms : 0;
  status.routers = static_cast<std::int32_t>(demands_.Routers().size());
  if (report_) {
    status.models = report_->models;
    status.resident = ToWire(report_->models, report_->resident);
    status.loading = ToWire(report_->models, report_->loading);
    status.running = report_->running;
    status.queued = report_->queued;
    status.free_places =
        FreePlaces(*report_, demands_.capacity(), demands_.Wanted());
    status.load_wait_ms = static_cast<std::int32_t>(
        LoadWaitMs(*report_, demands_.Wanted(), load_ms_));
    status.event_interval_ms = static_cast<std::int32_t>(
        event_interval_estimator_.EventIntervalMs(loop_.Now()));
  }
  agent_wire::AgentDatagram datagram;
  datagram.__set_status(status);
  for (const LoadOfOthers& others : demands_.LoadsOfOthers(loop_.Now())) {
    if (std::find(routers.begin(), routers.end(), others.router) ==
        routers.end()) {
      continue;
    }
    datagram.__set_load(MakeLoad(others.load));
    datagram.__isset.quotas = false;
    if (const auto quotas = QuotasFor(others.router)) {
      datagram.__set_quotas(*quotas);
    }
    udp_->Send(others.router, EncodeDatagram(datagram));
  }
}

std::optional<agent_wire::QuotaViews> AdapterAgentImpl::QuotasFor(
    const Address& router) {
  const std::vector<LedgerView> views =
      quota_ledger_.ViewsFor(router, loop_.Now());
  if (views.empty()) {
    return std::nullopt;
  }
  agent_wire::QuotaViews wire;
  wire.incarnation = incarnation_;
  wire.sequence = ++quota_sequence_;
  wire.views = EncodeLedgerViews(views);
  return wire;
}

void AdapterAgentImpl::OnPlaceDemand(const Address& router,
                                     PlaceDemand demand) {
  const PlaceQueue::Source source(router, demand.service);
  const bool asks = !demand.asks.empty();
  if (!place_queue_.Put(router, std::move(demand), loop_.Now())) {
    return;
  }
  GrantPlaces(asks ? std::set<PlaceQueue::Source>{source}
                   : std::set<PlaceQueue::Source>{});
}

void AdapterAgentImpl::GrantPlaces(std::set<PlaceQueue::Source> asking) {
  asking.merge(place_queue_.Grant(loop_.Now()));
  for (const PlaceQueue::Source& source : asking) {
    agent_wire::PlaceGrants grants;
    grants.service_hash = static_cast<std::int64_t>(source.second);
    grants.sequence = place_queue_.SequenceOf(source);
    grants.grants = EncodePlaceUses(place_queue_.GrantsOf(source));
    for (const PlaceWait& wait : place_queue_.WaitsOf(source, loop_.Now())) {
      agent_wire::PlaceWait item;
      item.id = wait.id;
      item.ahead = wait.ahead;
      grants.waits.push_back(item);
    }
    agent_wire::AgentDatagram datagram;
    datagram.__set_place_grants(grants);
    udp_->Send(source.first, EncodeDatagram(datagram));
  }
}

void AdapterAgentImpl::SendQuotas(const std::vector<Address>& routers) {
  for (const Address& router : routers) {
    agent_wire::AgentDatagram datagram;
    if (const auto quotas = QuotasFor(router)) {
      datagram.__set_quotas(*quotas);
      udp_->Send(router, EncodeDatagram(datagram));
    }
  }
}

void AdapterAgentImpl::SendQuotasWhileNearLimit() {
  if (quotas_timer_ != 0 || !quota_ledger_.IsNearLimit(loop_.Now())) {
    return;
  }
  quotas_timer_ = loop_.RunAfter(kQuotaInterval, [this] {
    quotas_timer_ = 0;
    SendQuotas(demands_.Routers());
    SendQuotasWhileNearLimit();
  });
}

agent_wire::EngineLoad AdapterAgentImpl::MakeLoad(const RequestLoad& load) {
  agent_wire::EngineLoad wire;
  wire.sequence = status_sequence_;
  wire.incarnation = incarnation_;
  wire.requests = load.requests;
  wire.waiting = load.waiting;
  wire.waiting_for_loads = load.waiting_for_loads;
  wire.arrivals_per_s = load.arrivals_per_s;
  wire.prompt_tokens = load.prompt_tokens;
  wire.unread_tokens = load.unread_tokens;
  wire.limits_prompts = demands_.Limits(loop_.Now()).window_tokens > 0;
  return wire;
}

void AdapterAgentImpl::LogLimitChange() {
  const PromptLimits limits = demands_.Limits(loop_.Now());
  const bool limited = limits.window_tokens > 0;
  if (limited == prompts_limited_) {
    return;
  }
  prompts_limited_ = limited;
  log_.Write(LogLevel::kWarn, "prompt_limit_changed",
             {{"limited", limited ? "1" : "0"},
              {"window_tokens", std::to_string(limits.window_tokens)},
              {"gap_ms", std::to_string(ToMilliseconds(limits.gap))},
              {"batch_size", std::to_string(limits.batch_size)}});
}

void AdapterAgentImpl::OnCrashReports(const agent_wire::AdapterDemand& demand) {
  const Time now = loop_.Now();
  bool changed = false;
  for (const agent_wire::LostRequest& item : demand.lost) {
    changed = crash_recorder_.OnLost(DecodeLostRequest(item), now) || changed;
  }
  for (const agent_wire::PlainServerCrash& item : demand.plain_crashes) {
    changed =
        crash_recorder_.OnPlainCrash(static_cast<std::uint64_t>(item.id),
                                     DecodeLostRequest(item.request), now) ||
        changed;
  }
  for (const std::int64_t part : demand.begun_parts) {
    changed = crash_recorder_.OnSound(static_cast<PartId>(part)) || changed;
  }
  if (changed) {
    SendCrashesSoon();
  }
}

void AdapterAgentImpl::OnEngineCrash() {
  if (report_ &&
      crash_recorder_.OnCrash(CrashId(settings_.engine, report_->started_at_ms),
                              loop_.Now())) {
    SendCrashesSoon();
  }
}

void AdapterAgentImpl::SendCrashesSoon() {
  const Time now = loop_.Now();
  crashes_sent_until_ = now + kCrashRepeatTime;
  SendCrashesAt(std::max(now + kCrashReportDelay,
                         crashes_sent_ + kMinCrashReportInterval));
}

void AdapterAgentImpl::SendCrashesAt(Time when) {
  // Frequent changes must not postpone a report.
  if (crashes_timer_ != 0 && crashes_due_ <= when) {
    return;
  }
  loop_.Cancel(crashes_timer_);
  crashes_due_ = when;
  crashes_timer_ = loop_.RunAt(when, [this] {
    crashes_timer_ = 0;
    crashes_sent_ = loop_.Now();
    SendCrashes(demands_.Routers());
  });
}

void AdapterAgentImpl::SendCrashes(const std::vector<Address>& routers) {
  const Time now = loop_.Now();
  agent_wire::AgentDatagram datagram;
  agent_wire::CrashReport report;
  for (const ServerCrash& crash : crash_recorder_.Crashes(now)) {
    report.crashes.push_back(ToWire(crash, now));
  }
  if (report.crashes.empty()) {
    return;
  }
  datagram.__set_crash_report(report);
  const std::string bytes = EncodeDatagram(datagram);
  for (const Address& router : routers) {
    udp_->Send(router, bytes);
  }
  if (now < crashes_sent_until_) {
    SendCrashesAt(now + kCrashRepeatInterval);
  }
}

void AdapterAgentImpl::LogWaitingPrompts(Time now) {
  if (now - waiting_logged_ < kWaitingLogInterval) {
    return;
  }
  const DemandTable::AdmissionState state = demands_.DescribeAdmission(now);
  if (state.longest_wait < kLoggedWait) {
    return;
  }
  waiting_logged_ = now;
  log_.Write(
      LogLevel::kInfo, "prompts_waiting",
      {{"prompts", std::to_string(state.waiting)},
       {"longest_ms", std::to_string(ToMilliseconds(state.longest_wait))},
       {"unread_tokens", std::to_string(state.unread_tokens)},
       {"recent_tokens", std::to_string(state.recent_tokens)},
       {"window_tokens", std::to_string(state.limits.window_tokens)},
       {"requests", std::to_string(state.requests)},
       {"batch_size", std::to_string(state.limits.batch_size)}});
}

void AdapterAgentImpl::SendAdmissions() {
  const auto admitted = demands_.AdmitPrompts(loop_.Now());
  LogWaitingPrompts(loop_.Now());
  if (demands_.has_waiting_prompts() && admission_timer_ == 0) {
    admission_timer_ = loop_.RunAfter(kAdmissionInterval, [this] {
      admission_timer_ = 0;
      SendAdmissions();
    });
  }
  if (admitted.empty()) {
    return;
  }
  ++status_sequence_;
  for (const LoadOfOthers& others : demands_.LoadsOfOthers(loop_.Now())) {
    const auto found = admitted.find(others.router);
    if (found == admitted.end()) {
      continue;
    }
    agent_wire::AgentDatagram datagram;
    agent_wire::EngineLoad load = MakeLoad(others.load);
    load.admitted = found->second;
    datagram.__set_load(load);
    udp_->Send(others.router, EncodeDatagram(datagram));
  }
}

void AdapterAgentImpl::SendLoadsSoon() {
  if (loads_timer_ != 0) {
    return;
  }
  const Duration interval =
      std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) *
      demands_.Routers().size() / kMaxLoadDatagramsPerSecond;
  loads_timer_ =
      loop_.RunAt(std::max(loop_.Now(), loads_sent_ + interval), [this] {
        loads_timer_ = 0;
        SendLoads();
      });
}

void AdapterAgentImpl::SendLoads() {
  loads_sent_ = loop_.Now();
  ++status_sequence_;
  for (const LoadOfOthers& others : demands_.LoadsOfOthers(loop_.Now())) {
    agent_wire::AgentDatagram datagram;
    datagram.__set_load(MakeLoad(others.load));
    udp_->Send(others.router, EncodeDatagram(datagram));
  }
}

nlohmann::json AdapterAgentImpl::Dump() const {
  nlohmann::json dump = {{"instance", settings_.instance},
                         {"engine", FormatAddress(settings_.engine)},
                         {"reachable", reachable_},
                         {"adapter_agent",
                          {{"counters",
                            {{"orders", orders_},
                             {"reports", reports_},
                             {"dropped_log_lines", log_.dropped()},
                             {"routers", demands_.Routers().size()},
                             {"quota_ledgers", quota_ledger_.size()},
                             {"waiting_calls", place_queue_.waiting()},
                             {"calls_with_places", place_queue_.in_use()}}}}}};
  if (report_) {
    dump["resident"] = report_->resident.size();
    dump["loading"] = report_->loading.size();
    dump["running"] = report_->running;
    dump["queued"] = report_->queued;
    dump["prompts_limited"] = prompts_limited_;
  }
  return dump;
}

}  // namespace

std::unique_ptr<AdapterAgent> AdapterAgent::Create(
    EventLoop& loop,
    const AgentSettings& settings) {
  return std::make_unique<AdapterAgentImpl>(loop, settings);
}

}  // namespace amaranthcove
