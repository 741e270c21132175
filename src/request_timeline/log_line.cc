#include <time.h>

#include <array>
#include <cstdio>
#include <utility>

#include "amaranthcove/request_timeline/request_timeline.h"

namespace amaranthcove {

namespace {

// The length of "2026-04-14T00:33:44.581Z".
constexpr std::size_t kTimestampLength = 24;

// Longer lines are not parsed, because this product does not write any.
constexpr std::size_t kMaxLineBytes = 64 << 10;

std::optional<std::int64_t> ParseTime(std::string_view text) {
  if (text.size() != kTimestampLength || text[10] != 'T' || text[23] != 'Z') {
    return std::nullopt;
  }
  tm parts{};
  int milliseconds = 0;
  const std::string copy(text);
  if (std::sscanf(copy.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ", &parts.tm_year,
                  &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min,
                  &parts.tm_sec, &milliseconds) != 7) {
    return std::nullopt;
  }
  parts.tm_year -= 1900;
  parts.tm_mon -= 1;
  return static_cast<std::int64_t>(timegm(&parts)) * 1000 + milliseconds;
}

// Removes the first word from `text` and returns it.
std::string_view TakeWord(std::string_view& text) {
  const std::size_t begin = text.find_first_not_of(' ');
  if (begin == std::string_view::npos) {
    text = {};
    return {};
  }
  text.remove_prefix(begin);
  const std::string_view word = text.substr(0, text.find(' '));
  text.remove_prefix(word.size());
  return word;
}

// Removes the value of a logfmt field, quoted or not, from the start of `text`
// and returns it without quotes and escapes.
std::string TakeValue(std::string_view& text) {
  if (!text.starts_with('"')) {
    return std::string(TakeWord(text));
  }
  text.remove_prefix(1);
  std::string value;
  while (!text.empty() && text.front() != '"') {
    if (text.front() == '\\' && text.size() > 1) {
      text.remove_prefix(1);
    }
    value.push_back(text.front());
    text.remove_prefix(1);
  }
  text.remove_prefix(text.empty() ? 0 : 1);
  return value;
}

void ParseFields(std::string_view text, LogEvent& event) {
  while (true) {
    const std::size_t begin = text.find_first_not_of(' ');
    const std::size_t equals = text.find('=');
    if (begin == std::string_view::npos || equals == std::string_view::npos) {
      return;
    }
    std::string name(text.substr(begin, equals - begin));
    text.remove_prefix(equals + 1);
    event.fields.insert_or_assign(std::move(name), text.starts_with(' ')
                                                       ? std::string()
                                                       : TakeValue(text));
  }
}

}  // namespace

std::string_view LogEvent::Field(std::string_view name) const {
  const auto field = fields.find(name);
  return field == fields.end() ? std::string_view() : field->second;
}

std::optional<LogEvent> ParseLogLine(std::string_view line) {
  if (line.size() > kMaxLineBytes || line.find(" event=") == line.npos) {
    return std::nullopt;
  }
  LogEvent event;
  event.line = line;
  std::string_view rest = line;
  for (std::string_view word = TakeWord(rest); !word.empty();
       word = TakeWord(rest)) {
    if (const auto time = ParseTime(word)) {
      event.time_ms = *time;
      TakeWord(rest);  // The level.
      event.component = TakeWord(rest);
      ParseFields(rest, event);
      return event.fields.contains("event") ? std::optional(std::move(event))
                                            : std::nullopt;
    }
    // The last word before the time is the process. Collectors may put a time
    // of their own before it.
    event.process = word;
  }
  return std::nullopt;
}

std::vector<LogEvent> ReadLog(std::istream& log) {
  std::vector<LogEvent> events;
  for (std::string line; std::getline(log, line);) {
    if (auto event = ParseLogLine(line)) {
      events.push_back(std::move(*event));
    }
  }
  return events;
}

}  // namespace amaranthcove
