#ifndef AMARANTHCOVE_PLATFORM_CLIENT_CALL_BUDGET_H_
#define AMARANTHCOVE_PLATFORM_CLIENT_CALL_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <deque>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// The platform handles about 2,000 calls per second. This limit keeps 34
// readers at 170 calls per second even if all of them misbehave.
inline constexpr std::size_t kMaxPlatformCallsPerSecond = 5;

// Limits calls to `kMaxPlatformCallsPerSecond` in any period of one second.
//
// Thread safety: none.
class CallBudget {
 public:
  // Returns the earliest time at or after `now` at which a call may start.
  Time NextAllowed(Time now) const;

  // Records that a call starts. Precondition: `NextAllowed(now)` is `now`.
  void Record(Time now);

 private:
  std::deque<Time> recent_;
};

// Returns the delay before the next call after `failures` earlier failures in a
// row. It is the fraction `random`, in [0, 1), of a limit that starts at 200 ms
// and doubles with each failure up to 5 s (exponential backoff with full
// jitter). Thread-safe.
Duration RetryDelay(int failures, double random);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PLATFORM_CLIENT_CALL_BUDGET_H_
