#ifndef AMARANTHCOVE_ADAPTER_AGENT_ENGINE_PACE_H_
#define AMARANTHCOVE_ADAPTER_AGENT_ENGINE_PACE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "amaranthcove/adapter_agent/adapter_plan.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Measures how fast an engine makes the events of its runs, from successive
// reports. Only times without waiting prompts count, because reading a prompt
// holds up all runs of a sound engine too.
//
// Thread safety: none.
class EnginePace {
 public:
  // Takes the engine's next report.
  void Observe(const EngineReport& report, Time now);

  // Between the events of a run, over the last seconds. Milliseconds; 0 if too
  // few events were seen.
  double EventIntervalMs(Time now) const;

 private:
  struct Sample {
    Time taken;
    bool reads_prompts = false;
    std::map<std::string, std::int64_t> events;  // By run.
  };

  void Forget(Time now);

  std::optional<Sample> last_;
  // Decaying sums over the runs.
  double run_ms_ = 0;
  double events_ = 0;
  Time decayed_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_ENGINE_PACE_H_
