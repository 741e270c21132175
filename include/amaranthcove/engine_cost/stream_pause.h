#ifndef AMARANTHCOVE_ENGINE_COST_STREAM_PAUSE_H_
#define AMARANTHCOVE_ENGINE_COST_STREAM_PAUSE_H_

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// What a pause between two events of a stream says about the prompts that its
// engine reads meanwhile.
enum class StreamPause {
  kUsual,  // Short, or so long that only a fault can have caused it.
  kLong,   // Prompts may have caused it; it is within its limit.
  kLate,   // Prompts may have caused it; it is above its limit.
};

// Classifies a pause whose stream should pause for `limit` at most; without a
// limit (0) every pause is usual. Thread-safe.
StreamPause ClassifyPause(Duration pause, Duration limit);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENGINE_COST_STREAM_PAUSE_H_
