#ifndef AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_
#define AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_

#include <chrono>
#include <string>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"

namespace amaranthcove {

// The time limit for a complete response to amaranthctl.
inline constexpr Duration kAdminFetchLimit = std::chrono::seconds(5);

// Fetches `path` from the admin port at `server` and returns the body of a
// response with status 200. Runs `loop` until the call ends. Errors:
// kUnavailable if there is no complete response within `limit`, kNotFound for
// any other status.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
Result<std::string> FetchAdminPage(EventLoop& loop,
                                   const Address& server,
                                   const std::string& path,
                                   Duration limit = kAdminFetchLimit);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_
