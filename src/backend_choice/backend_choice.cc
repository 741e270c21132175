#include "amaranthcove/backend_choice/backend_choice.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

// Contributions to the expected delay of the first event, in milliseconds.
constexpr double kLoadingMs = 60;
// An engine that held the adapter recently loads it from its own memory, which
// is likely for the first engines in the order of preference.
constexpr double kPreferredLoadMs = 50;
constexpr double kSecondLoadMs = 200;
constexpr double kColdLoadMs = 260;
// Increases the delay with the rank. Otherwise all routers would send all
// adapters whose first engines are lost or busy to the same idle engine.
constexpr double kPerRankMs = 20;
// For each load that a request started to wait for since the agent's last
// status.
constexpr double kPerRecentWaitMs = 60;
constexpr double kUnknownMs = 600;
// Duration of a load from the weight store without other loads.
constexpr double kUncontendedLoadMs = 250;
// Loading a base model takes seconds.
constexpr double kNoModelMs = 2000;
// With all adapter places in use, a load waits for a request to end.
constexpr double kNoPlaceMs = 100;
// Time from a send to the first event at an engine without a queue.
constexpr double kFirstEventMs = 60;
// A running request slows the steps of the batch and has little other effect.
constexpr double kPerRunningMs = 1.5;
// An engine processes the prompts of queued requests one after the other.
constexpr double kPerQueuedMs = 25;
// The prompts of most requests sent since the agent's last status have been
// processed by now.
constexpr double kPerRecentSendMs = 5;
// A request in excess of the batch size waits for another one to end.
constexpr double kPerExcessRequestMs = 25;
constexpr double kOtherDataCentreMs = 4;

// Engines whose expected delays differ by less share the requests. A popular
// adapter receives some 17 requests between two statuses of an agent, each of
// them takes 25 ms of work, and ten engines hold the adapter.
constexpr double kMaxJitterMs = 60;

double LoadMs(const EngineCandidate& candidate) {
  if (!candidate.has_model) {
    return kNoModelMs;
  }
  switch (candidate.place) {
    case AdapterPlace::kResident:
      return 0;
    case AdapterPlace::kLoading:
      return kLoadingMs;
    case AdapterPlace::kUnknown:
      return kUnknownMs;
    case AdapterPlace::kAbsent:
      break;
  }
  double load_ms =
      kColdLoadMs + kPerRankMs * static_cast<double>(candidate.affinity_rank);
  if (candidate.affinity_rank == 0) {
    load_ms = kPreferredLoadMs;
  } else if (candidate.affinity_rank == 1) {
    load_ms = kSecondLoadMs;
  }
  const double queue_ms =
      std::max(candidate.load_wait_ms - kUncontendedLoadMs, 0.0);
  return load_ms + queue_ms + kPerRecentWaitMs * candidate.recent_waits +
         (candidate.free_places > 0 ? 0 : kNoPlaceMs);
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

double ExpectedDelayMs(const EngineCandidate& candidate) {
  const int active = candidate.running + candidate.recent_sends;
  const int excess =
      std::max(active + candidate.queued + 1 - candidate.batch_size, 0);
  const double work_ms = kFirstEventMs + kPerRunningMs * candidate.running +
                         kPerQueuedMs * candidate.queued +
                         kPerRecentSendMs * candidate.recent_sends +
                         kPerExcessRequestMs * excess;
  return LoadMs(candidate) + work_ms * candidate.slowness - kFirstEventMs +
         (candidate.same_data_centre ? 0 : kOtherDataCentreMs);
}

std::optional<std::size_t> ChooseEngine(
    std::span<const EngineCandidate> candidates) {
  std::optional<std::size_t> best;
  std::tuple<bool, bool, double, std::size_t> best_cost;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const EngineCandidate& candidate = candidates[i];
    const std::tuple cost(
        candidate.tried, candidate.avoided,
        ExpectedDelayMs(candidate) + kMaxJitterMs * candidate.jitter,
        candidate.affinity_rank);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
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
