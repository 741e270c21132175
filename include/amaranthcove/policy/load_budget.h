#ifndef AMARANTHCOVE_POLICY_LOAD_BUDGET_H_
#define AMARANTHCOVE_POLICY_LOAD_BUDGET_H_

#include <cstdint>

#include "amaranthcove/base/time.h"
#include "amaranthcove/policy/random.h"

namespace amaranthcove::policy {

struct LoadBudgetSettings {
  double store_loads_per_s = 3.0;  // Rate limit of the whole deployment.
  std::uint32_t engines = 1;       // Engines that share the weight store.
  double burst = 2.0;              // Maximum number of tokens.
  double urgent_reserve = 0.5;     // Tokens that patient loads must leave.
  // Number of tokens that urgent loads may borrow. With 3, the excess of a cold
  // start of 12 engines is 60 loads, below the 64 that the store queues.
  double urgent_borrow = 3.0;
  // A load that takes longer halves the rate. The store delays loads even when
  // only a few sidecars request loads at the same time: with 0.5 s, the rates
  // fell to between 0.4 and 0.8 of the share while the store had at most 3
  // loads in flight.
  Duration slow_load = std::chrono::seconds(2);
  // A load within this time shows that the store has spare capacity.
  Duration fast_load = std::chrono::milliseconds(350);
  // Limits of the ratio of the rate to the share. Demand is uneven: with a
  // maximum of 1, an engine waited for loads while the store used 1.7 of its 3
  // loads per second.
  double minimum_factor = 1.0 / 16;
  double maximum_factor = 2.0;
  // Factor by which a load that is neither fast nor slow reduces a rate above
  // the share.
  double decrease = 0.5;
  // Increase of the ratio of the rate to the share, per load.
  double increase_per_load = 0.25;
  // Time after which a share by demand is replaced by the static share.
  Duration share_lifetime = std::chrono::seconds(10);
};

// Returns the maximum number of loads by which all sidecars together can exceed
// `store_loads_per_s * t` in any time span t that begins with a cold start.
// Each sidecar can use its initial tokens and its urgent borrowing once.
// Thread-safe.
double ColdStartExcess(const LoadBudgetSettings& settings);

// Returns the share of a sidecar in the store's rate, in loads per second.
// `own` and `total` are the wanted loads per second of this sidecar and of all
// sidecars. Half of the rate is divided evenly and half by demand, so the
// shares add up to the store's rate if all sidecars use the same `total`.
// Thread-safe.
double DemandShare(double own,
                   double total,
                   const LoadBudgetSettings& settings);

// Token bucket of a sidecar for loads from the weight store. Not thread-safe.
// Precondition: `now` does not decrease between calls.
class LoadBudget {
 public:
  // Starts with a random number of tokens, so that engines that start at the
  // same time do not load at the same time.
  LoadBudget(LoadBudgetSettings settings, Time now, Random& random);

  // Returns the earliest time at which `Take` would succeed.
  Time NextLoad(bool urgent, Time now) const;

  // Takes one token for a load. Returns false if the budget does not allow the
  // load yet.
  bool Take(bool urgent, Time now);

  // Adapts the rate to a load that took `took`. If it took longer than
  // `slow_load`, the rate is halved. If it took at most `fast_load`, the rate
  // increases up to `maximum_factor` times the share. Otherwise, a rate below
  // the share increases and a rate above the share decreases.
  void OnLoaded(Duration took, Time now);

  // Adapts to the refusal of a load by the store: halves the rate and allows no
  // loads for `retry_after` plus a jitter of up to half of it.
  void OnRefused(Duration retry_after, Time now, Random& random);

  // Replaces the static share for `share_lifetime` by `loads_per_s`; see
  // `DemandShare`.
  void SetShare(double loads_per_s, Time now);

  // Returns the current rate in loads per second.
  double Rate(Time now) const;

 private:
  double Tokens(Time now) const;
  void UpdateTokens(Time now);

  LoadBudgetSettings settings_;
  double tokens_;
  double factor_ = 1.0;  // Current ratio of the rate to the share.
  double share_;
  Time share_until_;
  Time updated_at_;
  Time no_loads_until_;
  Time last_halved_at_;
};

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_LOAD_BUDGET_H_
