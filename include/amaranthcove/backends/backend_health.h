#ifndef AMARANTHCOVE_BACKENDS_BACKEND_HEALTH_H_
#define AMARANTHCOVE_BACKENDS_BACKEND_HEALTH_H_

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// The result of one request at a backend server, for judging its health.
enum class BackendResult {
  kServed,        // An answer, or an orderly refusal, in time.
  kError,         // An error of the server.
  kBroken,        // The connection broke, or the answer was not HTTP.
  kNotReachable,  // No connection could be opened.
  kSilent         // No answer within the time that other servers need.
};

// The health of one backend server, according to the requests of this process.
struct BackendHealth {
  double error_share = 0;  // Moving mean over the last results, 0 to 1.
  int samples = 0;         // Results since the server was last avoided.
  // Consecutive results that are kBroken, kNotReachable or kSilent.
  int consecutive_failures = 0;
  // The server gets no work until this time unless there is no other server.
  Time avoided_until;
  Duration last_backoff = Duration::zero();
};

// Updates `health` with a result. A server is avoided if it cannot be reached,
// if its requests end as kBroken or kSilent twice in a row, or if it fails most
// requests. The time for which it is avoided doubles up to 4 s. After that it
// gets work again, and a success resets the doubling once there are enough
// results.
void RecordResult(BackendHealth& health, BackendResult result, Time now);

// Returns whether the server is avoided at `now`.
bool IsAvoided(const BackendHealth& health, Time now);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BACKENDS_BACKEND_HEALTH_H_
