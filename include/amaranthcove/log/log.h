#ifndef AMARANTHCOVE_LOG_LOG_H_
#define AMARANTHCOVE_LOG_LOG_H_

#include <memory>
#include <string>
#include <string_view>

#include "amaranthcove/settings/settings.h"

namespace amaranthcove {

// Where log lines go.
enum class LogOutput { kStderr, kStdout };

// Keeps logging set up while it lives. Create it first in `main`.
//
// Thread safety: create and destroy it on one thread, once per process.
// Preconditions: no other thread logs while it is created or destroyed.
class Logging {
 public:
  // Logs events of `level` and above to `output`, one line each:
  // "2026-01-31T12:00:00.123Z WARN  component message", in UTC.
  explicit Logging(LogLevel level, LogOutput output = LogOutput::kStderr);
  ~Logging();
  Logging(const Logging&) = delete;
  Logging& operator=(const Logging&) = delete;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Logs `message` for `component`. Control characters are escaped, so that one
// event is one line whatever its message contains. Without a `Logging` nothing
// is written. Thread-safe.
void Log(LogLevel level, std::string_view component, std::string_view message);

// Whether events of `level` for `component` are written, for callers that build
// expensive messages. Thread-safe.
bool IsLogged(LogLevel level, std::string_view component);

// `message` with its control characters replaced by escapes such as "\x0a".
// Thread-safe.
std::string EscapeLogMessage(std::string_view message);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_LOG_LOG_H_
