#ifndef AMARANTHCOVE_PLATFORM_CLIENT_CALL_BUDGET_H_
#define AMARANTHCOVE_PLATFORM_CLIENT_CALL_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <deque>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// The platform takes about 2,000 calls a second. With 34 readers, this limit
// holds them to 170 even if all of them misbehave.
inline constexpr std::size_t kMaxPlatformCallsPerSecond = 5;

// Limits calls to kMaxPlatformCallsPerSecond in any period of one second.
// Thread safety: none.
class CallBudget {
 public:
  // The earliest time at or after `now` at which a call may start.
  Time NextAllowed(Time now) const;

  // A call starts. Precondition: `NextAllowed(now)` is `now`.
  void Record(Time now);

 private:
  std::deque<Time> recent_;
};

// A random delay before try number `failures` + 1 (full jitter): a share,
// `random` in [0, 1), of 200 ms doubled with each failure, at most 5 s.
Duration RetryDelay(int failures, double random);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PLATFORM_CLIENT_CALL_BUDGET_H_
