#ifndef AMARANTHCOVE_BACKENDS_BACKEND_HEALTH_H_
#define AMARANTHCOVE_BACKENDS_BACKEND_HEALTH_H_

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// How one request at a backend server ended, as far as it tells its health.
enum class BackendResult {
  kServed,        // An answer, or an orderly refusal, in time.
  kError,         // An error of the server.
  kBroken,        // The connection broke or the answer was no HTTP.
  kNotReachable,  // No connection could be opened.
  kSilent         // No answer within the time that others need.
};

// What the requests of this process have shown about one backend server.
struct BackendHealth {
  double error_share = 0;  // Moving mean over the last results, 0 to 1.
  int samples = 0;
  int failed_in_a_row = 0;  // Broken, silent or not reachable.
  // Gets no work until then, unless no other server is left.
  Time avoided_until;
  Duration last_pause = Duration::zero();
};

// Takes a result into account. Servers that break or go silent twice in a row,
// cannot be reached, or fail most of their requests are avoided for a time that
// doubles up to 4 s; after it they get work again, and one success clears them.
void RecordResult(BackendHealth& health, BackendResult result, Time now);

// Whether the server is kept out of the choice at `now`.
bool IsAvoided(const BackendHealth& health, Time now);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BACKENDS_BACKEND_HEALTH_H_
