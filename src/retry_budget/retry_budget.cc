#include "amaranthcove/retry_budget/retry_budget.h"

#include <algorithm>

namespace amaranthcove {

namespace {

constexpr int kSpansPerWindow = 10;
constexpr double kSpentShare = 0.75;

// The minimum part of the extra for each instance. Without it, instances of a
// large deployment could not retry after a single lost connection.
constexpr double kMinExtra = 1;

}  // namespace

RetryBudget::Span& RetryBudget::Current(Time now) {
  const Duration span = limits_.window / kSpansPerWindow;
  const std::int64_t index = now.time_since_epoch() / span;
  // One more span than the window has is kept, because the oldest span is only
  // partly within the window.
  while (!spans_.empty() && spans_.front().index < index - kSpansPerWindow) {
    spans_.pop_front();
  }
  if (spans_.empty() || spans_.back().index < index) {
    spans_.push_back({index, 0, 0});
  }
  return spans_.back();
}

void RetryBudget::AddRequest(Time now) {
  ++Current(now).requests;
}

bool RetryBudget::TrySpend(std::size_t instances, Time now) {
  Span& current = Current(now);
  int requests = 0;
  int retries = 0;
  for (const Span& span : spans_) {
    requests += span.requests;
    retries += span.retries;
  }
  const double extra =
      std::max(limits_.extra / static_cast<double>(instances), kMinExtra);
  const double allowed = kSpentShare * (limits_.ratio * requests + extra);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace amaranthcove
