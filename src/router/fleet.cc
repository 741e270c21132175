#include "src/router/fleet.h"

#include <algorithm>
#include <span>
#include <utility>

#include "amaranthcove/base/hash.h"
#include "amaranthcove/engine_cost/stream_pause.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// Bounds the times of sends and waits that are kept per server.
constexpr std::size_t kMaxRecentSends = 256;

// Upper bound of the number of routers that are assumed to send as much as this
// one between two statuses of an agent.
constexpr int kMaxCountedRouters = 16;

// With fewer places of a plain service for each router, what a router sees of
// them says little about the others.
constexpr std::size_t kPlacesPerRouter = 2;

// A server has one call more than it runs for so many slots, so that a slot
// does not stand empty while the next call is on its way.
constexpr int kSlotsPerQueuedCall = 6;

// The latest service time has one part of so many in the moving average.
constexpr int kServiceTimeWeightDivisor = 16;

// Time from a send of another router until its agent's report arrives, beside
// the age of the report.
constexpr Duration kReportDelay = milliseconds(20);

int CountSince(std::span<const Time> times, Time since) {
  return static_cast<int>(std::count_if(
      times.begin(), times.end(), [since](Time at) { return at >= since; }));
}

void AddBounded(std::vector<Time>& times, Time now) {
  if (times.size() >= kMaxRecentSends) {
    times.erase(times.begin(), times.begin() + kMaxRecentSends / 2);
  }
  times.push_back(now);
}

agent_wire::AdapterDemand MakeBaseDemand(const EngineSpec& spec) {
  agent_wire::AdapterDemand demand;
  demand.adapter_places = spec.adapter_places;
  demand.weights_mb = spec.weights_mb;
  demand.batch_size = spec.batch_size;
  for (const ModelSpec& model : spec.models) {
    agent_wire::BaseModel item;
    item.name = model.name;
    item.weights_mb = model.weights_mb;
    demand.models.push_back(std::move(item));
  }
  return demand;
}

AdapterName NameOf(const RequestInfo& info) {
  return {info.model, info.adapter};
}

AdapterPlace FindAdapterPlace(const EngineSnapshot& snapshot,
                              const RequestInfo& info,
                              std::int64_t min_version) {
  if (info.adapter.empty()) {
    return AdapterPlace::kResident;
  }
  const auto resident = snapshot.resident.find(NameOf(info));
  if (resident != snapshot.resident.end() && resident->second >= min_version) {
    return AdapterPlace::kResident;
  }
  const auto loading = snapshot.loading.find(NameOf(info));
  if (loading != snapshot.loading.end() && loading->second >= min_version) {
    return AdapterPlace::kLoading;
  }
  return AdapterPlace::kAbsent;
}

}  // namespace

bool Fleet::SetConfig(RoutingConfig config) {
  if (table_ && table_->config().version >= config.version) {
    return false;
  }
  table_.emplace(std::move(config));
  UpdateEndpoints();
  return true;
}

void Fleet::UpdateEndpoints() {
  if (!table_) {
    return;
  }
  std::vector<AgentEndpoint> endpoints;
  for (const BackendServer* server : directory_.All()) {
    const ServiceSpec* service = table_->FindService(server->service);
    if (service == nullptr || !service->engine) {
      continue;
    }
    endpoints.push_back({server->id,
                         {server->address.ip, options_.agent_port},
                         MakeBaseDemand(*service->engine),
                         server->started_at_ms});
  }
  links_.SetEndpoints(std::move(endpoints));
  const auto is_known = [this](const auto& item) {
    return directory_.Find(item.first) != nullptr;
  };
  std::erase_if(health_, [&](const auto& item) { return !is_known(item); });
  std::erase_if(pauses_, [&](const auto& item) { return !is_known(item); });
  std::erase_if(activity_, [&](const auto& item) {
    return item.second.in_flight == 0 && !is_known(item);
  });
}

void Fleet::DeclareVersion(const AdapterName& adapter, std::int64_t version) {
  std::int64_t& known = versions_[adapter];
  known = std::max(known, version);
}

std::int64_t Fleet::MinVersion(const AdapterName& adapter) const {
  const auto version = versions_.find(adapter);
  return version == versions_.end() ? 0 : version->second;
}

std::optional<std::int64_t> Fleet::RequiredVersion(
    const RequestInfo& info) const {
  const std::int64_t version =
      info.adapter.empty() ? 0 : MinVersion(NameOf(info));
  return version > 0 ? std::optional(version) : std::nullopt;
}

EngineCandidate Fleet::MakeCandidate(const BackendServer& server,
                                     const RequestInfo& info,
                                     const EnginePace& pace,
                                     const std::set<std::string>& tried,
                                     Time now) const {
  EngineCandidate candidate;
  candidate.id = server.id;
  candidate.same_data_centre = server.data_centre == options_.data_centre;
  candidate.batch_size = server.slots;
  candidate.tried = tried.contains(server.id);
  const auto health = health_.find(server.id);
  candidate.avoided = health != health_.end() && IsAvoided(health->second, now);
  const EngineSnapshot* snapshot = links_.Snapshot(server.id, now);
  if (snapshot == nullptr) {
    candidate.place = AdapterPlace::kUnknown;
    const auto activity = activity_.find(server.id);
    candidate.running =
        activity == activity_.end() ? 0 : activity->second.in_flight;
    return candidate;
  }
  candidate.avoided = candidate.avoided || !snapshot->reachable;
  candidate.place = FindAdapterPlace(*snapshot, info, MinVersion(NameOf(info)));
  candidate.held = links_.HasHeld(server.id, NameOf(info));
  candidate.has_model =
      std::find(snapshot->models.begin(), snapshot->models.end(), info.model) !=
      snapshot->models.end();
  candidate.running = snapshot->running;
  candidate.queued = snapshot->queued;
  candidate.free_places = snapshot->free_places;
  candidate.load_wait_ms = snapshot->load_wait_ms;
  const auto activity = activity_.find(server.id);
  if (snapshot->load_received) {
    candidate.requests = snapshot->other_requests;
    candidate.waiting_prompts =
        snapshot->other_waiting_prompts + links_.waiting_prompts(server.id);
    candidate.waiting_for_loads =
        snapshot->other_waiting_for_loads + links_.waiting_for_loads(server.id);
    const Duration age = now - *snapshot->load_received;
    candidate.expected_arrivals =
        snapshot->other_arrivals_per_s * ToSeconds(age + kReportDelay);
    candidate.unread_prompt_tokens =
        TokensLeft(static_cast<double>(snapshot->other_prompt_tokens), pace,
                   age) +
        static_cast<double>(links_.prompt_tokens(server.id));
    candidate.limits_prompts = snapshot->limits_prompts;
  }
  if (activity != activity_.end()) {
    if (candidate.requests) {
      *candidate.requests += activity->second.in_flight;
    }
    const int routers = std::clamp(snapshot->routers, 1, kMaxCountedRouters);
    candidate.recent_sends =
        routers * CountSince(activity->second.recent_sends, snapshot->received);
    candidate.recent_waits =
        routers * CountSince(activity->second.recent_waits, snapshot->received);
  }
  return candidate;
}

double Fleet::EventIntervalMs(const BackendServer& server, Time now) const {
  const EngineSnapshot* snapshot = links_.Snapshot(server.id, now);
  return snapshot == nullptr ? 0 : snapshot->event_interval_ms;
}

std::optional<Placement> Fleet::PlaceGeneration(
    std::string_view service,
    const RequestInfo& info,
    const RequestGoal& goal,
    const std::set<std::string>& tried,
    Time now) const {
  const std::vector<const BackendServer*> servers =
      ServersTakingWork(service, now);
  std::vector<double> intervals_ms;
  intervals_ms.reserve(servers.size());
  for (const BackendServer* server : servers) {
    intervals_ms.push_back(EventIntervalMs(*server, now));
  }
  std::vector<double> reordered = intervals_ms;
  const double median_interval_ms = MedianIntervalMs(reordered);
  const auto estimator = paces_.find(service);
  const EnginePace pace = estimator == paces_.end()
                              ? kPriorPace
                              : estimator->second.Pace(median_interval_ms);
  std::vector<EngineCandidate> candidates;
  std::vector<std::string> addresses;
  for (const BackendServer* server : servers) {
    candidates.push_back(MakeCandidate(*server, info, pace, tried, now));
    candidates.back().jitter = UnitHash(server->id, Hash64(info.attempt_id));
    // The affinity depends on the address because an engine keeps its copies of
    // adapters over a restart, which may change its id.
    addresses.push_back(FormatAddress(server->address));
  }
  const std::vector<std::string_view> names(addresses.begin(), addresses.end());
  std::vector<std::size_t> ranks(names.size());
  const std::string prefix =
      info.prompt_parts.size() < 2 ? std::string() : info.prompt_parts.front();
  RankByAffinity(info.adapter.empty() ? prefix : info.adapter, names, ranks);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].affinity_rank = ranks[i];
    candidates[i].slowness = Slowness(intervals_ms[i], median_interval_ms);
  }
  const std::optional<std::size_t> best = ChooseEngine(candidates, pace, goal);
  if (!best) {
    return std::nullopt;
  }
  const EngineCandidate& chosen = candidates[*best];
  Placement placement;
  placement.server = *servers[*best];
  placement.place = chosen.place;
  placement.expected_delay_ms =
      ExpectedDelayMs(chosen, pace, goal.prompt_tokens);
  links_.SetPromptWindow(placement.server.id,
                         {PromptWindow(pace, chosen.slowness, goal),
                          milliseconds(static_cast<int>(goal.target_gap_ms))});
  placement.candidates = candidates.size();
  placement.running = chosen.running + chosen.recent_sends;
  placement.queued = chosen.queued;
  placement.slowness = chosen.slowness;
  placement.pace = pace;
  if (const EngineSnapshot* snapshot =
          links_.Snapshot(placement.server.id, now)) {
    placement.view_age_ms = ToMilliseconds(now - snapshot->received);
  }
  return placement;
}

bool Fleet::NeedsAdmission(const Placement& placement,
                           const RequestInfo& info,
                           const RequestGoal& goal,
                           Time now) const {
  EngineCandidate candidate =
      MakeCandidate(placement.server, info, placement.pace, {}, now);
  candidate.slowness = placement.slowness;
  return amaranthcove::NeedsAdmission(candidate, placement.pace, goal);
}

void Fleet::RecordFirstEvent(const Placement& placement,
                             std::int64_t tokens,
                             Duration first_event,
                             Time now) {
  paces_[placement.server.service].Observe(static_cast<double>(tokens),
                                           ToSeconds(first_event) * 1000,
                                           placement.slowness, now);
}

void Fleet::RecordRequestTime(const Placement& placement,
                              Duration taken,
                              Time now) {
  paces_[placement.server.service].ObserveEnd(ToSeconds(taken) * 1000,
                                              placement.slowness, now);
}

void Fleet::RecordPause(const BackendServer& engine,
                        Duration pause,
                        Duration limit,
                        Time now) {
  const StreamPause kind = ClassifyPause(pause, limit);
  if (kind == StreamPause::kUsual) {
    return;
  }
  links_.AddLongPause(engine.id, kind == StreamPause::kLate);
  PauseMonitor& monitor = late_pauses_[engine.service];
  monitor.Observe(pause, limit, now);
  for (const BackendServer* server : directory_.Serving(engine.service)) {
    links_.SetLatePauses(server->id, monitor.has_late_pauses(), now);
  }
}

std::optional<std::int64_t> Fleet::UnreadTokens(std::string_view engine,
                                                Time now) const {
  const EngineSnapshot* snapshot = links_.Snapshot(engine, now);
  if (snapshot == nullptr || !snapshot->load_received) {
    return std::nullopt;
  }
  return snapshot->other_unread_tokens + links_.unread_tokens(engine);
}

Fleet::ServiceEstimate Fleet::EstimateOf(const std::string& service) const {
  ServiceEstimate estimate;
  const auto pace = paces_.find(service);
  if (pace != paces_.end()) {
    estimate.pace = pace->second.Pace(0);
    estimate.updated = pace->second.updated();
  }
  return estimate;
}

std::vector<PlainCandidate> Fleet::PlainCandidates(
    std::span<const BackendServer* const> servers,
    const std::set<std::string>& tried,
    std::uint64_t random,
    Time now) const {
  std::vector<PlainCandidate> candidates;
  for (const BackendServer* server : servers) {
    PlainCandidate candidate;
    candidate.id = server->id;
    candidate.same_data_centre = server->data_centre == options_.data_centre;
    candidate.tried = tried.contains(server->id);
    candidate.slots = server->slots;
    candidate.tie_break = Hash64(server->id, random);
    const auto health = health_.find(server->id);
    if (health != health_.end()) {
      candidate.avoided = IsAvoided(health->second, now);
      candidate.error_share = health->second.error_share;
    }
    const auto activity = activity_.find(server->id);
    if (activity != activity_.end()) {
      candidate.in_flight = activity->second.in_flight;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

std::optional<Placement> Fleet::PlacePlain(std::string_view service,
                                           const std::set<std::string>& tried,
                                           std::uint64_t random,
                                           Time now) const {
  const std::vector<const BackendServer*> servers =
      ServersTakingWork(service, now);
  const std::vector<PlainCandidate> candidates =
      PlainCandidates(servers, tried, random, now);
  const std::optional<std::size_t> best = ChoosePlainServer(candidates);
  if (!best) {
    return std::nullopt;
  }
  Placement placement;
  placement.server = *servers[*best];
  placement.candidates = candidates.size();
  return placement;
}

std::vector<PlaceOption> Fleet::PlainOptions(std::string_view service,
                                             const std::set<std::string>& tried,
                                             Time now) const {
  const std::vector<const BackendServer*> servers =
      ServersTakingWork(service, now);
  const std::vector<PlainCandidate> candidates =
      PlainCandidates(servers, tried, 0, now);
  std::vector<PlaceOption> options;
  for (const std::size_t i : UsablePlainServers(candidates)) {
    const int slots = std::max(candidates[i].slots, 1);
    options.push_back({HashOfServer(candidates[i].id),
                       slots + std::max(slots / kSlotsPerQueuedCall, 1),
                       PlainPenalty(candidates[i])});
  }
  return options;
}

std::optional<Placement> Fleet::PlaceAt(std::string_view service,
                                        ServerHash server,
                                        Time now) const {
  for (const BackendServer* candidate : ServersTakingWork(service, now)) {
    if (HashOfServer(candidate->id) == server) {
      Placement placement;
      placement.server = *candidate;
      placement.candidates = 1;
      return placement;
    }
  }
  return std::nullopt;
}

void Fleet::RecordServiceTime(const std::string& service, Duration taken) {
  const auto [known, is_new] = service_times_.try_emplace(service, taken);
  if (!is_new) {
    known->second += (taken - known->second) / kServiceTimeWeightDivisor;
  }
}

Duration Fleet::ServiceTime(std::string_view service) const {
  const auto known = service_times_.find(service);
  return known == service_times_.end() ? Duration::zero() : known->second;
}

bool Fleet::SharesPlaces(std::string_view service, Time now) const {
  if (options_.shared_places == SharedPlaces::kOff ||
      !places_.CanAsk(service, now)) {
    return false;
  }
  std::size_t places = 0;
  for (const BackendServer* server : directory_.Serving(service)) {
    places += static_cast<std::size_t>(std::max(server->slots, 1));
  }
  return options_.shared_places == SharedPlaces::kOn ||
         places < kPlacesPerRouter * links_.router_count(now);
}

bool Fleet::IsAdapterReady(std::string_view engine,
                           const RequestInfo& info,
                           Time now,
                           std::optional<std::int64_t>& version) const {
  if (info.adapter.empty()) {
    return true;
  }
  const EngineSnapshot* snapshot = links_.Snapshot(engine, now);
  if (snapshot == nullptr) {
    return false;
  }
  const auto resident = snapshot->resident.find(NameOf(info));
  if (resident == snapshot->resident.end() ||
      resident->second < MinVersion(NameOf(info))) {
    return false;
  }
  if (resident->second > 0) {
    version = resident->second;
  }
  return true;
}

bool Fleet::IsServing(const BackendServer& server) const {
  const BackendServer* known = directory_.Find(server.id);
  return known != nullptr && !known->leaving &&
         known->started_at_ms == server.started_at_ms &&
         !directory_.IsSuperseded(*known);
}

bool Fleet::TakesWork(const BackendServer& server, Time now) const {
  return IsServing(server) && PauseOf(server, now) == Duration::zero();
}

Duration Fleet::PauseOf(const BackendServer& server, Time now) const {
  const auto pause = pauses_.find(server.id);
  return pause != pauses_.end() &&
                 pause->second.started_at_ms == server.started_at_ms
             ? PauseLeft(pause->second, now)
             : Duration::zero();
}

std::vector<const BackendServer*> Fleet::ServersTakingWork(
    std::string_view service,
    Time now) const {
  std::vector<const BackendServer*> servers = directory_.Serving(service);
  std::erase_if(servers, [this, now](const BackendServer* server) {
    return PauseOf(*server, now) > Duration::zero();
  });
  return servers;
}

void Fleet::PauseServer(const BackendServer& server,
                        Duration asked,
                        double random,
                        Time now) {
  if (!IsServing(server)) {
    return;
  }
  BackendPause& pause = pauses_[server.id];
  if (pause.started_at_ms != server.started_at_ms) {
    pause = {Time(), server.started_at_ms};
  }
  ExtendPause(pause, asked, random, now);
}

std::optional<Duration> Fleet::ShortestPause(std::string_view service,
                                             Time now) const {
  std::optional<Duration> shortest;
  for (const BackendServer* server : directory_.Serving(service)) {
    const Duration left = PauseOf(*server, now);
    if (left == Duration::zero()) {
      return std::nullopt;
    }
    shortest = std::min(shortest.value_or(left), left);
  }
  return shortest;
}

void Fleet::BeginWait(const std::string& server, Time now) {
  AddBounded(activity_[server].recent_waits, now);
}

void Fleet::BeginSend(const std::string& server, Time now) {
  Activity& activity = activity_[server];
  ++activity.in_flight;
  AddBounded(activity.recent_sends, now);
}

void Fleet::EndSend(const std::string& server) {
  const auto activity = activity_.find(server);
  if (activity != activity_.end()) {
    activity->second.in_flight = std::max(activity->second.in_flight - 1, 0);
  }
}

void Fleet::RecordServerResult(const std::string& server,
                               BackendResult result,
                               Time now) {
  RecordResult(health_[server], result, now);
}

RetryBudget& Fleet::BudgetOf(const std::string& service) {
  return budgets_.try_emplace(service, options_.retry_budget).first->second;
}

void Fleet::AddRequest(const std::string& service, Time now) {
  BudgetOf(service).AddRequest(now);
}

bool Fleet::TrySpendRetry(const std::string& service, Time now) {
  return BudgetOf(service).TrySpend(links_.router_count(now), now);
}

}  // namespace amaranthcove
