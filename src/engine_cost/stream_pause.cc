#include "amaranthcove/engine_cost/stream_pause.h"

namespace amaranthcove {

namespace {

// Pauses from this share of the limit are caused by prompts rather than by the
// usual step of the engine.
constexpr double kLongShare = 0.5;

// Pauses above this multiple of the limit are caused by faults.
constexpr int kFaultFactor = 2;

}  // namespace

StreamPause ClassifyPause(Duration pause, Duration limit) {
  if (limit <= Duration::zero() || pause < limit * kLongShare ||
      pause > limit * kFaultFactor) {
    return StreamPause::kUsual;
  }
  return pause > limit ? StreamPause::kLate : StreamPause::kLong;
}

}  // namespace amaranthcove
