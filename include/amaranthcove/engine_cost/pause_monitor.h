#ifndef AMARANTHCOVE_ENGINE_COST_PAUSE_MONITOR_H_
#define AMARANTHCOVE_ENGINE_COST_PAUSE_MONITOR_H_

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Finds out whether reading prompts makes the streams of a service late. How
// much an engine reads between two steps of its batch, and how many steps an
// event takes, differ between engines: at some, no amount of prompts causes a
// pause that is too long, and holding prompts back would only delay them.
//
// Not thread-safe.
class PauseMonitor {
 public:
  // Adds a pause between two events of a stream, whose longest pause should be
  // `limit`. Returns whether the pause counts: whether it is so long that
  // prompts may have caused it, and not so long that only a fault can have.
  bool Observe(Duration pause, Duration limit, Time now);

  // Returns whether prompts make streams late: whether a considerable share of
  // the pauses that they cause was too long, and some still are.
  bool has_late_pauses() const { return has_late_pauses_; }

 private:
  // Exponentially decaying counts.
  double long_ = 0;
  double late_ = 0;
  Time updated_;
  bool has_late_pauses_ = false;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENGINE_COST_PAUSE_MONITOR_H_
