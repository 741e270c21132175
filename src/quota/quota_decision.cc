#include "amaranthcove/quota/quota_decision.h"

#include <algorithm>

namespace amaranthcove {

namespace {

// The longest time until the ledger tells what others have admitted meanwhile,
// while a workspace is near its limit.
constexpr Duration kBlindTime = std::chrono::milliseconds(250);

// The time over which the ledger averages what callers ask.
constexpr double kAskedAverageS = 0.5;

// Among this many instances at least the quota is split while an instance knows
// nothing of the others, since it may not know how many there are.
constexpr std::size_t kMinSplit = 50;

// An instance that uses more of the burst between two views may see a part of a
// surge that the others see too.
constexpr double kMaxUseBetweenViews = 0.25;

// Bounds of the time after which a caller may return. Callers follow longer
// times only in part.
constexpr double kMinRetryS = 0.1;
constexpr double kMaxRetryS = 5;

// Returns the time in which `missing` is refilled, spread over as much again so
// that the callers of a burst do not return together.
Duration RetryAfter(double missing, double refill_per_s, double random) {
  const double seconds = missing / std::max(refill_per_s, 1e-9);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::clamp(seconds * (1 + random), kMinRetryS, kMaxRetryS)));
}

// Admits a request for `cost` if it is covered, and otherwise with a
// probability that makes the mean use exact: the share of an instance may never
// cover a large request.
QuotaDecision Decide(QuotaBasis basis,
                     double available,
                     double refill_per_s,
                     double cost,
                     double random) {
  QuotaDecision decision;
  decision.basis = basis;
  decision.available = available;
  decision.admitted = random * cost < available;
  if (!decision.admitted) {
    decision.retry_after = RetryAfter(cost - available, refill_per_s, random);
  }
  return decision;
}

}  // namespace

std::string_view QuotaBasisName(QuotaBasis basis) {
  switch (basis) {
    case QuotaBasis::kUnlimited:
      return "unlimited";
    case QuotaBasis::kWhole:
      return "whole";
    case QuotaBasis::kShare:
      return "share";
    case QuotaBasis::kPart:
      return "part";
  }
  return "unknown";
}

double EqualShare(std::size_t instances) {
  return 1 / static_cast<double>(std::max(instances, kMinSplit));
}

QuotaPart RefillPart(const QuotaPart& part,
                     const QuotaLimits& limits,
                     std::size_t instances,
                     Time now) {
  const double share = EqualShare(instances);
  QuotaPart refilled;
  refilled.updated = now;
  refilled.level = limits.burst * share;
  if (part.updated != Time()) {
    refilled.level = std::min(
        refilled.level,
        part.level + limits.rate_per_s * share * ToSeconds(now - part.updated));
  }
  return refilled;
}

QuotaDecision DecideQuota(const QuotaBudget& budget,
                          double cost,
                          double random,
                          Time now) {
  const QuotaLimits& limits = budget.limits;
  if (limits.rate_per_s <= 0) {
    return {};
  }
  // A full bucket admits a request that is larger than the bucket.
  const double needed = limits.burst > 0 ? std::min(cost, limits.burst) : cost;
  if (!budget.view) {
    return Decide(QuotaBasis::kPart, budget.part.level,
                  limits.rate_per_s * EqualShare(budget.instances), needed,
                  random);
  }
  const QuotaView& view = *budget.view;
  const double own_use = budget.use - view.counted_use;
  const double level =
      std::min(limits.burst,
               view.level + limits.rate_per_s * ToSeconds(now - view.received));
  const double others_per_s =
      std::max(view.asked_per_s - view.own_asked_per_s, 0.0);
  const Duration blind = now - view.received + kBlindTime;
  const double whole = level - own_use - others_per_s * ToSeconds(blind);
  const bool is_usual_use =
      own_use + needed <= kMaxUseBetweenViews * limits.burst;
  if (whole >= needed && is_usual_use) {
    QuotaDecision decision;
    decision.basis = QuotaBasis::kWhole;
    decision.available = whole;
    return decision;
  }
  const double this_request_per_s = cost / kAskedAverageS;
  const double share =
      (view.own_asked_per_s + this_request_per_s) /
      (std::max(view.asked_per_s, view.own_asked_per_s) + this_request_per_s);
  return Decide(QuotaBasis::kShare, share * level - own_use,
                share * limits.rate_per_s, needed, random);
}

}  // namespace amaranthcove
