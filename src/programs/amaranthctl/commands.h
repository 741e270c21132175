#ifndef AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_
#define AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace amaranthcove {

// Exit codes of amaranthctl.
inline constexpr int kExitFine = 0;
inline constexpr int kExitRefused = 1;  // A document is invalid or unreadable.
inline constexpr int kExitUsage = 2;

// Runs amaranthctl with `arguments` (without the program's name). Results go to
// `out`, errors to `err`. Returns the exit code.
int RunAmaranthctl(const std::vector<std::string>& arguments,
                   std::ostream& out,
                   std::ostream& err);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PROGRAMS_AMARANTHCTL_COMMANDS_H_
