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

// One field of an event.
struct LogField {
  std::string_view name;
  std::string value;
};

// Writes events as logfmt lines, "event=NAME key=value ...", at a bounded rate.
//
// Each second has a quota of lines. Routine lines (kDebug and kInfo) get only
// a part of it, so that refusals and changes of belief, which are warnings, are
// dropped last. The number of dropped lines is written with the next line.
//
// Thread safety: none.
class EventLog {
 public:
  struct Options {
    int lines_per_s = 200;
    int routine_lines_per_s = 150;
  };

  EventLog(std::string component, const Options& options)
      : component_(std::move(component)), options_(options) {}

  // Writes an event, or counts it as dropped.
  void Write(LogLevel level,
             std::string_view event,
             std::initializer_list<LogField> fields);

  // Begins a new quota where a second has passed. Called before events of a
  // round of the event loop.
  void SetNow(Time now);

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

// `value` as the value of a logfmt field: quoted if it is empty or contains
// spaces, quotes or control characters. Thread-safe.
std::string LogfmtValue(std::string_view value);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_LOG_EVENT_LOG_H_
