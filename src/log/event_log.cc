#include "amaranthcove/log/event_log.h"

#include <algorithm>

namespace amaranthcove {

namespace {

constexpr Duration kQuotaPeriod = std::chrono::seconds(1);

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == 0x7f;
         });
}

}  // namespace

std::string LogfmtValue(std::string_view value) {
  if (!NeedsQuotes(value)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted.push_back('\\');
    }
    quoted.push_back(c);
  }
  quoted.push_back('"');
  return quoted;
}

void EventLog::SetNow(Time now) {
  if (now - quota_start_ >= kQuotaPeriod) {
    quota_start_ = now;
    written_ = 0;
    routine_written_ = 0;
  }
}

bool EventLog::TakeQuota(LogLevel level) {
  const bool routine = level <= LogLevel::kInfo;
  if (written_ >= options_.lines_per_s ||
      (routine && routine_written_ >= options_.routine_lines_per_s)) {
    ++dropped_;
    return false;
  }
  ++written_;
  routine_written_ += routine ? 1 : 0;
  return true;
}

void EventLog::Write(LogLevel level,
                     std::string_view event,
                     std::initializer_list<LogField> fields) {
  if (!IsLogged(level, component_) || !TakeQuota(level)) {
    return;
  }
  std::string line = "event=" + LogfmtValue(event);
  for (const LogField& field : fields) {
    line += " ";
    line += field.name;
    line += "=" + LogfmtValue(field.value);
  }
  if (dropped_ > reported_dropped_) {
    line += " dropped_lines=" + std::to_string(dropped_ - reported_dropped_);
    reported_dropped_ = dropped_;
  }
  Log(level, component_, line);
}

}  // namespace amaranthcove
