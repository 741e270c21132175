#include "amaranthcove/adapter_agent/engine_pace.h"

#include <cmath>
#include <utility>

namespace amaranthcove {

namespace {

// Measurements lose their weight with this time constant.
constexpr double kDecayS = 2;

// Fewer events say little, because a report counts whole events.
constexpr double kMinEvents = 8;

// Reports that lie further apart do not tell what happened in between.
constexpr Duration kMaxGap = std::chrono::milliseconds(400);

// Runs that have not made their first event are still reading their prompt.
bool ReadsPrompts(const EngineReport& report) {
  return report.queued > 0 ||
         report.running > static_cast<int>(report.runs.size());
}

}  // namespace

void EnginePace::Observe(const EngineReport& report, Time now) {
  Sample sample;
  sample.taken = now;
  sample.reads_prompts = ReadsPrompts(report);
  for (const EngineRun& run : report.runs) {
    sample.events[run.id] = run.events;
  }
  const bool counts = last_ && !last_->reads_prompts && !sample.reads_prompts &&
                      now - last_->taken <= kMaxGap;
  if (counts) {
    Forget(now);
    const double passed_ms = ToSeconds(now - last_->taken) * 1000;
    for (const auto& [run, events] : sample.events) {
      const auto before = last_->events.find(run);
      if (before != last_->events.end() && events >= before->second) {
        run_ms_ += passed_ms;
        events_ += static_cast<double>(events - before->second);
      }
    }
  }
  last_ = std::move(sample);
}

void EnginePace::Forget(Time now) {
  const double kept = std::exp(-ToSeconds(now - decayed_) / kDecayS);
  run_ms_ *= kept;
  events_ *= kept;
  decayed_ = now;
}

double EnginePace::EventIntervalMs(Time now) const {
  const double kept = std::exp(-ToSeconds(now - decayed_) / kDecayS);
  return events_ * kept < kMinEvents ? 0 : run_ms_ / events_;
}

}  // namespace amaranthcove
