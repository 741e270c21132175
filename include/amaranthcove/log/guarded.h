#ifndef AMARANTHCOVE_LOG_GUARDED_H_
#define AMARANTHCOVE_LOG_GUARDED_H_

#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include "amaranthcove/log/event_log.h"

namespace amaranthcove {

// Calls `handle`, which handles one message of the kind `kind`. If it throws,
// logs the reason and drops the message, so that no message of another process
// ends this one. Returns whether the message was handled. Thread safety: that
// of `log`.
template <typename Handle>
bool RunGuarded(EventLog& log, std::string_view kind, Handle&& handle) {
  try {
    std::forward<Handle>(handle)();
    return true;
  } catch (const std::exception& error) {
    log.Write(LogLevel::kError, "message_dropped",
              {{"kind", std::string(kind)}, {"reason", error.what()}});
    return false;
  }
}

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_LOG_GUARDED_H_
