#ifndef AMARANTHCOVE_BACKENDS_BACKEND_PAUSE_H_
#define AMARANTHCOVE_BACKENDS_BACKEND_PAUSE_H_

#include <cstdint>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// For how long a backend server has asked this process to send it nothing.
struct BackendPause {
  Time until;
  // The start of the server that asked. A later one has asked for nothing.
  std::int64_t started_at_ms = 0;
};

// Records that the server asked for nothing for `asked` when it refused a
// request. A pause is never shortened, since refusals may arrive out of order.
// Its end is put off by a part that depends on `random`, which is uniformly
// distributed from 0 to 1: processes that were refused together do not return
// together. Negative and very long times are bounded, so that an odd value does
// not end the use of a server.
void ExtendPause(BackendPause& pause, Duration asked, double random, Time now);

// Returns the rest of the pause; zero if it is over. Thread-safe.
Duration PauseLeft(const BackendPause& pause, Time now);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BACKENDS_BACKEND_PAUSE_H_
