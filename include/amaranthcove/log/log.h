#ifndef AMARANTHCOVE_LOG_LOG_H_
#define AMARANTHCOVE_LOG_LOG_H_

#include <memory>
#include <string>
#include <string_view>

#include "amaranthcove/settings/settings.h"

namespace amaranthcove {

// The stream to which log lines are written.
enum class LogOutput { kStderr, kStdout };

// Sets up logging for its lifetime. `main` creates it before anything else.
//
// Thread safety: create it once per process, and destroy it on the same thread.
// Preconditions: no other thread logs while it is created or destroyed.
class Logging {
 public:
  // Writes events of `level` and above to `output`, one line each:
  // "2026-01-31T12:00:00.123Z WARN  component message", in UTC. A line that
  // `output` does not accept without blocking is dropped, and lines of more
  // than 4096 bytes are truncated.
  explicit Logging(LogLevel level, LogOutput output = LogOutput::kStderr);
  ~Logging();
  Logging(const Logging&) = delete;
  Logging& operator=(const Logging&) = delete;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Logs `message` for `component`. Control characters are escaped, so that an
// event is always one line. Writes nothing unless a `Logging` exists.
// Thread-safe.
void Log(LogLevel level, std::string_view component, std::string_view message);

// Returns whether events of `level` for `component` are written, so that
// callers need not build expensive messages for others. Thread-safe.
bool IsLogged(LogLevel level, std::string_view component);

// Returns `message` with its control characters replaced by escapes such as
// "\x0a". Thread-safe.
std::string EscapeLogMessage(std::string_view message);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_LOG_LOG_H_
