#include "amaranthcove/policy/eviction.h"

namespace amaranthcove::policy {

PolicyWeights StallWeights() {
  return {};
}

PolicyWeights BatchWeights() {
  PolicyWeights weights;
  weights.urgent_record = 2.0;
  weights.queued_urgent = 2.0;
  weights.patient_margin = 1.0;
  weights.patient_group = 2;
  weights.reserve_s = 0.25;
  return weights;
}

double SlotValue(const Slot& slot,
                 const PolicyWeights& weights,
                 double reload_cost) {
  const double future = slot.rate * weights.horizon_s;
  const double waiting = slot.queued_urgent * weights.queued_urgent +
                         slot.queued_patient * weights.queued_patient;
  return (future + waiting) * reload_cost;
}

std::optional<std::size_t> ChooseVictim(std::span<const Slot> slots,
                                        const PolicyWeights& weights) {
  std::optional<std::size_t> victim;
  double lowest = 0;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    const Slot& slot = slots[i];
    if (slot.loading || slot.pins > 0) {
      continue;
    }
    const double value = slot.adapter == 0 ? -1 : SlotValue(slot, weights);
    if (!victim || value < lowest) {
      victim = i;
      lowest = value;
    }
  }
  return victim;
}

bool IsPatientLoadWorthwhile(std::uint32_t waiting,
                             double rate,
                             const Slot& victim,
                             const PolicyWeights& weights) {
  if (victim.adapter == 0) {
    return true;
  }
  const double gain =
      waiting * weights.queued_patient + rate * weights.horizon_s;
  return gain > weights.patient_margin * SlotValue(victim, weights);
}

}  // namespace amaranthcove::policy
