#ifndef AMARANTHCOVE_POLICY_QUEUE_H_
#define AMARANTHCOVE_POLICY_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "amaranthcove/base/time.h"
#include "amaranthcove/policy/eviction.h"
#include "amaranthcove/policy/popularity.h"

namespace amaranthcove::policy {

struct WaitingRequest {
  AdapterKey adapter = 0;
  Time arrival{};
  Time deadline{};
  bool urgent = false;
  bool run_alone = false;  // Nothing else may run on the engine meanwhile.
};

struct QueueSettings {
  PolicyWeights weights{};
  std::uint32_t maximum_loads = 2;  // In flight on one engine.
  // A request that cannot start for this long because all slots are in use, or
  // because it must run alone, stops later requests from prolonging that.
  Duration drain_after = std::chrono::milliseconds(250);
};

// State of one engine as its sidecar knows it. `queued_*` of the slots need
// not be filled in; `NextStep` counts them from the queue.
struct EngineView {
  std::span<const Slot> slots{};
  std::uint32_t batch_places = 0;
  std::uint32_t running = 0;
  bool alone_running = false;
  double urgent_rate = 0;  // Recent urgent requests per second on this engine.
  // When the load budget next allows a load; see `LoadBudget::NextLoad`.
  Time urgent_load_at{};
  Time patient_load_at{};
};

enum class StepKind : std::uint8_t {
  kStart,   // Start `request` on `slot`.
  kLoad,    // Load `adapter` into `slot`, evicting what it holds.
  kRefuse,  // Refuse `request`: its deadline has passed.
  kHold     // Nothing to do until `hold_until` or the next event.
};

struct Step {
  StepKind kind = StepKind::kHold;
  std::size_t request = 0;
  std::size_t slot = 0;
  AdapterKey adapter = 0;
  bool urgent = false;  // kLoad: which part of the load budget pays.
  Time hold_until = Time::max();
};

// Time from which a patient request counts as promoted: half of its deadline.
Time PromotionTime(const WaitingRequest& request);

// Batch places kept free for urgent requests.
std::uint32_t ReservedPlaces(const EngineView& engine,
                             const PolicyWeights& weights);

// The next thing to do. The caller applies the step and asks again until it
// gets kHold. `popularity` gives the rates of adapters that are not resident.
// At most 32 slots. Time: requests times slots. Thread-safe.
Step NextStep(std::span<const WaitingRequest> requests,
              const EngineView& engine,
              const PopularityTable& popularity,
              const QueueSettings& settings,
              Time now);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_QUEUE_H_
