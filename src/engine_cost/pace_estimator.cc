#include "amaranthcove/engine_cost/pace_estimator.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace amaranthcove {

namespace {

// Time constant of the decay of the requests' weights. Under load, few requests
// meet an engine that reads nothing else.
constexpr double kDecayTimeS = 60;

// The prior counts like this many requests at each of two sizes, which fix both
// parameters of the line.
constexpr double kPriorWeight = 1;
constexpr std::array kPriorTokens = {0.0, 2000.0};

// A time above this multiple of the expectation is counted as the multiple.
constexpr double kMaxExcess = 3;

// Bounds of the time for one token, in milliseconds.
constexpr double kMinTokenMs = 0.002;
constexpr double kMaxTokenMs = 1;

}  // namespace

void PaceEstimator::Observe(double tokens,
                            double first_event_ms,
                            double slowness,
                            Time now) {
  const EnginePace pace = Pace(0);
  const double expected_ms =
      pace.first_event_ms + pace.prompt_token_ms * tokens;
  const double time_ms =
      std::min(first_event_ms / slowness, kMaxExcess * expected_ms);
  const double decay = std::exp(-ToSeconds(now - updated_) / kDecayTimeS);
  updated_ = now;
  weight_ = weight_ * decay + 1;
  tokens_ = tokens_ * decay + tokens;
  times_ = times_ * decay + time_ms;
  tokens_squared_ = tokens_squared_ * decay + tokens * tokens;
  products_ = products_ * decay + tokens * time_ms;
}

EnginePace PaceEstimator::Pace(double event_interval_ms) const {
  EnginePace pace = kPriorPace;
  double weight = weight_;
  double tokens = tokens_;
  double times = times_;
  double tokens_squared = tokens_squared_;
  double products = products_;
  for (const double size : kPriorTokens) {
    const double time_ms =
        kPriorPace.first_event_ms + kPriorPace.prompt_token_ms * size;
    weight += kPriorWeight;
    tokens += kPriorWeight * size;
    times += kPriorWeight * time_ms;
    tokens_squared += kPriorWeight * size * size;
    products += kPriorWeight * size * time_ms;
  }
  const double variance = weight * tokens_squared - tokens * tokens;
  pace.prompt_token_ms =
      std::clamp((weight * products - tokens * times) / variance, kMinTokenMs,
                 kMaxTokenMs);
  pace.first_event_ms =
      std::max((times - pace.prompt_token_ms * tokens) / weight, 0.0);
  if (event_interval_ms > 0) {
    pace.event_interval_ms = event_interval_ms;
  }
  return pace;
}

}  // namespace amaranthcove
