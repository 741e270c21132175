#include "testing/tools/baseline/baselines.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace amaranthcove::baseline {

namespace {

using policy::Candidate;
using policy::Choice;
using policy::ChoiceReason;
using policy::Slot;
using policy::Step;
using policy::StepKind;

constexpr std::size_t kMaxSlots = 32;
constexpr std::size_t kMaxConcurrentLoads = 2;
constexpr std::size_t kAllCandidates = 16;

// Time at which each slot was last assigned a request or a load. Global because
// a `NextStepFunction` is stateless; a process has only one engine.
std::array<Time, kMaxSlots> last_started{};

std::optional<Choice> ChooseLeastLoaded(std::span<const Candidate> candidates,
                                        std::size_t /*replicas*/,
                                        const policy::ChoiceSettings&,
                                        policy::Random& random) {
  std::optional<Choice> best;
  if (candidates.empty()) {
    return best;
  }
  const auto load = [&](std::size_t i) {
    return candidates[i].load + candidates[i].unreported;
  };
  const std::size_t first = random.NextBelow(candidates.size());
  for (std::size_t k = 0; k < candidates.size(); ++k) {
    const std::size_t i = (first + k) % candidates.size();
    if (!candidates[i].leaving && (!best || load(i) < load(best->index))) {
      best = Choice{i, ChoiceReason::kShorterWait};
    }
  }
  return best;
}

std::optional<Choice> ChooseByHash(std::span<const Candidate> candidates,
                                   std::size_t /*replicas*/,
                                   const policy::ChoiceSettings&,
                                   policy::Random&) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].leaving) {
      return Choice{i, ChoiceReason::kFirstCandidate};
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> LeastRecentlyUsed(std::span<const Slot> slots) {
  std::optional<std::size_t> victim;
  for (std::size_t s = 0; s < std::min(slots.size(), kMaxSlots); ++s) {
    if (!slots[s].loading && slots[s].pins == 0 &&
        (!victim || last_started[s] < last_started[*victim])) {
      victim = s;
    }
  }
  return victim;
}

std::optional<std::size_t> SlotOf(std::span<const Slot> slots,
                                  policy::AdapterKey adapter) {
  for (std::size_t s = 0; s < std::min(slots.size(), kMaxSlots); ++s) {
    if (slots[s].adapter == adapter) {
      return s;
    }
  }
  return std::nullopt;
}

// Starts or loads for urgent requests before patient ones, each in order of
// arrival. Requests whose adapter is resident start before any load.
Step NextStepInOrder(std::span<const policy::WaitingRequest> requests,
                     const policy::EngineView& engine,
                     const policy::PopularityTable&,
                     const policy::QueueSettings&,
                     Time now) {
  Step hold;
  std::optional<std::size_t> first_to_load;
  std::optional<Step> start;
  for (const bool urgent : {true, false}) {
    for (std::size_t i = 0; i < requests.size(); ++i) {
      const policy::WaitingRequest& request = requests[i];
      if (request.urgent != urgent) {
        continue;
      }
      if (request.deadline <= now) {
        return {.kind = StepKind::kRefuse, .request = i};
      }
      hold.hold_until = std::min(hold.hold_until, request.deadline);
      const auto slot = SlotOf(engine.slots, request.adapter);
      if (!slot) {
        first_to_load = first_to_load ? first_to_load : i;
      } else if (!start && !engine.slots[*slot].loading &&
                 engine.running < engine.batch_places) {
        start = {.kind = StepKind::kStart, .request = i, .slot = *slot};
      }
    }
  }
  if (start) {
    last_started[start->slot] = now;
    return *start;
  }
  const auto loads = static_cast<std::size_t>(
      std::count_if(engine.slots.begin(), engine.slots.end(),
                    [](const Slot& slot) { return slot.loading; }));
  if (!first_to_load || loads >= kMaxConcurrentLoads) {
    return hold;
  }
  // After the weight store refused a load, the budget allows none until this
  // time.
  if (engine.urgent_load_at > now) {
    hold.hold_until = std::min(hold.hold_until, engine.urgent_load_at);
    return hold;
  }
  if (const auto victim = LeastRecentlyUsed(engine.slots)) {
    last_started[*victim] = now;
    return {.kind = StepKind::kLoad,
            .slot = *victim,
            .adapter = requests[*first_to_load].adapter,
            .urgent = true};
  }
  return hold;
}

}  // namespace

std::optional<DaemonPolicy> FindBaseline(std::string_view name) {
  if (name == "policy") {
    return DaemonPolicy{};
  }
  if (name == "least_loaded") {
    return DaemonPolicy{&NextStepInOrder, &ChooseLeastLoaded, kAllCandidates};
  }
  if (name == "hashing") {
    return DaemonPolicy{&NextStepInOrder, &ChooseByHash,
                        kDefaultSpareCandidates};
  }
  return std::nullopt;
}

}  // namespace amaranthcove::baseline
