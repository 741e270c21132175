#include "testing/policy_bench/policies.h"

#include <algorithm>
#include <array>
#include <string>

#include "amaranthcove/policy/choice.h"

namespace amaranthcove::policy_bench {

namespace {

using policy::Slot;
using policy::StepKind;

constexpr std::size_t kCandidates = 5;
constexpr std::size_t kMaxConcurrentLoads = 2;

std::string AdapterName(std::uint32_t adapter) {
  return "team/adapter-" + std::to_string(adapter) + "@1";
}

bool HasAdapter(const Engine& engine, policy::AdapterKey key) {
  return std::any_of(engine.slots.begin(), engine.slots.end(),
                     [&](const Slot& slot) { return slot.adapter == key; });
}

// ---- Baselines.

std::size_t ChooseLeastLoaded(Replay& replay, std::size_t index) {
  Entry& entry = replay.entries()[replay.trace().requests[index].entry];
  const std::size_t count = entry.reports.size();
  const std::size_t first = entry.random.NextBelow(count);
  std::size_t best = first;
  for (std::size_t k = 0; k < count; ++k) {
    const std::size_t e = (first + k) % count;
    const auto load = [&](std::size_t i) {
      return entry.reports[i].load + entry.reports[i].unreported;
    };
    if (load(e) < load(best)) {
      best = e;
    }
  }
  return best;
}

std::size_t ChooseByHash(Replay& replay, std::size_t index) {
  std::uint32_t best[1] = {};
  policy::RankServers(AdapterName(replay.trace().requests[index].adapter),
                      replay.servers(), best);
  return best[0];
}

using VictimFunction = std::optional<std::size_t> (*)(Replay&, std::size_t);

std::optional<std::size_t> LeastRecentlyUsed(Replay& replay, std::size_t e) {
  const Engine& engine = replay.engines()[e];
  std::optional<std::size_t> victim;
  for (std::size_t s = 0; s < engine.slots.size(); ++s) {
    const Slot& slot = engine.slots[s];
    if (!slot.loading && slot.pins == 0 &&
        (!victim || engine.last_used[s] < engine.last_used[*victim])) {
      victim = s;
    }
  }
  return victim;
}

// Belady's choice: the adapter whose next request is furthest in the future,
// among those that no waiting request needs.
std::optional<std::size_t> FurthestNextUse(Replay& replay, std::size_t e) {
  const Engine& engine = replay.engines()[e];
  std::optional<std::size_t> victim;
  Time furthest{};
  for (std::size_t s = 0; s < engine.slots.size(); ++s) {
    const Slot& slot = engine.slots[s];
    const bool has_waiting_request =
        std::any_of(engine.queue.begin(), engine.queue.end(),
                    [&](const policy::WaitingRequest& r) {
                      return r.adapter == slot.adapter;
                    });
    if (slot.loading || slot.pins > 0 || has_waiting_request) {
      continue;
    }
    Time next = Time::max();
    if (slot.adapter != 0) {
      const std::vector<Time>& arrivals =
          replay.trace().arrivals[replay.AdapterIndex(slot.adapter)];
      const auto at =
          std::upper_bound(arrivals.begin(), arrivals.end(), replay.now());
      next = at == arrivals.end() ? Time::max() - Duration(1) : *at;
    }
    if (!victim || next > furthest) {
      victim = s;
      furthest = next;
    }
  }
  return victim;
}

// Starts or loads for urgent requests before patient ones, each in order of
// arrival. Requests whose adapter is resident start before any load.
policy::Step NextStepInOrder(Replay& replay,
                             std::size_t e,
                             VictimFunction victim) {
  const Engine& engine = replay.engines()[e];
  policy::Step hold;
  std::optional<std::size_t> first_to_load;
  std::optional<policy::Step> start;
  for (const bool urgent : {true, false}) {
    for (std::size_t i = 0; i < engine.queue.size(); ++i) {
      const policy::WaitingRequest& request = engine.queue[i];
      if (request.urgent != urgent) {
        continue;
      }
      if (request.deadline <= replay.now()) {
        return {.kind = StepKind::kRefuse, .request = i};
      }
      hold.hold_until = std::min(hold.hold_until, request.deadline);
      if (!HasAdapter(engine, request.adapter)) {
        first_to_load = first_to_load ? first_to_load : i;
        continue;
      }
      for (std::size_t s = 0; s < engine.slots.size() && !start; ++s) {
        const Slot& slot = engine.slots[s];
        if (slot.adapter == request.adapter && !slot.loading &&
            engine.running < replay.scenario().places) {
          start = {.kind = StepKind::kStart, .request = i, .slot = s};
        }
      }
    }
  }
  if (start) {
    return *start;
  }
  const auto loads = static_cast<std::size_t>(
      std::count_if(engine.slots.begin(), engine.slots.end(),
                    [](const Slot& slot) { return slot.loading; }));
  if (!first_to_load || loads >= kMaxConcurrentLoads) {
    return hold;
  }
  if (engine.no_load_until > replay.now()) {
    hold.hold_until = std::min(hold.hold_until, engine.no_load_until);
    return hold;
  }
  if (const auto s = victim(replay, e)) {
    return {.kind = StepKind::kLoad,
            .slot = *s,
            .adapter = engine.queue[*first_to_load].adapter,
            .urgent = engine.queue[*first_to_load].urgent};
  }
  return hold;
}

policy::Step NextWithLru(Replay& replay, std::size_t e) {
  return NextStepInOrder(replay, e, LeastRecentlyUsed);
}

// ---- Clairvoyant.

std::size_t ChooseByTrueState(Replay& replay, std::size_t index) {
  const TraceRequest& request = replay.trace().requests[index];
  const policy::AdapterKey key = AdapterKeyOf(request.adapter);
  std::size_t best = 0;
  Duration best_cost = Duration::max();
  std::uint32_t best_running = 0;
  for (std::size_t e = 0; e < replay.engines().size(); ++e) {
    const Engine& engine = replay.engines()[e];
    const Duration load = std::chrono::milliseconds(2000);
    const Duration cost = replay.EstimatedWait(engine, request.urgent) +
                          (HasAdapter(engine, key) ? Duration(0) : load);
    if (cost < best_cost ||
        (cost == best_cost && engine.running < best_running)) {
      best = e;
      best_cost = cost;
      best_running = engine.running;
    }
  }
  return best;
}

policy::Step NextWithBelady(Replay& replay, std::size_t e) {
  return NextStepInOrder(replay, e, FurthestNextUse);
}

// ---- The product's decision functions.

std::size_t ChooseWithPolicy(Replay& replay, std::size_t index) {
  const TraceRequest& request = replay.trace().requests[index];
  Entry& entry = replay.entries()[request.entry];
  const Scenario& scenario = replay.scenario();
  const policy::AdapterKey key = AdapterKeyOf(request.adapter);
  const Time now = replay.now();
  const double service_s =
      request.urgent ? scenario.urgent_service_s : scenario.patient_service_s;
  // The weight is the service time, so that the rate is the mean number of
  // occupied batch places.
  entry.popularity.Record(key, now, service_s);
  const double occupied = entry.popularity.Rate(key, now) * scenario.entries;
  std::uint32_t& replicas = entry.replicas[request.adapter];
  replicas = policy::ReplicaCount(occupied, scenario.places * 0.5, replicas,
                                  {.maximum = kCandidates});
  std::array<std::uint32_t, kCandidates> ranked{};
  const std::size_t count = policy::RankServers(AdapterName(request.adapter),
                                                replay.servers(), ranked);
  std::array<policy::Candidate, kCandidates> candidates{};
  for (std::size_t k = 0; k < count; ++k) {
    const Report& report = entry.reports[ranked[k]];
    policy::Candidate& candidate = candidates[k];
    candidate.unreported = report.unreported;
    if (!report.at) {
      continue;
    }
    candidate.expected_wait =
        request.urgent ? report.urgent_wait : report.patient_wait;
    candidate.load_wait = report.load_wait;
    candidate.report_age = now - *report.at;
    candidate.resident =
        std::find(report.resident.begin(), report.resident.end(), key) !=
                report.resident.end()
            ? policy::Residency::kYes
            : policy::Residency::kNo;
  }
  const policy::ChoiceSettings settings = request.urgent
                                              ? policy::ChoiceSettings{}
                                              : policy::PatientChoiceSettings();
  const auto choice = policy::ChooseServer(std::span(candidates).first(count),
                                           replicas, settings, entry.random);
  return ranked[choice ? choice->index : 0];
}

policy::Step NextWithPolicy(Replay& replay, std::size_t e) {
  Engine& engine = replay.engines()[e];
  const Time now = replay.now();
  for (Slot& slot : engine.slots) {
    slot.rate =
        slot.adapter == 0 ? 0 : engine.popularity.Rate(slot.adapter, now);
  }
  const policy::EngineView view{
      .slots = engine.slots,
      .batch_places = replay.scenario().places,
      .running = engine.running,
      .urgent_rate = engine.urgent_rate.Rate(now),
      .urgent_load_at = engine.budget->NextLoad(true, now),
      .patient_load_at = engine.budget->NextLoad(false, now)};
  return policy::NextStep(engine.queue, view, engine.popularity,
                          {.weights = replay.scenario().weights}, now);
}

}  // namespace

const PolicyTable kLeastLoaded = {"least loaded", ChooseLeastLoaded,
                                  NextWithLru, false, false};
const PolicyTable kHashing = {"hashing", ChooseByHash, NextWithLru, false,
                              false};
const PolicyTable kStaticShare = {"policy", ChooseWithPolicy, NextWithPolicy,
                                  true, false};
const PolicyTable kDemandShare = {"by demand", ChooseWithPolicy, NextWithPolicy,
                                  true, true};
const PolicyTable kClairvoyant = {"clairvoyant", ChooseByTrueState,
                                  NextWithBelady, false, false};

}  // namespace amaranthcove::policy_bench
