#ifndef AMARANTHCOVE_ENGINE_COST_ENGINE_COST_H_
#define AMARANTHCOVE_ENGINE_COST_ENGINE_COST_H_

#include <cstdint>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// How fast the median engine of a service works.
struct EnginePace {
  // Time to read one prompt token, in milliseconds.
  double prompt_token_ms = 0.04;
  // Time from a send to the first event of a prompt of no length at an idle
  // engine, in milliseconds.
  double first_event_ms = 60;
  // Time between two events of a stream while no prompt is read, in
  // milliseconds.
  double event_interval_ms = 30;
  // Time from the send of a request to the end of its answer, in milliseconds.
  double request_ms = 600;
  // Time to load an adapter from the weight store while few others are loaded,
  // in milliseconds.
  double load_ms = 250;
};

// The pace of a service before anything is known about it.
inline constexpr EnginePace kPriorPace = {};

// The size of a prompt whose size is unknown, in tokens.
inline constexpr double kPriorPromptTokens = 600;

// What an engine has to do before and while it runs another request.
struct EngineWork {
  // Prompt tokens that are sent, or about to be sent, and not yet read.
  double unread_prompt_tokens = 0;
  // Streams that have begun; reading a prompt pauses all of them.
  int streams = 0;
  // Requests at the engine, or waiting for it, in excess of its batch size,
  // with the next one.
  int excess_requests = 0;
  int batch_size = 1;
  // Duration of its work relative to the median engine.
  double slowness = 1;
};

// The size of a request's prompt, and when its answer is late.
struct RequestGoal {
  double prompt_tokens = kPriorPromptTokens;
  // The first event is late after this time.
  double target_latency_ms = 1000;
  // A longer pause between two events makes a stream late; 0 if there is no
  // limit.
  double target_gap_ms = 0;
};

// Returns the time from a send to the first event, in milliseconds.
// Thread-safe, as are all functions of this file.
double FirstEventMs(const EnginePace& pace,
                    const EngineWork& work,
                    double prompt_tokens);

// Returns the longest pause that the streams at the engine see if a prompt is
// added, in milliseconds: an engine reads prompts in pieces between the steps
// of its batch, so all streams pause while it reads.
double PauseMs(const EnginePace& pace,
               const EngineWork& work,
               double prompt_tokens);

// Returns the prompt tokens that may be unread at an engine without making the
// pauses of its streams longer than the goal; 0 if there is no limit.
std::int64_t PromptWindow(const EnginePace& pace,
                          double slowness,
                          const RequestGoal& goal);

// Returns how many of `tokens` unread prompt tokens are left after `elapsed`.
double TokensLeft(double tokens, const EnginePace& pace, Duration elapsed);

// Returns the probability that something expected to take `expected_ms` takes
// longer than `limit_ms`; 0 without a limit. The expectation is uncertain
// because the state of an engine is known with delay.
double LateProbability(double expected_ms, double limit_ms);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENGINE_COST_ENGINE_COST_H_
