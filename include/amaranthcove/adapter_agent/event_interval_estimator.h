#ifndef AMARANTHCOVE_ADAPTER_AGENT_EVENT_INTERVAL_ESTIMATOR_H_
#define AMARANTHCOVE_ADAPTER_AGENT_EVENT_INTERVAL_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "amaranthcove/adapter_agent/adapter_plan.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Estimates the time between the events of a run at an engine from successive
// reports. Only intervals without waiting prompts are counted, because the
// prefill of a prompt delays all runs of a healthy engine as well.
//
// Not thread-safe.
class EventIntervalEstimator {
 public:
  // Adds the engine's next report, received at `now`.
  void Observe(const EngineReport& report, Time now);

  // Returns the mean time between the events of a run over the last seconds, in
  // milliseconds, or 0 if there were too few events.
  double EventIntervalMs(Time now) const;

 private:
  struct Sample {
    Time taken;
    bool has_prefill = false;
    std::map<std::string, std::int64_t> events;  // By run id.
  };

  // Decays the sums up to `now`.
  void Decay(Time now);

  std::optional<Sample> last_;
  // Exponentially decaying sums over the runs: the time that was observed, and
  // the events in it.
  double run_ms_ = 0;
  double events_ = 0;
  Time decayed_at_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_EVENT_INTERVAL_ESTIMATOR_H_
