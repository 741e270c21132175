#ifndef AMARANTHCOVE_QUOTA_QUOTA_DECISION_H_
#define AMARANTHCOVE_QUOTA_QUOTA_DECISION_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "amaranthcove/base/time.h"
#include "amaranthcove/workspaces/workspace.h"

// Decides whether a request is within its workspace's quota. The quota is a
// token bucket over all instances; an instance knows its own use at once and
// that of the others from a ledger, some hundred milliseconds late. Amounts are
// in tokens or requests, as the quota counts.
namespace amaranthcove {

// What the ledger of a workspace has told one instance.
struct QuotaView {
  Time received;
  double level = 0;  // Left in the bucket of all instances; below 0: overdrawn.
  // What callers ask of all instances, and of this one, whether it is admitted
  // or not.
  double asked_per_s = 0;
  double own_asked_per_s = 0;
  // The use of this instance since its start that `level` includes.
  double counted_use = 0;
};

// The part of the quota that an instance has while it knows nothing of the
// others.
struct QuotaPart {
  double level = 0;
  Time updated;
};

// How much one instance may admit for a workspace.
struct QuotaBudget {
  QuotaLimits limits;
  std::optional<QuotaView> view;  // No value without a recent one.
  double use = 0;                 // Of this instance, since its start.
  QuotaPart part;                 // As of the present, by `RefillPart`.
  std::size_t instances = 1;
};

// Why a request was admitted or not.
enum class QuotaBasis {
  kUnlimited,
  kWhole,  // The bucket of all instances covers it.
  kShare,  // The share of this instance decided, by what callers ask of it.
  kPart    // Without a view: an equal part of the quota decided.
};
std::string_view QuotaBasisName(QuotaBasis basis);

struct QuotaDecision {
  bool admitted = true;
  QuotaBasis basis = QuotaBasis::kUnlimited;
  double available = 0;
  Duration view_age = Duration::zero();  // Negative without a view.
  // When a request that was not admitted would be.
  Duration retry_after = Duration::zero();
};

// Returns the share of a quota that an instance may use while it knows nothing
// of the others: an equal one among `instances`, or among a large number of
// them if fewer are known. Thread-safe.
double EqualShare(std::size_t instances);

// Returns `part` at `now`, refilled with the equal share of `limits`. It is
// full at first. Thread-safe.
QuotaPart RefillPart(const QuotaPart& part,
                     const QuotaLimits& limits,
                     std::size_t instances,
                     Time now);

// Decides whether a request that counts for `cost` is admitted. `random` is
// uniformly distributed from 0 to 1. Thread-safe.
//
// Answers a workspace that asks for several times its quota at all instances at
// once: admitted is what the quota has left, split by what callers ask of each
// instance. While the bucket covers what the others may admit before the next
// view, nothing is split, so that an instance with few callers can admit a
// request that is larger than its share.
QuotaDecision DecideQuota(const QuotaBudget& budget,
                          double cost,
                          double random,
                          Time now);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_QUOTA_QUOTA_DECISION_H_
