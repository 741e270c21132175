#include "amaranthcove/platform_client/call_budget.h"

#include <algorithm>

namespace amaranthcove {

namespace {

constexpr Duration kPeriod = std::chrono::seconds(1);
constexpr Duration kFirstRetry = std::chrono::milliseconds(200);
// A change must take effect within seconds after the platform recovers.
constexpr Duration kLongestRetry = std::chrono::seconds(5);

}  // namespace

Time CallBudget::NextAllowed(Time now) const {
  if (recent_.size() < kMaxPlatformCallsPerSecond) {
    return now;
  }
  return std::max(now, recent_.front() + kPeriod);
}

void CallBudget::Record(Time now) {
  recent_.push_back(now);
  if (recent_.size() > kMaxPlatformCallsPerSecond) {
    recent_.pop_front();
  }
}

Duration RetryDelay(int failures, double random) {
  // Five doublings exceed `kLongestRetry`; the bound avoids an overflow.
  const int doublings = std::clamp(failures, 0, 5);
  const Duration longest =
      std::min(kFirstRetry * (1 << doublings), kLongestRetry);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(longest.count()) * random));
}

}  // namespace amaranthcove
