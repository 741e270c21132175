#include "amaranthcove/relay/relay_policy.h"

#include <algorithm>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// Sends that did not run are repeated this often at most: each costs the
// caller a round trip, and a refusal lets the caller try another router.
constexpr int kMaxSendsNotRun = 4;

// A repeated send needs at least this much time to be of use.
constexpr Duration kMinTimeForSend = milliseconds(30);

// Plain calls that may be repeated are given up after this multiple of their
// target, streams after the other.
constexpr int kPlainSilenceFactor = 2;
constexpr int kStreamSilenceFactor = 3;
constexpr Duration kMinPlainSilence = milliseconds(400);
constexpr Duration kMinStreamSilence = milliseconds(1500);

// Callers give up a stream after a pause of two seconds or more.
constexpr Duration kStreamPauseLimit = milliseconds(1500);

// A request is refused at once if it would begin after this multiple of its
// target: it would be late anyway, and hold up others.
constexpr int kRefusedDelayFactor = 2;
constexpr Duration kMinRefusedDelay = milliseconds(1000);

// A load from the weight store, and the way to the first token after it.
constexpr Duration kLoadAndFirstToken = milliseconds(330);

// Callers grant up to a fifth less than the route's timeout from the start.
constexpr int kPatienceSpreadDivisor = 5;

// Callers leave a stream that does not begin for some three seconds.
constexpr Duration kMaxAdapterWait = milliseconds(2200);

// A batch of this many requests may need seconds to read their prompts.
constexpr int kBusyBatch = 20;

constexpr Duration kMinRetryAfter = milliseconds(300);

RelayStep StepWithoutRetry(const RelayProgress& progress, SendEnd end) {
  if (progress.answer_begun) {
    return end == SendEnd::kAnswered ? RelayStep::kPassOn
                                     : RelayStep::kBreakOff;
  }
  switch (end) {
    case SendEnd::kAnswered:
    case SendEnd::kServerError:
      return RelayStep::kPassOn;
    case SendEnd::kNotSent:
    case SendEnd::kNotRun:
      return progress.may_have_run > 0 ? RelayStep::kFail : RelayStep::kRefuse;
    case SendEnd::kBroken:
      return RelayStep::kFail;
    case SendEnd::kSilent:
      return RelayStep::kTimeOut;
  }
  return RelayStep::kFail;
}

}  // namespace

bool MayRepeat(const RelayProgress& progress) {
  return progress.kind == CallKind::kIdempotent ||
         (progress.kind == CallKind::kStream && progress.resumable);
}

bool MaySendAgain(const RelayProgress& progress, SendEnd end) {
  if (end == SendEnd::kAnswered || progress.time_left < kMinTimeForSend) {
    return false;
  }
  if (end == SendEnd::kNotSent || end == SendEnd::kNotRun) {
    return progress.not_run < kMaxSendsNotRun;
  }
  return MayRepeat(progress) && progress.may_have_run < progress.max_attempts;
}

RelayStep NextStep(const RelayProgress& progress,
                   SendEnd end,
                   bool within_budget) {
  if (within_budget && MaySendAgain(progress, end)) {
    return RelayStep::kSendAgain;
  }
  return StepWithoutRetry(progress, end);
}

std::optional<Duration> FirstByteLimit(const Route& route,
                                       const RelayProgress& progress) {
  if (!MayRepeat(progress) || progress.may_have_run >= progress.max_attempts) {
    return std::nullopt;
  }
  if (progress.kind == CallKind::kStream) {
    return std::max(route.target_latency * kStreamSilenceFactor,
                    kMinStreamSilence);
  }
  return std::max(route.target_latency * kPlainSilenceFactor, kMinPlainSilence);
}

std::optional<Duration> PauseLimit(const RelayProgress& progress) {
  if (progress.kind != CallKind::kStream || !MayRepeat(progress) ||
      progress.may_have_run >= progress.max_attempts) {
    return std::nullopt;
  }
  return kStreamPauseLimit;
}

bool IsRefusedAtOnce(const Route& route,
                     const RelayProgress& progress,
                     Duration expected_delay) {
  return progress.may_have_run == 0 && !progress.answer_begun &&
         expected_delay > std::max(route.target_latency * kRefusedDelayFactor,
                                   kMinRefusedDelay);
}

Time UsefulUntil(const Route& route,
                 std::optional<Duration> patience,
                 Time started) {
  Duration spent = std::max(route.timeout - patience.value_or(route.timeout),
                            Duration::zero());
  if (spent < route.timeout / kPatienceSpreadDivisor) {
    spent = Duration::zero();
  }
  return started + route.target_latency - spent - kLoadAndFirstToken;
}

bool HasWaitedTooLong(Duration waited) {
  return waited >= kMaxAdapterWait;
}

bool IsBusyRatherThanSilent(int running) {
  return running >= kBusyBatch;
}

Duration RetryAfter(Duration expected_delay, Duration time_left) {
  return std::min(std::max(expected_delay, kMinRetryAfter), time_left * 3 / 10);
}

}  // namespace amaranthcove
