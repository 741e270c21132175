#include "amaranthcove/backends/backend_pause.h"

#include <algorithm>

namespace amaranthcove {

namespace {

constexpr Duration kMaxPause = std::chrono::minutes(5);

// Share of the pause over which processes return, and its upper bound.
constexpr double kReturnShare = 0.2;
constexpr Duration kMaxReturnSpread = std::chrono::seconds(1);

}  // namespace

void ExtendPause(BackendPause& pause, Duration asked, double random, Time now) {
  const Duration bounded = std::clamp(asked, Duration::zero(), kMaxPause);
  const Duration spread =
      std::min(std::chrono::duration_cast<Duration>(bounded * kReturnShare),
               kMaxReturnSpread);
  const Time until =
      now + bounded + std::chrono::duration_cast<Duration>(spread * random);
  pause.until = std::max(pause.until, until);
}

Duration PauseLeft(const BackendPause& pause, Time now) {
  return std::max(pause.until - now, Duration::zero());
}

}  // namespace amaranthcove
