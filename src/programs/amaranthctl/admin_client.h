#ifndef AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_
#define AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_

#include <chrono>
#include <string>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"

namespace amaranthcove {

// How long amaranthctl waits for a whole response.
inline constexpr Duration kAdminFetchLimit = std::chrono::seconds(5);

// Requests `path` from the admin port at `server` and returns the body of a 200
// response. Runs `loop` until the call ends. Errors: kUnavailable if there is
// no whole response within `limit`, kNotFound for every other status.
Result<std::string> FetchAdminPage(EventLoop& loop,
                                   const Address& server,
                                   const std::string& path,
                                   Duration limit = kAdminFetchLimit);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_
