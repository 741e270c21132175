#ifndef AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_
#define AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "amaranthcove/net/event_loop.h"

namespace amaranthcove {

// Exit codes of amaranthctl.
inline constexpr int kExitSuccess = 0;
// A document is invalid or unreadable, a page could not be fetched, or the log
// does not contain the request.
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// Runs amaranthctl with `arguments`, which exclude the program's name. Writes
// results to `out` and errors to `err`, and returns the exit code. Fetches
// admin pages on `loop`, for at most `kAdminFetchLimit`. Reads a log named "-"
// from standard input.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
int RunAmaranthctl(const std::vector<std::string>& arguments,
                   EventLoop& loop,
                   std::ostream& out,
                   std::ostream& err);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_
