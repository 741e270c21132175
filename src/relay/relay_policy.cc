#include "amaranthcove/relay/relay_policy.h"

#include <algorithm>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// The maximum number of sends that did not run. Each takes a round trip of the
// caller's time, and after a refusal the caller can try another router.
constexpr int kMaxSendsNotRun = 4;

// The minimum time left for another send to be useful.
constexpr Duration kMinTimeForSend = milliseconds(30);

// A send that may be repeated is given up if its answer does not begin within
// this multiple of the route's target latency.
constexpr int kPlainSilenceFactor = 2;
constexpr int kStreamSilenceFactor = 3;
constexpr Duration kMinPlainSilence = milliseconds(400);
constexpr Duration kMinStreamSilence = milliseconds(1500);

// Callers give up a stream after a pause of two seconds or longer.
constexpr Duration kStreamPauseLimit = milliseconds(1500);

// A request is refused at once if its answer would begin after this multiple of
// the target latency: it would be late anyway, and delay other requests.
constexpr int kRefusedDelayFactor = 2;
constexpr Duration kMinRefusedDelay = milliseconds(1000);

// Duration of a load from the weight store and of the steps from there to the
// first token.
constexpr Duration kLoadAndFirstToken = milliseconds(330);

// Timeouts of callers are up to a fifth shorter than the route's timeout even
// for a first try.
constexpr int kCallerTimeoutSpreadDivisor = 5;

// Callers give up a stream that has not begun after some three seconds.
constexpr Duration kMaxAdapterWait = milliseconds(2200);

// A batch of this many requests may need seconds to process their prompts.
constexpr int kBusyBatchSize = 20;

constexpr Duration kMinRetryAfter = milliseconds(300);

// A server takes longer than this multiple of its mean time for few calls only.
constexpr int kServiceTimeMargin = 2;

// A call that waits for a place is refused after this multiple of its target
// latency.
constexpr int kMaxLateFactor = 2;

// Returns the time that the caller has spent waiting for other routers before.
Duration TimeSpent(const Route& route, std::optional<Duration> caller_timeout) {
  const Duration spent = std::max(
      route.timeout - caller_timeout.value_or(route.timeout), Duration::zero());
  return spent < route.timeout / kCallerTimeoutSpreadDivisor ? Duration::zero()
                                                             : spent;
}

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

Time LatestLoadStart(const Route& route,
                     std::optional<Duration> caller_timeout,
                     Time started) {
  return started + route.target_latency - TimeSpent(route, caller_timeout) -
         kLoadAndFirstToken;
}

Time LatestPlainSend(const Route& route,
                     std::optional<Duration> caller_timeout,
                     Duration service_time,
                     Time started) {
  return started + route.target_latency - TimeSpent(route, caller_timeout) -
         kServiceTimeMargin * service_time;
}

bool IsRefusedForPlaces(const Route& route,
                        Time started,
                        Duration service_time,
                        Duration expected_wait,
                        Time now) {
  return now + expected_wait + service_time > started + route.target_latency;
}

bool IsHopelesslyLate(const Route& route, Time started, Time now) {
  return now - started >= kMaxLateFactor * route.target_latency;
}

bool HasWaitedTooLong(Duration waited) {
  return waited >= kMaxAdapterWait;
}

bool IsLikelyBusy(int running) {
  return running >= kBusyBatchSize;
}

Duration RetryAfter(Duration expected_delay, Duration time_left) {
  return std::min(std::max(expected_delay, kMinRetryAfter), time_left * 3 / 10);
}

}  // namespace amaranthcove
