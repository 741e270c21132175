#ifndef AMARANTHCOVE_RELAY_RELAY_POLICY_H_
#define AMARANTHCOVE_RELAY_RELAY_POLICY_H_

#include <optional>

#include "amaranthcove/base/time.h"
#include "amaranthcove/routing/route_table.h"

namespace amaranthcove {

// How one send of a request to a backend server ended.
enum class SendEnd {
  kNotSent,      // No connection: the server got nothing.
  kNotRun,       // The server states that it did not run the request.
  kAnswered,     // A whole answer that is no error of the server.
  kServerError,  // A whole answer with a status of 500 or above.
  kBroken,       // The connection broke, or the answer did.
  kSilent        // Given up: nothing came for too long.
};

// What has happened to a request so far.
struct RelayProgress {
  CallKind kind = CallKind::kNonIdempotent;
  bool resumable = false;
  int max_attempts = 1;
  int may_have_run = 0;       // Sends after which it may have run.
  int not_run = 0;            // Sends after which it certainly has not.
  bool answer_begun = false;  // The caller has got the head of an answer.
  Duration time_left = Duration::zero();
};

// What is done next.
enum class RelayStep {
  kSendAgain,  // To another server if there is one.
  kPassOn,     // Give the caller the server's answer.
  kRefuse,     // 503: the request has not run and will not.
  kFail,       // 502: it may have run.
  kTimeOut,    // 504: it may have run, and the time is over.
  kBreakOff    // End the begun answer so that the caller sees the break.
};

// Whether a request may run a second time.
bool MayRepeat(const RelayProgress& progress);

// Whether another send would be allowed after `end`, the budget aside.
bool MaySendAgain(const RelayProgress& progress, SendEnd end);

// Decides after a send has ended. `within_budget` says whether the retry budget
// allows another send; it matters only if `MaySendAgain`.
RelayStep NextStep(const RelayProgress& progress,
                   SendEnd end,
                   bool within_budget);

// How long a send may stay without the first byte of its answer before it is
// given up and repeated elsewhere; none if it is waited for until the end.
std::optional<Duration> FirstByteLimit(const Route& route,
                                       const RelayProgress& progress);

// The same for the pause between two events of a begun stream.
std::optional<Duration> PauseLimit(const RelayProgress& progress);

// Whether a request that has not been sent yet should be refused now: the best
// server would begin so late that the caller is better off coming back.
bool IsRefusedAtOnce(const Route& route,
                     const RelayProgress& progress,
                     Duration expected_delay);

// Until when a load that begins for a request still lets it be on time.
// `started` is its arrival, `patience` what its caller grants it. A caller that
// grants much less than the route's timeout has waited before, with another
// router.
Time UsefulUntil(const Route& route,
                 std::optional<Duration> patience,
                 Time started);

// Whether a request that has waited so long for its adapter should be refused:
// its caller would soon leave, and may come back instead.
bool HasWaitedTooLong(Duration waited);

// Whether a server that has not begun to answer within `FirstByteLimit` is
// merely busy: requests at it wait for each other, and sending one elsewhere
// would only add work. `running` is the number of requests in its batch.
bool IsBusyRatherThanSilent(int running);

// The delay that is expected when no server is known: the instance list lists
// live servers again within about two seconds.
inline constexpr Duration kDelayWithoutServer = std::chrono::milliseconds(1500);

// How long a caller should wait before it sends a refused request again: until
// it can probably be served, within the third of its time that callers grant.
Duration RetryAfter(Duration expected_delay, Duration time_left);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_RELAY_RELAY_POLICY_H_
