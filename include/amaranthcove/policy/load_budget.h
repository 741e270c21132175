#ifndef AMARANTHCOVE_POLICY_LOAD_BUDGET_H_
#define AMARANTHCOVE_POLICY_LOAD_BUDGET_H_

#include <cstdint>

#include "amaranthcove/base/time.h"
#include "amaranthcove/policy/random.h"

namespace amaranthcove::policy {

struct LoadBudgetSettings {
  double store_loads_per_s = 3.0;  // Of the whole deployment.
  std::uint32_t engines = 1;       // That share the weight store.
  double burst = 2.0;              // Most loads saved up.
  double urgent_reserve = 0.5;     // Saved loads that patient work leaves.
  // Loads that urgent work may be in debt. With 3, the excess of a cold start
  // of 12 engines is 60 loads, below the 64 that the store queues.
  double urgent_borrow = 3.0;
  // A load that took longer halves the rate. The store itself makes loads wait
  // when a few sidecars ask at once: with 0.5 s, the rates fell to between 0.4
  // and 0.8 of the share while the store had 3 loads in flight at most.
  Duration slow_load = std::chrono::seconds(2);
  // A load within this time shows that the store has capacity left.
  Duration fast_load = std::chrono::milliseconds(350);
  double minimum_factor = 1.0 / 16;
  // Demand is uneven: with no more than the share, an engine waited for loads
  // while the store used 1.7 of its 3 loads per second.
  double maximum_factor = 2.0;
  // Applied to a rate above the share by a load that is neither fast nor slow.
  double decrease = 0.5;
  double increase_per_load = 0.25;
  // A share by demand falls back to the static share after this time.
  Duration share_lifetime = std::chrono::seconds(10);
};

// Most loads by which all sidecars together can exceed
// `store_loads_per_s * t` over any span t that begins with a cold start: each
// spends its initial tokens and its urgent debt once.
double ColdStartExcess(const LoadBudgetSettings& settings);

// Share of the store in loads per second by demand: `own` and `total` are
// wanted loads per second. Half is split evenly, half by demand, so the sum
// over all sidecars is the store's rate when all use the same `total`.
double DemandShare(double own,
                   double total,
                   const LoadBudgetSettings& settings);

// Token bucket of one sidecar for loads from the weight store. Not
// thread-safe. `now` must not go back between calls.
class LoadBudget {
 public:
  // The first tokens are drawn at random, so that engines that start together
  // do not load together.
  LoadBudget(LoadBudgetSettings settings, Time now, Random& random);

  // Earliest time at which `Take` would succeed.
  Time NextLoad(bool urgent, Time now) const;

  // Pays for one load; false if the budget does not allow it yet.
  bool Take(bool urgent, Time now);

  // A load took `took`: over `slow_load` halves the rate. Within `fast_load`
  // the rate grows, up to `maximum_factor` times the share; between the two, a
  // rate below the share grows and one above it shrinks.
  void OnLoaded(Duration took, Time now);

  // The store refused a load: halves the rate and stays quiet for
  // `retry_after` with up to half of it added as jitter.
  void OnRefused(Duration retry_after, Time now, Random& random);

  // Replaces the static share for `share_lifetime`; see `DemandShare`.
  void SetShare(double loads_per_s, Time now);

  // Present rate in loads per second.
  double Rate(Time now) const;

 private:
  double Tokens(Time now) const;
  void Settle(Time now);

  LoadBudgetSettings settings_;
  double tokens_;
  double factor_ = 1.0;  // Adaptation to the state of the store.
  double share_;
  Time share_until_;
  Time settled_;
  Time quiet_until_;
  Time halved_;
};

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_LOAD_BUDGET_H_
