#include "amaranthcove/agent_link/agent_links.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <utility>

#include "amaranthcove/agent_link/lost_request_codec.h"
#include "amaranthcove/agent_link/quota_codec.h"
#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// Intervals at which a demand is repeated. The interval is short while requests
// wait, because a lost datagram delays them.
constexpr Duration kRepeatIntervalWhileWaiting = milliseconds(100);
constexpr Duration kRepeatIntervalWhileRunning = milliseconds(250);
// Maximum delay of the demand when a request begins to use an adapter. It is
// short so that the agent does not consider the adapter idle.
constexpr Duration kMaxRunningDemandDelay = milliseconds(10);
// Up to this share of the engine's batch, no request waits for a place.
constexpr double kFreeBatchShare = 0.5;
// Maximum delay of the demand after the engine has read a prompt.
constexpr Duration kMaxReadDemandDelay = milliseconds(30);
constexpr Duration kRepeatIntervalWhileIdle = milliseconds(500);

// Reports on crashes are repeated for this time.
constexpr Duration kReportLifetime = milliseconds(500);
// Bounds the reports in a datagram.
constexpr std::size_t kMaxReports = 32;

// Number of adapters per engine that are remembered as held. How many copies an
// engine keeps is not known; few adapters are asked for again after so many
// others.
constexpr std::size_t kMaxHeldAdapters = 64;

std::map<AdapterName, std::int64_t> ToVersions(
    std::span<const std::string> models,
    std::span<const agent_wire::ResidentAdapter> adapters) {
  std::map<AdapterName, std::int64_t> versions;
  for (const agent_wire::ResidentAdapter& adapter : adapters) {
    if (adapter.model < 0 ||
        static_cast<std::size_t>(adapter.model) >= models.size()) {
      continue;  // Agents of this release do not send such an index.
    }
    std::int64_t& version = versions[{
        models[static_cast<std::size_t>(adapter.model)], adapter.adapter}];
    version = std::max(version, adapter.version);
  }
  return versions;
}

EngineSnapshot ToSnapshot(const agent_wire::EngineStatus& status, Time now) {
  EngineSnapshot snapshot;
  snapshot.received = now;
  snapshot.incarnation = status.incarnation;
  snapshot.sequence = status.sequence;
  snapshot.models = status.models;
  snapshot.resident = ToVersions(status.models, status.resident);
  snapshot.loading = ToVersions(status.models, status.loading);
  snapshot.running = status.running;
  snapshot.queued = status.queued;
  snapshot.free_places = status.free_places;
  snapshot.routers = status.routers;
  snapshot.load_wait_ms = status.load_wait_ms;
  snapshot.event_interval_ms = status.event_interval_ms;
  snapshot.reachable = status.reachable;
  return snapshot;
}

bool IsOfOtherStart(const agent_wire::EngineStatus& status,
                    const AgentEndpoint& endpoint) {
  return status.started_at_ms != 0 && endpoint.started_at_ms != 0 &&
         status.started_at_ms != endpoint.started_at_ms;
}

// Applies the load of the other routers. Returns false and changes nothing if
// it is of another incarnation or `snapshot` has a newer one.
bool ApplyLoad(EngineSnapshot& snapshot,
               const agent_wire::EngineLoad& load,
               Time now) {
  if (load.incarnation != snapshot.incarnation ||
      load.sequence < snapshot.load_sequence) {
    return false;
  }
  snapshot.load_sequence = load.sequence;
  snapshot.other_requests = std::max(load.requests, 0);
  snapshot.other_waiting_prompts = std::max(load.waiting, 0);
  snapshot.other_waiting_for_loads = std::max(load.waiting_for_loads, 0);
  snapshot.other_arrivals_per_s = std::isfinite(load.arrivals_per_s)
                                      ? std::max(load.arrivals_per_s, 0.0)
                                      : 0;
  snapshot.other_prompt_tokens = std::max<std::int64_t>(load.prompt_tokens, 0);
  snapshot.other_unread_tokens = std::max<std::int64_t>(load.unread_tokens, 0);
  snapshot.limits_prompts = load.limits_prompts;
  snapshot.load_received = now;
  return true;
}

std::uint64_t HashOf(const AdapterName& adapter) {
  return Hash64(adapter.second, Hash64(adapter.first));
}

// Moves the adapters that the engine holds to the end of `held`.
void AddHeld(std::vector<std::uint64_t>& held, const EngineSnapshot& snapshot) {
  std::vector<std::uint64_t> resident;
  resident.reserve(snapshot.resident.size());
  for (const auto& [adapter, version] : snapshot.resident) {
    resident.push_back(HashOf(adapter));
  }
  std::sort(resident.begin(), resident.end());
  std::erase_if(held, [&resident](std::uint64_t hash) {
    return std::binary_search(resident.begin(), resident.end(), hash);
  });
  held.insert(held.end(), resident.begin(), resident.end());
  if (held.size() > kMaxHeldAdapters) {
    held.erase(held.begin(),
               held.end() - static_cast<std::ptrdiff_t>(kMaxHeldAdapters));
  }
}

int LowestRank(std::span<const WaitingRequest> waiting, Time now) {
  int lowest = std::numeric_limits<int>::max();
  for (const WaitingRequest& request : waiting) {
    lowest = std::min(lowest, WaitingRank(request, now));
  }
  return lowest;
}

ServerCrash ToCrash(const agent_wire::ServerCrash& wire, Time now) {
  ServerCrash crash;
  crash.id = static_cast<std::uint64_t>(wire.id);
  crash.at = now - milliseconds(std::clamp<std::int64_t>(
                       wire.age_ms, 0, ToMilliseconds(CrashTable::kLifetime)));
  for (const agent_wire::LostRequest& item : wire.requests) {
    crash.requests.push_back(DecodeLostRequest(item));
  }
  return crash;
}

// Adds `report` for `kReportLifetime`, unless there are too many.
template <typename Report>
void AddReport(std::vector<Report>& reports, Report report) {
  if (reports.size() < kMaxReports) {
    reports.push_back(std::move(report));
  }
}

template <typename Uses>
void EraseEnded(Uses& uses) {
  std::erase_if(uses, [](const auto& item) {
    return item.second.waiting.empty() && item.second.running == 0;
  });
}

}  // namespace

int WaitingRank(const WaitingRequest& request, Time now) {
  return 2 * request.priority + (now < request.useful_until ? 0 : 1);
}

void AgentLinks::SetEndpoints(std::vector<AgentEndpoint> endpoints) {
  std::map<std::string, Link, std::less<>> links;
  for (AgentEndpoint& endpoint : endpoints) {
    Link link;
    const auto known = links_.find(endpoint.engine);
    if (known != links_.end() &&
        known->second.endpoint.agent == endpoint.agent &&
        known->second.endpoint.started_at_ms == endpoint.started_at_ms) {
      link = std::move(known->second);
    }
    link.endpoint = std::move(endpoint);
    std::string engine = link.endpoint.engine;
    links.emplace(std::move(engine), std::move(link));
  }
  links_ = std::move(links);
  for (auto& [engine, uses] : uses_) {
    if (FindLink(engine) == nullptr) {
      EraseEnded(uses);
    }
  }
  std::erase_if(uses_, [](const auto& item) { return item.second.empty(); });
  std::erase_if(prompts_, [this](const auto& item) {
    return item.second.tokens == 0 && item.second.asked.empty() &&
           FindLink(item.first) == nullptr;
  });
}

AgentLinks::Update AgentLinks::Receive(const Address& sender,
                                       std::string_view bytes,
                                       Time now) {
  Update update;
  const auto datagram = DecodeDatagram(bytes);
  if (!datagram) {
    return update;
  }
  for (auto& [engine, link] : links_) {
    if (link.endpoint.agent != sender) {
      continue;
    }
    if (datagram->__isset.quotas) {
      update.quotas = datagram->quotas;
    }
    if (datagram->__isset.place_grants) {
      update.places = datagram->place_grants;
    }
    if (datagram->__isset.crash_report && update.crashes.empty()) {
      for (const agent_wire::ServerCrash& crash :
           datagram->crash_report.crashes) {
        update.crashes.push_back(ToCrash(crash, now));
      }
    }
    if (datagram->__isset.status) {
      const agent_wire::EngineStatus& status = datagram->status;
      if (IsOfOtherStart(status, link.endpoint)) {
        continue;
      }
      if (link.snapshot && link.snapshot->incarnation == status.incarnation &&
          link.snapshot->sequence >= status.sequence) {
        return update;
      }
      link.snapshot = ToSnapshot(status, now);
      AddHeld(link.held, *link.snapshot);
      update.engine = engine;
    }
    if (datagram->__isset.load && link.snapshot &&
        ApplyLoad(*link.snapshot, datagram->load, now)) {
      update.admitted = datagram->load.admitted;
    }
    if (update.engine) {
      break;
    }
  }
  return update;
}

const EngineSnapshot* AgentLinks::Snapshot(std::string_view engine,
                                           Time now) const {
  const auto link = links_.find(engine);
  if (link == links_.end() || !link->second.snapshot ||
      now - link->second.snapshot->received > kSnapshotLifetime) {
    return nullptr;
  }
  return &*link->second.snapshot;
}

bool AgentLinks::HasHeld(std::string_view engine,
                         const AdapterName& adapter) const {
  const auto link = links_.find(engine);
  return link != links_.end() &&
         std::find(link->second.held.begin(), link->second.held.end(),
                   HashOf(adapter)) != link->second.held.end();
}

AgentLinks::Link* AgentLinks::FindLink(std::string_view engine) {
  const auto link = links_.find(engine);
  return link == links_.end() ? nullptr : &link->second;
}

AgentLinks::Use* AgentLinks::FindUse(std::string_view engine,
                                     const AdapterName& adapter) {
  const auto uses = uses_.find(engine);
  if (uses == uses_.end()) {
    return nullptr;
  }
  const auto use = uses->second.find(adapter);
  return use == uses->second.end() ? nullptr : &use->second;
}

AgentLinks::Use& AgentLinks::GetOrAddUse(std::string_view engine,
                                         const AdapterName& adapter) {
  return uses_[std::string(engine)][adapter];
}

void AgentLinks::ScheduleSend(std::string_view engine, Time at) {
  if (Link* link = FindLink(engine)) {
    link->next_send = std::min(link->next_send, at);
  }
}

void AgentLinks::AddWaiting(std::string_view engine,
                            const AdapterName& adapter,
                            std::int64_t version,
                            const WaitingRequest& request,
                            Time now) {
  Use& use = GetOrAddUse(engine, adapter);
  use.version = std::max(use.version, version);
  use.waiting.push_back(request);
  ScheduleSend(engine, now);
}

void AgentLinks::RemoveWaiting(std::string_view engine,
                               const AdapterName& adapter,
                               const WaitingRequest& request) {
  Use* use = FindUse(engine, adapter);
  if (use == nullptr) {
    return;
  }
  const auto found =
      std::find(use->waiting.begin(), use->waiting.end(), request);
  if (found != use->waiting.end()) {
    use->waiting.erase(found);
  }
}

void AgentLinks::AddRunning(std::string_view engine,
                            const AdapterName& adapter,
                            Time now) {
  ++GetOrAddUse(engine, adapter).running;
  ScheduleSend(engine, now + kMaxRunningDemandDelay);
}

void AgentLinks::RemoveRunning(std::string_view engine,
                               const AdapterName& adapter) {
  if (Use* use = FindUse(engine, adapter)) {
    use->running = std::max(use->running - 1, 0);
  }
}

void AgentLinks::AddPrompt(std::string_view engine,
                           std::int64_t tokens,
                           Time now) {
  Prompts& prompts = prompts_[std::string(engine)];
  prompts.tokens += tokens;
  ++prompts.sent_requests;
  prompts.sent_tokens += tokens;
  ScheduleSend(engine, now);
}

void AgentLinks::RemovePrompt(std::string_view engine,
                              std::int64_t tokens,
                              Time now) {
  const auto found = prompts_.find(engine);
  if (found == prompts_.end()) {
    return;
  }
  found->second.tokens -= tokens;
  ScheduleSend(engine, now + kMaxReadDemandDelay);
}

std::int64_t AgentLinks::AskAdmission(std::string_view engine,
                                      std::int64_t tokens,
                                      const WaitingRequest& request,
                                      Duration waited,
                                      Time now) {
  const std::int64_t id = ++last_prompt_id_;
  prompts_[std::string(engine)].asked[id] = {tokens, request, now - waited};
  ScheduleSend(engine, now);
  return id;
}

void AgentLinks::WithdrawPrompt(std::string_view engine,
                                std::int64_t id,
                                Time now) {
  const auto found = prompts_.find(engine);
  if (found != prompts_.end()) {
    found->second.asked.erase(id);
    ScheduleSend(engine, now + kMaxReadDemandDelay);
  }
}

void AgentLinks::SetPromptWindow(std::string_view engine,
                                 const PromptWindow& window) {
  if (Link* link = FindLink(engine)) {
    link->window = window;
  }
}

void AgentLinks::AddLongPause(std::string_view engine, bool is_late) {
  Prompts& prompts = prompts_[std::string(engine)];
  ++prompts.long_pauses;
  prompts.late_pauses += is_late ? 1 : 0;
}

void AgentLinks::SetLatePauses(std::string_view engine,
                               bool has_late_pauses,
                               Time now) {
  Link* link = FindLink(engine);
  if (link != nullptr && link->has_late_pauses != has_late_pauses) {
    link->has_late_pauses = has_late_pauses;
    link->next_send = std::min(link->next_send, now);
  }
}

int AgentLinks::waiting_prompts(std::string_view engine) const {
  const auto found = prompts_.find(engine);
  return found == prompts_.end() ? 0
                                 : static_cast<int>(found->second.asked.size());
}

int AgentLinks::waiting_for_loads(std::string_view engine) const {
  const auto found = uses_.find(engine);
  if (found == uses_.end()) {
    return 0;
  }
  std::size_t waiting = 0;
  for (const auto& [adapter, use] : found->second) {
    waiting += use.waiting.size();
  }
  return static_cast<int>(waiting);
}

std::int64_t AgentLinks::prompt_tokens(std::string_view engine) const {
  const auto found = prompts_.find(engine);
  if (found == prompts_.end()) {
    return 0;
  }
  std::int64_t tokens = found->second.tokens;
  for (const auto& [id, prompt] : found->second.asked) {
    tokens += prompt.tokens;
  }
  return tokens;
}

std::int64_t AgentLinks::unread_tokens(std::string_view engine) const {
  const auto found = prompts_.find(engine);
  return found == prompts_.end() ? 0 : found->second.tokens;
}

void AgentLinks::AddPromptsTo(agent_wire::AdapterDemand& demand,
                              const std::string& engine,
                              Time now) const {
  const auto found = prompts_.find(engine);
  if (found == prompts_.end()) {
    return;
  }
  demand.prompt_tokens = found->second.tokens;
  demand.sent_tokens = found->second.sent_tokens;
  demand.sent_requests = found->second.sent_requests;
  demand.long_pauses = found->second.long_pauses;
  demand.late_pauses = found->second.late_pauses;
  for (const auto& [id, prompt] : found->second.asked) {
    agent_wire::WaitingPrompt item;
    item.id = id;
    item.tokens = prompt.tokens;
    item.rank = WaitingRank(prompt.request, now);
    item.waited_ms = ToMilliseconds(now - prompt.since);
    item.workspace = static_cast<std::int64_t>(prompt.request.share.workspace);
    item.weight = prompt.request.share.weight;
    demand.prompts.push_back(item);
  }
}

void AgentLinks::ReportEnd(std::string_view engine, Time now) {
  const Link* link = FindLink(engine);
  if (link == nullptr || !link->snapshot || !link->snapshot->load_received) {
    return;
  }
  const int batch_size = link->endpoint.demand_template.batch_size;
  if (link->snapshot->other_requests > kFreeBatchShare * batch_size) {
    ScheduleSend(engine, now + kMaxRunningDemandDelay);
  }
}

void AgentLinks::ReportLost(std::string_view engine,
                            LostRequest request,
                            Time now) {
  if (Link* link = FindLink(engine)) {
    AddReport(link->lost, {std::move(request), now + kReportLifetime});
    link->next_send = std::min(link->next_send, now);
  }
}

void AgentLinks::ReportPlainCrash(std::uint64_t id,
                                  LostRequest request,
                                  Time now) {
  // Routers that know the same agents choose the same one, so that it puts the
  // requests of the crash together.
  Link* chosen = nullptr;
  std::uint64_t chosen_rank = 0;
  for (auto& [engine, link] : links_) {
    const std::uint64_t rank = Hash64(FormatAddress(link.endpoint.agent), id);
    if (Snapshot(engine, now) != nullptr &&
        (chosen == nullptr || rank > chosen_rank)) {
      chosen = &link;
      chosen_rank = rank;
    }
  }
  if (chosen != nullptr) {
    AddReport(chosen->plain_crashes,
              {id, std::move(request), now + kReportLifetime});
    chosen->next_send = std::min(chosen->next_send, now);
  }
}

void AgentLinks::ReportSound(const ClearedPart& cleared, Time now) {
  for (auto& [engine, link] : links_) {
    if (link.endpoint.agent == cleared.agent) {
      AddReport(link.sound, {cleared.part, now + kReportLifetime});
      link.next_send = std::min(link.next_send, now);
    }
  }
}

bool AgentLinks::AddReportsTo(agent_wire::AdapterDemand& demand,
                              Link& link,
                              Time now) {
  const auto has_expired = [now](const auto& report) {
    return now >= report.expires;
  };
  std::erase_if(link.lost, has_expired);
  std::erase_if(link.sound, has_expired);
  std::erase_if(link.plain_crashes, has_expired);
  for (const LostReport& report : link.lost) {
    demand.lost.push_back(EncodeLostRequest(report.request));
  }
  for (const PlainCrashReport& report : link.plain_crashes) {
    agent_wire::PlainServerCrash item;
    item.id = static_cast<std::int64_t>(report.id);
    item.request = EncodeLostRequest(report.request);
    demand.plain_crashes.push_back(std::move(item));
  }
  for (const SoundReport& report : link.sound) {
    demand.begun_parts.push_back(static_cast<std::int64_t>(report.part));
  }
  return !link.lost.empty() || !link.sound.empty() ||
         !link.plain_crashes.empty();
}

void AgentLinks::MarkAbsent(std::string_view engine,
                            const AdapterName& adapter) {
  Link* link = FindLink(engine);
  if (link != nullptr && link->snapshot) {
    link->snapshot->resident.erase(adapter);
  }
}

void AgentLinks::ReportQuotas(const Address& agent, Time now) {
  for (auto& [engine, link] : links_) {
    if (link.endpoint.agent == agent) {
      link.next_send = std::min(link.next_send, now);
    }
  }
}

std::vector<Address> AgentLinks::AnsweringAgents(Time now) const {
  std::vector<Address> agents;
  for (const auto& [engine, link] : links_) {
    if (link.snapshot && now - link.snapshot->received <= kSnapshotLifetime) {
      agents.push_back(link.endpoint.agent);
    }
  }
  return agents;
}

void AgentLinks::Tick(Time now) {
  for (auto& [engine, link] : links_) {
    if (now >= link.next_send) {
      SendDemand(engine, link, now);
    }
  }
}

void AgentLinks::SendDemand(const std::string& engine, Link& link, Time now) {
  agent_wire::AgentDatagram datagram;
  agent_wire::AdapterDemand demand = link.endpoint.demand_template;
  demand.router = router_;
  demand.incarnation = incarnation_;
  demand.sequence = ++sequence_;
  demand.prompt_window = link.window.tokens;
  demand.gap_ms = static_cast<std::int32_t>(ToMilliseconds(link.window.gap));
  demand.service_has_late_pauses = link.has_late_pauses;
  AddPromptsTo(demand, engine, now);
  if (quota_reporter_) {
    demand.quotas =
        EncodeQuotaReports(quota_reporter_(link.endpoint.agent, now));
  }
  Uses& uses = uses_[engine];
  const bool has_reports = AddReportsTo(demand, link, now);
  bool waiting = has_reports || !demand.prompts.empty();
  for (const auto& [adapter, use] : uses) {
    agent_wire::AdapterUse item;
    item.model = adapter.first;
    item.adapter = adapter.second;
    item.version = use.version;
    item.waiting = static_cast<std::int32_t>(use.waiting.size());
    item.running = use.running;
    item.rank = LowestRank(use.waiting, now);
    waiting = waiting || item.waiting > 0;
    demand.uses.push_back(std::move(item));
  }
  datagram.__set_demand(demand);
  send_(link.endpoint.agent, EncodeDatagram(datagram));
  // The datagram has reported the uses that ended since the last one.
  EraseEnded(uses);
  link.next_send = now + (waiting         ? kRepeatIntervalWhileWaiting
                          : !uses.empty() ? kRepeatIntervalWhileRunning
                                          : kRepeatIntervalWhileIdle);
}

std::size_t AgentLinks::router_count(Time now) const {
  int count = 1;
  for (const auto& [engine, link] : links_) {
    if (link.snapshot && now - link.snapshot->received <= kSnapshotLifetime) {
      count = std::max(count, link.snapshot->routers);
    }
  }
  return static_cast<std::size_t>(count);
}

}  // namespace amaranthcove
