#include "amaranthcove/adapter_agent/event_interval_estimator.h"

#include <cmath>
#include <utility>

namespace amaranthcove {

namespace {

// Time constant of the exponential decay of measurements.
constexpr double kDecayTimeS = 2;

// Minimum number of events for an estimate. With fewer, it would be dominated
// by rounding, because reports contain whole events.
constexpr double kMinEvents = 8;

// Maximum interval between two reports that are compared. Reports further apart
// do not show what happened in between.
constexpr Duration kMaxReportInterval = std::chrono::milliseconds(400);

// Returns whether prompts wait or are in prefill. A run is in prefill until its
// first event; until then `report.running` counts it and `report.runs` does
// not.
bool HasPrefill(const EngineReport& report) {
  return report.queued > 0 ||
         report.running > static_cast<int>(report.runs.size());
}

}  // namespace

void EventIntervalEstimator::Observe(const EngineReport& report, Time now) {
  Sample sample;
  sample.taken = now;
  sample.has_prefill = HasPrefill(report);
  for (const EngineRun& run : report.runs) {
    sample.events[run.id] = run.events;
  }
  const bool comparable = last_ && !last_->has_prefill && !sample.has_prefill &&
                          now - last_->taken <= kMaxReportInterval;
  if (comparable) {
    Decay(now);
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

void EventIntervalEstimator::Decay(Time now) {
  const double decay = std::exp(-ToSeconds(now - decayed_at_) / kDecayTimeS);
  run_ms_ *= decay;
  events_ *= decay;
  decayed_at_ = now;
}

double EventIntervalEstimator::EventIntervalMs(Time now) const {
  const double decay = std::exp(-ToSeconds(now - decayed_at_) / kDecayTimeS);
  return events_ * decay < kMinEvents ? 0 : run_ms_ / events_;
}

}  // namespace amaranthcove
