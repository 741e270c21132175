#ifndef AMARANTHCOVE_POLICY_EVICTION_H_
#define AMARANTHCOVE_POLICY_EVICTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "amaranthcove/policy/popularity.h"

namespace amaranthcove::policy {

struct Slot {
  AdapterKey adapter = 0;  // 0: empty.
  bool loading = false;
  std::uint32_t pins = 0;  // Requests that use the slot.
  // Decayed rate of the adapter, from a `PopularityTable` in which each urgent
  // request was recorded with `PolicyWeights::urgent_record`.
  double rate = 0;
  // Waiting requests of the adapter.
  std::uint32_t queued_urgent = 0;
  std::uint32_t queued_patient = 0;
};

// The objective of a service changes these numbers and no code path.
struct PolicyWeights {
  double urgent_record = 4.0;  // Weight of an urgent request in popularity.
  double queued_urgent = 4.0;  // Value of a waiting urgent request.
  double queued_patient = 1.0;
  // Seconds of future requests that a resident adapter is credited with.
  double horizon_s = 20.0;
  // A patient load must be worth this multiple of what it evicts.
  double patient_margin = 1.5;
  // Waiting patient requests that justify a load.
  std::uint32_t patient_group = 4;
  // Seconds of recent urgent arrivals for which places are kept free.
  double reserve_s = 0.5;
};

// Weights for `objective = stalls` and `objective = batch_efficiency`.
PolicyWeights StallWeights();
PolicyWeights BatchWeights();

// Value of keeping the slot's adapter, in weighted requests. `reload_cost` is
// the expected time of a reload relative to a normal one.
double SlotValue(const Slot& slot,
                 const PolicyWeights& weights,
                 double reload_cost = 1.0);

// An empty slot, or the unpinned slot with the lowest value. A slot that is
// loading or pinned is never chosen.
std::optional<std::size_t> ChooseVictim(std::span<const Slot> slots,
                                        const PolicyWeights& weights);

// Whether loading an adapter with `waiting` patient requests and decayed `rate`
// is worth the loss of `victim`. Always true for an empty slot.
bool WorthPatientLoad(std::uint32_t waiting,
                      double rate,
                      const Slot& victim,
                      const PolicyWeights& weights);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_EVICTION_H_
