#ifndef AMARANTHCOVE_LOG_EVENT_LOG_H_
#define AMARANTHCOVE_LOG_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "amaranthcove/base/time.h"
#include "amaranthcove/log/log.h"

namespace amaranthcove {

// One key and value of an event. The key is written as it is; the value is
// quoted if needed.
struct LogField {
  std::string_view name;
  std::string value;
};

// Writes events as logfmt lines, "event=NAME key=value ...", at a bounded rate.
//
// Each second has a quota of lines. Routine lines (kDebug and kInfo) may use
// only a part of it, so that warnings, such as refusals and changes in the
// state of other processes, are dropped last. The number of dropped lines is
// written with the next line, as `dropped_lines`.
//
// Thread safety: none.
class EventLog {
 public:
  struct Options {
    int lines_per_s = 200;          // All lines.
    int routine_lines_per_s = 150;  // The part for kDebug and kInfo.
  };

  EventLog(std::string component, const Options& options)
      : component_(std::move(component)), options_(options) {}

  // Writes an event, or counts it as dropped if the quota is used up. Events
  // below the level of the process's log are neither written nor counted.
  void Write(LogLevel level,
             std::string_view event,
             std::initializer_list<LogField> fields);

  // Starts a new quota if a second has passed since the start of the last one.
  // To be called before the events of each round of the event loop.
  void SetNow(Time now);

  // Returns the number of events dropped so far.
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool TakeQuota(LogLevel level);

  const std::string component_;
  const Options options_;
  Time quota_start_;
  int written_ = 0;
  int routine_written_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

// Returns `value` as the value of a logfmt field: quoted if it is empty or
// contains spaces, quotes, equals signs or control characters. Thread-safe.
std::string LogfmtValue(std::string_view value);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_LOG_EVENT_LOG_H_
