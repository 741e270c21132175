#ifndef AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_
#define AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_

#include <string>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"

namespace amaranthcove {

// Requests `path` from the admin port at `server` and returns the body of a 200
// response. Runs an event loop of its own until the call ends. Errors:
// kUnavailable if there is no whole response within 5 s, kNotFound for every
// other status.
Result<std::string> FetchAdminPage(const Address& server,
                                   const std::string& path);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PROGRAMS_AMARANTHCTL_ADMIN_CLIENT_H_
