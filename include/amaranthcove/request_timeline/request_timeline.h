#ifndef AMARANTHCOVE_REQUEST_TIMELINE_REQUEST_TIMELINE_H_
#define AMARANTHCOVE_REQUEST_TIMELINE_REQUEST_TIMELINE_H_

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthcove {

// One parsed line of a process's log.
struct LogEvent {
  std::string line;
  // The name that the log collector put before the time; may be empty.
  std::string process;
  std::string component;
  // Milliseconds since the Unix epoch, by the clock of the process.
  std::int64_t time_ms = 0;
  std::map<std::string, std::string, std::less<>> fields;

  // Returns the value of a field, or an empty string if there is none.
  std::string_view Field(std::string_view name) const;
};

// Parses "[PROCESS] TIME LEVEL COMPONENT event=... key=value ...". Words before
// PROCESS are ignored. Returns no value if `line` has another form.
// Thread-safe.
std::optional<LogEvent> ParseLogLine(std::string_view line);

// Reads a log of any number of processes. Lines that `ParseLogLine` does not
// accept are skipped.
std::vector<LogEvent> ReadLog(std::istream& log);

// The log events that concern one request.
struct RequestTimeline {
  // Ordered by time: the request's own events, and related events from 5 s
  // before its first event to its last one. Two kinds of events are related:
  // changes of its backend servers that its routers logged, and events that the
  // adapter agents on the hosts of these servers logged. Of the latter, only
  // the agent's start, loss and recovery of the engine, and events for the
  // request's adapters are included.
  std::vector<LogEvent> events;
  // One sentence for each logged end or refusal of the request.
  std::vector<std::string> summaries;
};

// Returns the events and summaries of the request with the attempt id
// `request`; both are empty if the log does not contain it. Thread-safe.
RequestTimeline BuildRequestTimeline(std::span<const LogEvent> log,
                                     std::string_view request);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_REQUEST_TIMELINE_REQUEST_TIMELINE_H_
