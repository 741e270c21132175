#ifndef AMARANTHCOVE_REQUEST_STORY_REQUEST_STORY_H_
#define AMARANTHCOVE_REQUEST_STORY_REQUEST_STORY_H_

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthcove {

// One line of a process's log.
struct LogEvent {
  std::string line;
  std::string process;  // What the collector put before the time; may be empty.
  std::string component;
  std::int64_t time_ms = 0;  // Of the process's clock, since the epoch.
  std::map<std::string, std::string, std::less<>> fields;

  // The value of a field; empty without it.
  std::string_view Field(std::string_view name) const;
};

// Reads "[PROCESS] TIME LEVEL COMPONENT event=... key=value ...". None if
// `line` has another form. Thread-safe.
std::optional<LogEvent> ParseLogLine(std::string_view line);

// Reads a log of any number of processes; other lines are skipped.
std::vector<LogEvent> ReadLog(std::istream& log);

// What the log tells of one request.
struct RequestStory {
  // In order of time: the request's own lines, and what was ordered at its
  // servers for its adapter, lost, regained or changed there in the seconds
  // before its end.
  std::vector<LogEvent> events;
  // One sentence on the end of each attempt.
  std::vector<std::string> summaries;
};

// The story of the request with the attempt id `request`. Empty if the log does
// not mention it. Thread-safe.
RequestStory TellRequest(std::span<const LogEvent> log,
                         std::string_view request);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_REQUEST_STORY_REQUEST_STORY_H_
