#ifndef AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_
#define AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "amaranthcove/net/event_loop.h"

namespace amaranthcove {

// Exit codes of amaranthctl.
inline constexpr int kExitFine = 0;
// A document is invalid or unreadable, or a process did not give the page.
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;

// Runs amaranthctl with `arguments` (without the program's name). Results go to
// `out`, errors to `err`. Returns the exit code. Admin pages are fetched on
// `loop`, for at most `kAdminFetchLimit`.
int RunAmaranthctl(const std::vector<std::string>& arguments,
                   EventLoop& loop,
                   std::ostream& out,
                   std::ostream& err);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_
