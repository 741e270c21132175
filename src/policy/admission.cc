#include "amaranthcove/policy/admission.h"

#include <algorithm>
#include <cmath>

namespace amaranthcove::policy {

namespace {

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

Admission Admit(std::size_t queued,
                std::size_t queue_limit,
                Duration estimated_wait,
                Duration remaining_deadline) {
  if (queued >= queue_limit) {
    return Admission::kQueueFull;
  }
  if (estimated_wait >= remaining_deadline) {
    return Admission::kDeadlineMissed;
  }
  return Admission::kAdmit;
}

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : settings_(settings), tokens_(settings.burst) {}

void RetryBudget::OnFirstAttempt() {
  tokens_ = std::min(settings_.burst, tokens_ + settings_.ratio);
}

bool RetryBudget::TakeRetry() {
  // Ten additions of 0.1 may sum to slightly less than 1.
  if (tokens_ < 1 - 1e-9) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

Duration BackoffDelay(std::uint32_t retry,
                      const BackoffSettings& settings,
                      Random& random) {
  const std::uint32_t doublings = std::min<std::uint32_t>(retry, 30);
  const Duration limit = std::min(
      settings.maximum, settings.base * (std::int64_t{1} << doublings));
  return Scale(limit, random.NextUnit());
}

Duration RetryAfter(Duration estimated_wait, Random& random) {
  const Duration least =
      std::max<Duration>(estimated_wait, std::chrono::seconds(1));
  return Scale(least, 1 + random.NextUnit());
}

}  // namespace amaranthcove::policy
