#include "amaranthcove/engine_cost/pace_estimator.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace amaranthcove {

namespace {

// Time constant of the decay of the requests' weights. Under load, few requests
// meet an engine that reads nothing else.
constexpr double kDecayTimeS = 60;

// Time constant of the mean time of requests, which grows with the load.
constexpr double kRequestTimeS = 5;
// Bounds the weight of requests that end at the same moment from below.
constexpr double kMinElapsedS = 0.01;

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

void PaceEstimator::ObserveEnd(double request_ms, double slowness, Time now) {
  // The latest request counts for the time since the one before it, so that
  // the average follows a load that slows the engines down.
  const double elapsed_s = std::clamp(ToSeconds(now - request_updated_),
                                      kMinElapsedS, kRequestTimeS);
  request_updated_ = now;
  const double share = 1 - std::exp(-elapsed_s / kRequestTimeS);
  request_ms_ += share * (request_ms / slowness - request_ms_);
}

EnginePace PaceEstimator::Pace(double event_interval_ms) const {
  EnginePace pace = kPriorPace;
  pace.request_ms = request_ms_;
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
