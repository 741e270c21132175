#include "amaranthcove/backend_choice/backend_choice.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "amaranthcove/backend_choice/even_load.h"
#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

// Durations of loads, in units of `EnginePace::load_ms`.
// Remaining time of a load that is under way.
constexpr double kLoadingLoads = 0.25;
// An engine that held the adapter loads it from its own memory.
constexpr double kCopyLoads = 0.16;
// Without such a copy, the first engines in the order of preference are chosen,
// so that later requests find the adapter or its copy there.
constexpr double kPreferredLoads = 0.2;
constexpr double kSecondLoads = 0.8;
constexpr double kColdLoads = 1.04;
// Increases the delay with the rank. Otherwise all routers would send all
// adapters whose first engines are lost or busy to the same idle engine.
constexpr double kPerRankLoads = 0.08;
// For each load that a request started to wait for since the agent's last
// status.
constexpr double kPerRecentWaitLoads = 0.24;
// Without a status, the adapter may be absent and the engine out of order.
constexpr double kUnknownLoads = 2.4;
// Loading a base model takes several times as long as an adapter.
constexpr double kNoModelLoads = 8;
// With all adapter places in use, a load waits for a request to end.
constexpr double kNoPlaceLoads = 0.4;

// Share of the prompts sent since the agent's last status that the engine has
// not read yet, if the agent does not report them.
constexpr double kUnreadShareOfRecentSends = 0.5;

// Up to these shares of an engine's limits, prompts are sent without admission.
constexpr double kFreeWindowShare = 0.25;
constexpr double kFreeBatchShare = 0.75;

// What a load and the traffic to another data centre cost, as a share of a late
// answer. A load takes capacity of the weight store and an adapter place from
// other requests.
constexpr double kLoadWeight = 0.4;
constexpr double kOtherDataCentreWeight = 0.04;

// Engines whose costs differ by less than the time to read this many prompts
// share the requests: prompts of other routers may be on their way there.
constexpr double kJitterPrompts = 1;

// Returns the time until the adapter can serve, in milliseconds.
double LoadMs(const EngineCandidate& candidate, const EnginePace& pace) {
  if (!candidate.has_model) {
    return kNoModelLoads * pace.load_ms;
  }
  switch (candidate.place) {
    case AdapterPlace::kResident:
      return 0;
    case AdapterPlace::kLoading:
      return kLoadingLoads * pace.load_ms;
    case AdapterPlace::kUnknown:
      return kUnknownLoads * pace.load_ms;
    case AdapterPlace::kAbsent:
      break;
  }
  double loads =
      kColdLoads + kPerRankLoads * static_cast<double>(candidate.affinity_rank);
  if (candidate.held) {
    loads = kCopyLoads;
  } else if (candidate.affinity_rank == 0) {
    loads = kPreferredLoads;
  } else if (candidate.affinity_rank == 1) {
    loads = kSecondLoads;
  }
  loads += kPerRecentWaitLoads * candidate.recent_waits +
           (candidate.free_places > 0 ? 0 : kNoPlaceLoads);
  const double queue_ms = std::max(candidate.load_wait_ms - pace.load_ms, 0.0);
  return loads * pace.load_ms + queue_ms;
}

// With fewer requests on their way from other routers, the jitter is enough.
constexpr double kMinExpectedArrivals = 1;

// Returns the indexes of the engines that were not tried and are not avoided,
// as far as there are any.
std::vector<std::size_t> LeastDrawback(
    std::span<const EngineCandidate> candidates) {
  std::pair least(true, true);
  for (const EngineCandidate& candidate : candidates) {
    least = std::min(least, std::pair(candidate.tried, candidate.avoided));
  }
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (std::pair(candidates[i].tried, candidates[i].avoided) == least) {
      usable.push_back(i);
    }
  }
  return usable;
}

// Returns by how much one more request of the usual size raises the cost of the
// next one: it is read first, and takes a place of a full batch.
double RequestCostMs(const EngineCandidate& candidate, const EnginePace& pace) {
  const EngineWork work = WorkOf(candidate);
  const double reading_ms = pace.prompt_token_ms * kPriorPromptTokens;
  const double place_ms = work.excess_requests > 0
                              ? pace.request_ms / std::max(work.batch_size, 1)
                              : 0;
  return work.slowness * std::max(reading_ms, place_ms);
}

// Returns the index of the offer with the lowest sum of cost and jitter.
std::optional<std::size_t> ChooseCheapest(
    std::span<const ServerOffer> offers,
    std::span<const EngineCandidate> candidates,
    std::span<const std::size_t> usable,
    const EnginePace& pace) {
  const double max_jitter_ms =
      kJitterPrompts * kPriorPromptTokens * pace.prompt_token_ms;
  std::optional<std::size_t> best;
  std::pair<double, std::size_t> best_cost;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const std::pair cost(offers[i].cost_ms + max_jitter_ms * offers[i].jitter,
                         candidates[usable[i]].affinity_rank);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

// The median of fewer engines is not representative.
constexpr std::ptrdiff_t kMinKnownIntervals = 3;
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 20;

// An instance that uses more than the slots divided by this number considers a
// server busy, since the other instances use the server as well.
constexpr int kOwnSlotsDivisor = 3;
constexpr double kErrorWeight = 20;

}  // namespace

double MedianIntervalMs(std::span<double> intervals_ms) {
  const auto unknown = std::partition(intervals_ms.begin(), intervals_ms.end(),
                                      [](double value) { return value > 0; });
  const auto known = unknown - intervals_ms.begin();
  if (known < kMinKnownIntervals) {
    return 0;
  }
  const auto middle = intervals_ms.begin() + known / 2;
  std::nth_element(intervals_ms.begin(), middle, unknown);
  return *middle;
}

double Slowness(double interval_ms, double median_interval_ms) {
  if (interval_ms <= 0 || median_interval_ms <= 0) {
    return 1;
  }
  return std::clamp(interval_ms / median_interval_ms, kMinSlowness,
                    kMaxSlowness);
}

EngineWork WorkOf(const EngineCandidate& candidate) {
  const double recent_tokens =
      kUnreadShareOfRecentSends * kPriorPromptTokens * candidate.recent_sends;
  const int requests =
      candidate.requests.value_or(candidate.running + candidate.recent_sends +
                                  candidate.queued) +
      candidate.waiting_prompts + candidate.waiting_for_loads;
  EngineWork work;
  work.unread_prompt_tokens = candidate.unread_prompt_tokens.value_or(
      kPriorPromptTokens * candidate.queued + recent_tokens);
  work.streams = candidate.running;
  work.excess_requests = std::max(requests + 1 - candidate.batch_size, 0);
  work.batch_size = candidate.batch_size;
  work.slowness = candidate.slowness;
  return work;
}

double ExpectedDelayMs(const EngineCandidate& candidate,
                       const EnginePace& pace,
                       double prompt_tokens) {
  return LoadMs(candidate, pace) +
         FirstEventMs(pace, WorkOf(candidate), prompt_tokens) -
         pace.first_event_ms;
}

double PlacementCostMs(const EngineCandidate& candidate,
                       const EnginePace& pace,
                       const RequestGoal& goal) {
  EngineWork work = WorkOf(candidate);
  const double first_event_ms =
      LoadMs(candidate, pace) + FirstEventMs(pace, work, goal.prompt_tokens);
  if (!candidate.limits_prompts) {
    work.streams = 0;  // No streams were late because of prompts.
  } else if (candidate.unread_prompt_tokens) {
    // The agent admits prompts one after the other, so that only the size of
    // the prompt itself matters.
    work.unread_prompt_tokens = 0;
  }
  const double pause_ms = PauseMs(pace, work, goal.prompt_tokens);
  const double late_answers =
      LateProbability(first_event_ms, goal.target_latency_ms) +
      work.streams * LateProbability(pause_ms, goal.target_gap_ms);
  const bool needs_load =
      candidate.place == AdapterPlace::kAbsent && !candidate.held;
  return ExpectedDelayMs(candidate, pace, goal.prompt_tokens) +
         goal.target_latency_ms *
             (late_answers + (needs_load ? kLoadWeight : 0) +
              (candidate.same_data_centre ? 0 : kOtherDataCentreWeight));
}

bool NeedsAdmission(const EngineCandidate& candidate,
                    const EnginePace& pace,
                    const RequestGoal& goal) {
  if (!candidate.unread_prompt_tokens) {
    return false;  // The agent does not admit prompts.
  }
  const EngineWork work = WorkOf(candidate);
  const auto window = static_cast<double>(
      candidate.limits_prompts ? PromptWindow(pace, candidate.slowness, goal)
                               : 0);
  const bool long_queue =
      window > 0 && work.unread_prompt_tokens + goal.prompt_tokens >
                        kFreeWindowShare * window;
  const double requests =
      candidate.requests.value_or(0) + candidate.waiting_prompts +
      candidate.waiting_for_loads + candidate.expected_arrivals;
  const bool full = requests + 1 > kFreeBatchShare * candidate.batch_size;
  return full || (work.unread_prompt_tokens > 0 && long_queue);
}

std::optional<std::size_t> ChooseEngine(
    std::span<const EngineCandidate> candidates,
    const EnginePace& pace,
    const RequestGoal& goal) {
  const std::vector<std::size_t> usable = LeastDrawback(candidates);
  std::vector<ServerOffer> offers;
  offers.reserve(usable.size());
  double expected_arrivals = 0;
  for (const std::size_t index : usable) {
    const EngineCandidate& candidate = candidates[index];
    offers.push_back({PlacementCostMs(candidate, pace, goal),
                      RequestCostMs(candidate, pace),
                      candidate.expected_arrivals, candidate.jitter});
    expected_arrivals += candidate.expected_arrivals;
  }
  const std::optional<std::size_t> best =
      expected_arrivals >= kMinExpectedArrivals
          ? ChooseEvenly(offers)
          : ChooseCheapest(offers, candidates, usable, pace);
  return best ? std::optional(usable[*best]) : std::nullopt;
}

void RankByAffinity(std::string_view adapter,
                    std::span<const std::string_view> engines,
                    std::span<std::size_t> ranks) {
  const std::uint64_t seed = Hash64(adapter);
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  order.reserve(engines.size());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    order.emplace_back(Hash64(engines[i], seed), i);
  }
  std::sort(order.begin(), order.end());
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    ranks[order[rank].second] = rank;
  }
}

std::vector<std::size_t> UsablePlainServers(
    std::span<const PlainCandidate> candidates) {
  const auto drawback = [](const PlainCandidate& candidate) {
    return std::pair(candidate.tried, candidate.avoided);
  };
  std::pair least(true, true);
  for (const PlainCandidate& candidate : candidates) {
    least = std::min(least, drawback(candidate));
  }
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (drawback(candidates[i]) == least) {
      usable.push_back(i);
    }
  }
  return usable;
}

int PlainPenalty(const PlainCandidate& candidate) {
  return (candidate.same_data_centre ? 0 : 1) +
         static_cast<int>(kErrorWeight * candidate.error_share);
}

std::optional<std::size_t> ChoosePlainServer(
    std::span<const PlainCandidate> candidates) {
  std::optional<std::size_t> best;
  std::tuple<bool, bool, double, std::uint64_t> best_cost;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlainCandidate& candidate = candidates[i];
    const int own_slots = std::max(candidate.slots / kOwnSlotsDivisor, 1);
    const double load = candidate.in_flight +
                        (candidate.same_data_centre ? 0 : own_slots) +
                        kErrorWeight * candidate.error_share;
    const std::tuple cost(candidate.tried, candidate.avoided, load,
                          candidate.tie_break);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace amaranthcove
