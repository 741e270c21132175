#ifndef AMARANTHCOVE_POLICY_QUEUE_H_
#define AMARANTHCOVE_POLICY_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "amaranthcove/base/time.h"
#include "amaranthcove/policy/eviction.h"
#include "amaranthcove/policy/popularity.h"

namespace amaranthcove::policy {

// A request in the queue of a sidecar.
struct WaitingRequest {
  AdapterKey adapter = 0;
  Time arrival{};
  Time deadline{};
  bool urgent = false;
  bool run_alone = false;  // No other request may run at the same time.
};

struct QueueSettings {
  PolicyWeights weights{};
  std::uint32_t maximum_loads = 2;  // Maximum loads in flight on an engine.
  // If a request has waited for this time because all slots are in use or
  // because it must run alone, later requests that would delay it further are
  // held.
  Duration drain_after = std::chrono::milliseconds(250);
};

// The state of an engine as known to its sidecar. `queued_urgent` and
// `queued_patient` of the slots are ignored; `NextStep` counts the queued
// requests itself.
struct EngineView {
  std::span<const Slot> slots{};
  std::uint32_t batch_places = 0;
  std::uint32_t running = 0;
  bool alone_running = false;  // A request that must run alone is running.
  double urgent_rate = 0;      // Recent urgent requests per second.
  // Earliest times of the next load; see `LoadBudget::NextLoad`.
  Time urgent_load_at{};
  Time patient_load_at{};
};

enum class StepKind : std::uint8_t {
  kStart,   // Start `request` on `slot`.
  kLoad,    // Load `adapter` into `slot`, evicting its current adapter.
  kRefuse,  // Refuse `request`, because its deadline has passed.
  kHold     // Wait until `hold_until` or the next event.
};

// A decision on the queue. `request` and `slot` are indices.
struct Step {
  StepKind kind = StepKind::kHold;
  std::size_t request = 0;
  std::size_t slot = 0;
  AdapterKey adapter = 0;
  bool urgent = false;  // For kLoad, the argument of `LoadBudget::Take`.
  Time hold_until = Time::max();
};

// Returns the time at which a patient request is promoted, half-way between its
// arrival and its deadline. Thread-safe.
Time PromotionTime(const WaitingRequest& request);

// Returns the number of batch places that are reserved for urgent requests.
// Thread-safe.
std::uint32_t ReservedPlaces(const EngineView& engine,
                             const PolicyWeights& weights);

// Returns the next step for the queue. The caller carries out the step and
// calls the function again until it returns kHold. `popularity` contains the
// rates of adapters that are not resident. Only the first 32 slots are used.
// Takes time proportional to the number of requests times the number of slots.
// Thread-safe.
Step NextStep(std::span<const WaitingRequest> requests,
              const EngineView& engine,
              const PopularityTable& popularity,
              const QueueSettings& settings,
              Time now);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_QUEUE_H_
