#include "amaranthcove/engine_cost/engine_cost.h"

#include <algorithm>

namespace amaranthcove {

namespace {

// Below this share of a limit, an expectation is considered safe.
constexpr double kSafeShare = 0.6;

// The share of the longest pause that prompts may fill. The rest is for delays
// that the model does not contain, as of the network.
constexpr double kUsedShareOfGap = 0.9;

}  // namespace

double FirstEventMs(const EnginePace& pace,
                    const EngineWork& work,
                    double prompt_tokens) {
  const double unread_ms = pace.prompt_token_ms * work.unread_prompt_tokens;
  // A request in excess of the batch waits for another one to end, while the
  // prompts before it are read.
  const double excess_ms =
      pace.request_ms * work.excess_requests / std::max(work.batch_size, 1);
  return work.slowness *
         (pace.first_event_ms + pace.prompt_token_ms * prompt_tokens +
          std::max(unread_ms, excess_ms));
}

double PauseMs(const EnginePace& pace,
               const EngineWork& work,
               double prompt_tokens) {
  const double reading_ms =
      pace.prompt_token_ms * (work.unread_prompt_tokens + prompt_tokens);
  return work.slowness * (pace.event_interval_ms + reading_ms);
}

std::int64_t PromptWindow(const EnginePace& pace,
                          double slowness,
                          const RequestGoal& goal) {
  if (goal.target_gap_ms <= 0) {
    return 0;
  }
  const double reading_ms =
      kUsedShareOfGap * goal.target_gap_ms / slowness - pace.event_interval_ms;
  return static_cast<std::int64_t>(
      std::max(reading_ms / pace.prompt_token_ms, 1.0));
}

double TokensLeft(double tokens, const EnginePace& pace, Duration elapsed) {
  const double read_tokens = ToSeconds(elapsed) * 1000 / pace.prompt_token_ms;
  return std::max(tokens - read_tokens, 0.0);
}

double LateProbability(double expected_ms, double limit_ms) {
  if (limit_ms <= 0) {
    return 0;
  }
  return std::clamp((expected_ms / limit_ms - kSafeShare) / (1 - kSafeShare),
                    0.0, 1.0);
}

}  // namespace amaranthcove
