#ifndef AMARANTHCOVE_ENGINE_COST_PACE_ESTIMATOR_H_
#define AMARANTHCOVE_ENGINE_COST_PACE_ESTIMATOR_H_

#include "amaranthcove/base/time.h"
#include "amaranthcove/engine_cost/engine_cost.h"

namespace amaranthcove {

// Estimates the pace of a service's engines from the first events of requests,
// by a linear fit of the time to the first event over the prompt tokens that
// were read before it. Starts at `kPriorPace`, which counts like a few
// requests, and returns to it without requests.
//
// Not thread-safe.
class PaceEstimator {
 public:
  // Adds a request whose first event came `first_event_ms` after the send, at
  // an engine of the given slowness that had to read `tokens` before it,
  // including the request's own prompt. Times that are far above the
  // expectation, as of faulty engines, are counted as a multiple of it.
  void Observe(double tokens, double first_event_ms, double slowness, Time now);

  // Adds a request whose answer ended `request_ms` after the send.
  void ObserveEnd(double request_ms, double slowness, Time now);

  // Returns the estimate. `event_interval_ms` is the median over the engines;
  // if it is 0, the prior is used.
  EnginePace Pace(double event_interval_ms) const;

  // Returns the time of the last request; the epoch if there was none.
  Time updated() const { return updated_; }

 private:
  // Exponentially decaying sums over the requests.
  double weight_ = 0;
  double tokens_ = 0;
  double times_ = 0;
  double tokens_squared_ = 0;
  double products_ = 0;
  Time updated_;
  double request_ms_ = kPriorPace.request_ms;  // A moving average.
  Time request_updated_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENGINE_COST_PACE_ESTIMATOR_H_
