#include "amaranthcove/entry/server_chooser.h"

#include <algorithm>
#include <vector>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

// Maximum number of candidates considered for one request.
constexpr std::size_t kMaxCandidates = 16;

// Target share of a batch for one adapter. With a larger share it makes
// requests of other adapters wait.
constexpr double kTargetBatchShare = 0.5;

// Maximum age of the cached count of live entries. Counting iterates over all
// instances, and the replicas of an adapter change more slowly than this.
constexpr Duration kMaxEntryCountAge = std::chrono::seconds(1);

// Weight of the newest run time in its moving average.
constexpr double kServiceTimeWeight = 0.1;

policy::Residency ResidencyOf(const wire::ServerReport& report,
                              std::uint64_t adapter) {
  if (!report.__isset.resident_models) {
    return policy::Residency::kUnknown;
  }
  const auto& models = report.resident_models;
  const bool found =
      std::find(models.begin(), models.end(),
                static_cast<std::int64_t>(adapter)) != models.end();
  return found ? policy::Residency::kYes : policy::Residency::kNo;
}

std::uint64_t AdapterKeyOf(const CallPlan& plan) {
  return Hash64(plan.model);
}

}  // namespace

ServerChooser::ServerChooser(const InstanceDirectory& directory,
                             const ServerChooserSettings& settings,
                             std::uint64_t seed)
    : directory_(directory), settings_(settings), random_{seed} {}

void ServerChooser::RecordRequest(const CallPlan& plan, Time now) {
  if (plan.kind == CallKind::kModel) {
    occupancy_.Record(AdapterKeyOf(plan), now,
                      plan.urgent ? urgent_service_s_ : patient_service_s_);
  }
}

void ServerChooser::OnServed(const CallPlan& plan, Duration run_time) {
  double& mean = plan.urgent ? urgent_service_s_ : patient_service_s_;
  mean += kServiceTimeWeight * (ToSeconds(run_time) - mean);
}

void ServerChooser::Compact(Time now) {
  occupancy_.Compact(now);
}

Result<ChosenServer> ServerChooser::Choose(
    const CallPlan& plan,
    const std::set<std::string>& excluded,
    Time now) {
  const bool is_model = plan.kind == CallKind::kModel;
  std::vector<ServerCandidate> servers =
      is_model
          ? directory_.ServersForModel(plan.base_model, settings_.region, now)
          : directory_.ServersForService(plan.team, plan.service,
                                         settings_.region, now);
  std::erase_if(servers, [&](const ServerCandidate& candidate) {
    return excluded.contains(candidate.instance->record.instance);
  });
  const bool any_healthy =
      std::any_of(servers.begin(), servers.end(),
                  [](const auto& server) { return !server.on_probation; });
  if (any_healthy) {
    std::erase_if(servers,
                  [](const auto& server) { return server.on_probation; });
  }
  if (servers.empty()) {
    return MakeError(ErrorCode::kUnavailable,
                     "No backend server is available for the request.");
  }
  return is_model ? ChooseEngine(plan, servers, now) : ChoosePlain(servers);
}

std::vector<std::uint32_t> ServerChooser::RankEngines(
    const CallPlan& plan,
    const std::vector<ServerCandidate>& servers,
    std::uint32_t replicas) const {
  std::vector<policy::PlacementServer> placement;
  placement.reserve(servers.size());
  for (const ServerCandidate& server : servers) {
    placement.push_back({Hash64(server.instance->record.instance), 1.0F,
                         server.same_region ? policy::Distance::kSameRegion
                                            : policy::Distance::kOtherRegion});
  }
  std::vector<std::uint32_t> best(
      std::min(kMaxCandidates, replicas + settings_.spare_candidates));
  best.resize(policy::RankServers(plan.model, placement, best));
  return best;
}

Result<ChosenServer> ServerChooser::ChooseEngine(
    const CallPlan& plan,
    const std::vector<ServerCandidate>& servers,
    Time now) {
  const std::uint32_t replicas = Replicas(plan, now);
  const std::vector<std::uint32_t> best = RankEngines(plan, servers, replicas);
  const std::uint64_t adapter = AdapterKeyOf(plan);
  std::vector<policy::Candidate> candidates;
  nlohmann::json candidates_json = nlohmann::json::array();
  for (const std::uint32_t index : best) {
    const std::string& name = servers[index].instance->record.instance;
    candidates.push_back(CandidateOf(name, adapter, plan.urgent, now));
    const policy::Candidate& candidate = candidates.back();
    candidates_json.push_back(
        {{"instance", name},
         {"expected_wait_ms", ToMilliseconds(candidate.expected_wait)},
         {"load_wait_ms", ToMilliseconds(candidate.load_wait)},
         {"resident", candidate.resident == policy::Residency::kYes ? "yes"
                      : candidate.resident == policy::Residency::kNo
                          ? "no"
                          : "unknown"},
         {"leaving", candidate.leaving},
         {"unreported", candidate.unreported}});
  }
  const auto choice = settings_.choose(
      candidates, replicas,
      plan.urgent ? settings_.urgent_choice : settings_.patient_choice,
      random_);
  if (!choice) {
    return MakeError(ErrorCode::kUnavailable,
                     "Every backend server for the request is leaving.");
  }
  const InstanceRecord& record = servers[best[choice->index]].instance->record;
  return ChosenServer{record.instance,
                      record.address,
                      {{"candidates", candidates_json},
                       {"replicas", replicas},
                       {"chosen", record.instance},
                       {"reason", policy::ChoiceReasonName(choice->reason)}}};
}

Result<ChosenServer> ServerChooser::ChoosePlain(
    const std::vector<ServerCandidate>& servers) {
  // Choose the less loaded of two random servers, in the region if possible.
  std::size_t count = 0;
  while (count < servers.size() && servers[count].same_region) {
    ++count;
  }
  if (count == 0) {
    count = servers.size();
  }
  const auto load = [this](const ServerCandidate& server) {
    const auto found = servers_.find(server.instance->record.instance);
    return found == servers_.end()
               ? 0
               : found->second.report.urgent_queued +
                     found->second.report.running +
                     static_cast<std::int32_t>(found->second.unreported);
  };
  const ServerCandidate& first = servers[random_.NextBelow(count)];
  const ServerCandidate& second = servers[random_.NextBelow(count)];
  const ServerCandidate& chosen = load(second) < load(first) ? second : first;
  const InstanceRecord& record = chosen.instance->record;
  return ChosenServer{record.instance,
                      record.address,
                      {{"chosen", record.instance},
                       {"servers", servers.size()},
                       {"load", load(chosen)}}};
}

policy::Candidate ServerChooser::CandidateOf(const std::string& instance,
                                             std::uint64_t adapter,
                                             bool urgent,
                                             Time now) const {
  policy::Candidate candidate;
  const auto found = servers_.find(instance);
  if (found == servers_.end()) {
    return candidate;
  }
  const ServerState& state = found->second;
  candidate.unreported = state.unreported;
  if (!state.reported) {
    return candidate;
  }
  candidate.report_age = now - state.reported_at;
  candidate.leaving = state.report.leaving;
  candidate.load = static_cast<std::uint32_t>(
      std::max(0, state.report.urgent_queued + state.report.patient_queued +
                      state.report.running));
  const bool patient_wait = !urgent && state.report.__isset.patient_wait_ms;
  candidate.expected_wait =
      std::chrono::milliseconds(patient_wait ? state.report.patient_wait_ms
                                             : state.report.expected_wait_ms);
  candidate.load_wait = std::chrono::milliseconds(state.report.load_wait_ms);
  candidate.resident = ResidencyOf(state.report, adapter);
  return candidate;
}

std::size_t ServerChooser::LiveEntryCount(Time now) {
  if (live_entry_count_ == 0 ||
      now - live_entries_counted_at_ >= kMaxEntryCountAge) {
    live_entry_count_ =
        std::max<std::size_t>(1, directory_.LiveEntries().size());
    live_entries_counted_at_ = now;
  }
  return live_entry_count_;
}

std::uint32_t ServerChooser::Replicas(const CallPlan& plan, Time now) {
  const std::uint64_t adapter = AdapterKeyOf(plan);
  const auto found = replicas_.find(adapter);
  const std::uint32_t current = found == replicas_.end() ? 1 : found->second;
  // All entries are assumed to receive equal shares of the requests.
  const auto entries = static_cast<double>(LiveEntryCount(now));
  double max_batch_size = 0;
  for (const auto& [instance, state] : servers_) {
    max_batch_size =
        std::max(max_batch_size, static_cast<double>(state.report.batch_size));
  }
  if (max_batch_size == 0) {
    return current;
  }
  const std::uint32_t replicas = policy::ReplicaCount(
      occupancy_.Rate(adapter, now) * entries,
      max_batch_size * kTargetBatchShare, current, settings_.replicas);
  if (replicas > 1) {
    replicas_[adapter] = replicas;
  } else {
    replicas_.erase(adapter);
  }
  return replicas;
}

void ServerChooser::OnSent(const std::string& instance) {
  ++servers_[instance].unreported;
}

void ServerChooser::RemoveServer(const std::string& instance) {
  servers_.erase(instance);
}

void ServerChooser::OnReport(const std::string& instance,
                             const wire::ServerReport& report,
                             Time now) {
  ServerState& state = servers_[instance];
  state.report = report;
  state.reported_at = now;
  state.reported = true;
  state.unreported = 0;
}

nlohmann::json ServerChooser::Dump(Time now) const {
  nlohmann::json servers = nlohmann::json::object();
  for (const auto& [instance, state] : servers_) {
    servers[instance] = {
        {"report_age_ms",
         state.reported ? ToMilliseconds(now - state.reported_at) : -1},
        {"running", state.report.running},
        {"urgent_queued", state.report.urgent_queued},
        {"patient_queued", state.report.patient_queued},
        {"expected_wait_ms", state.report.expected_wait_ms},
        {"unreported", state.unreported},
        {"leaving", state.report.leaving}};
  }
  return {{"servers", servers},
          {"adapters_remembered", occupancy_.size()},
          {"urgent_service_s", urgent_service_s_},
          {"patient_service_s", patient_service_s_}};
}

}  // namespace amaranthcove
