#include "amaranthcove/engine_cost/pause_monitor.h"

#include <cmath>

#include "amaranthcove/engine_cost/stream_pause.h"

namespace amaranthcove {

namespace {

constexpr double kDecayTimeS = 60;

// Fewer pauses do not tell which share is late.
constexpr double kMinLongPauses = 20;
// Prompts are found to make streams late above the first share of late pauses,
// and no longer below the second one: while prompts are held back, few are
// late.
constexpr double kLateShare = 0.15;
constexpr double kStillLateShare = 0.03;

}  // namespace

bool PauseMonitor::Observe(Duration pause, Duration limit, Time now) {
  const StreamPause kind = ClassifyPause(pause, limit);
  if (kind == StreamPause::kUsual) {
    return false;
  }
  const double decay = std::exp(-ToSeconds(now - updated_) / kDecayTimeS);
  updated_ = now;
  long_ = long_ * decay + 1;
  late_ = late_ * decay + (kind == StreamPause::kLate ? 1 : 0);
  if (long_ >= kMinLongPauses) {
    const double threshold = has_late_pauses_ ? kStillLateShare : kLateShare;
    has_late_pauses_ = late_ >= threshold * long_;
  }
  return true;
}

}  // namespace amaranthcove
