#ifndef AMARANTHCOVE_POLICY_EVICTION_H_
#define AMARANTHCOVE_POLICY_EVICTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "amaranthcove/policy/popularity.h"

namespace amaranthcove::policy {

// An adapter slot of an engine.
struct Slot {
  AdapterKey adapter = 0;  // 0 if the slot is empty.
  bool loading = false;
  std::uint32_t pins = 0;  // Number of requests that use the slot.
  // Decayed request rate of the adapter, from a `PopularityTable` in which each
  // urgent request was recorded with the weight `PolicyWeights::urgent_record`.
  double rate = 0;
  // Number of waiting requests for the adapter.
  std::uint32_t queued_urgent = 0;
  std::uint32_t queued_patient = 0;
};

// Weights of the queue and eviction policy. The objective of a service selects
// the weights only; the code paths are the same for all objectives.
struct PolicyWeights {
  double urgent_record = 4.0;  // Weight of an urgent request in popularity.
  double queued_urgent = 4.0;  // Value of a waiting urgent request.
  double queued_patient = 1.0;
  // Time span of future requests that count towards the value of a resident
  // adapter, in seconds.
  double horizon_s = 20.0;
  // Minimum ratio of the value of a patient load to the value of its victim.
  double patient_margin = 1.5;
  // Number of waiting patient requests that justify a load.
  std::uint32_t patient_group = 4;
  // Batch places are reserved for the urgent requests that are expected to
  // arrive within this time, in seconds.
  double reserve_s = 0.5;
};

// Return the weights for the objectives `stalls` and `batch_efficiency`.
// Thread-safe.
PolicyWeights StallWeights();
PolicyWeights BatchWeights();

// Returns the value of keeping the slot's adapter, in weighted requests.
// `reload_cost` is the expected duration of a reload, relative to a normal
// load. Thread-safe.
double SlotValue(const Slot& slot,
                 const PolicyWeights& weights,
                 double reload_cost = 1.0);

// Returns the index of an empty slot if there is one, or else of the unpinned
// slot with the lowest value. Returns nullopt if all slots are loading or
// pinned. Thread-safe.
std::optional<std::size_t> ChooseVictim(std::span<const Slot> slots,
                                        const PolicyWeights& weights);

// Returns whether loading an adapter with `waiting` patient requests and the
// decayed request rate `rate` is worth the eviction of `victim`. Always true if
// `victim` is empty. Thread-safe.
bool IsPatientLoadWorthwhile(std::uint32_t waiting,
                             double rate,
                             const Slot& victim,
                             const PolicyWeights& weights);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_EVICTION_H_
