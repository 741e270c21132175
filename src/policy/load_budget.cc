#include "amaranthcove/policy/load_budget.h"

#include <algorithm>

namespace amaranthcove::policy {

namespace {

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double StaticShare(const LoadBudgetSettings& settings) {
  return settings.store_loads_per_s / settings.engines;
}

double NeededTokens(bool urgent, const LoadBudgetSettings& settings) {
  return urgent ? 1 - settings.urgent_borrow : 1 + settings.urgent_reserve;
}

}  // namespace

double ColdStartExcess(const LoadBudgetSettings& settings) {
  return settings.engines * (settings.burst + settings.urgent_borrow);
}

double DemandShare(double own,
                   double total,
                   const LoadBudgetSettings& settings) {
  const double even = StaticShare(settings);
  if (total <= 0) {
    return even;
  }
  const double part = std::clamp(own / total, 0.0, 1.0);
  return 0.5 * even + 0.5 * settings.store_loads_per_s * part;
}

LoadBudget::LoadBudget(LoadBudgetSettings settings, Time now, Random& random)
    : settings_(settings),
      tokens_(settings.burst * random.NextUnit()),
      share_(StaticShare(settings)),
      share_until_(now),
      updated_at_(now),
      no_loads_until_(now),
      last_halved_at_(now - settings.slow_load) {}

double LoadBudget::Rate(Time now) const {
  return factor_ * (now < share_until_ ? share_ : StaticShare(settings_));
}

double LoadBudget::Tokens(Time now) const {
  const Time split =
      std::clamp(share_until_, updated_at_, std::max(updated_at_, now));
  const double gained =
      factor_ * (share_ * ToSeconds(split - updated_at_) +
                 StaticShare(settings_) * ToSeconds(now - split));
  return std::min(settings_.burst, tokens_ + gained);
}

void LoadBudget::UpdateTokens(Time now) {
  tokens_ = Tokens(now);
  updated_at_ = now;
}

Time LoadBudget::NextLoad(bool urgent, Time now) const {
  const double missing = NeededTokens(urgent, settings_) - Tokens(now);
  Time next = std::max(now, no_loads_until_);
  if (missing > 0) {
    // One additional microsecond compensates for rounding.
    const Duration wait = FromSeconds(missing / Rate(now)) + Duration(1);
    next = std::max(next, now + wait);
  }
  return next;
}

bool LoadBudget::Take(bool urgent, Time now) {
  if (NextLoad(urgent, now) > now) {
    return false;
  }
  UpdateTokens(now);
  tokens_ -= 1;
  return true;
}

void LoadBudget::OnLoaded(Duration took, Time now) {
  UpdateTokens(now);
  if (took <= settings_.fast_load) {
    factor_ = std::min(settings_.maximum_factor,
                       factor_ + settings_.increase_per_load);
    return;
  }
  if (took <= settings_.slow_load) {
    factor_ = factor_ > 1
                  ? std::max(1.0, factor_ * settings_.decrease)
                  : std::min(1.0, factor_ + settings_.increase_per_load);
    return;
  }
  // Loads that started before the last halving do not show the effect of the
  // new rate.
  if (now - took >= last_halved_at_) {
    factor_ = std::max(settings_.minimum_factor, factor_ / 2);
    last_halved_at_ = now;
  }
}

void LoadBudget::OnRefused(Duration retry_after, Time now, Random& random) {
  UpdateTokens(now);
  factor_ = std::max(settings_.minimum_factor, factor_ / 2);
  last_halved_at_ = now;
  const double jitter = 1 + 0.5 * random.NextUnit();
  no_loads_until_ = now + FromSeconds(ToSeconds(retry_after) * jitter);
}

void LoadBudget::SetShare(double loads_per_s, Time now) {
  UpdateTokens(now);
  share_ = loads_per_s;
  share_until_ = now + settings_.share_lifetime;
}

}  // namespace amaranthcove::policy
