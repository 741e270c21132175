#include "amaranthcove/relay/event_splitter.h"

namespace amaranthcove {

namespace {

constexpr std::string_view kIdField = "id:";

// Returns the position after the last empty line of `text`, or 0.
std::size_t EndOfWholeEvents(std::string_view text) {
  const std::size_t unix_end = text.rfind("\n\n");
  const std::size_t dos_end = text.rfind("\r\n\r\n");
  std::size_t end = 0;
  if (unix_end != std::string_view::npos) {
    end = unix_end + 2;
  }
  if (dos_end != std::string_view::npos && dos_end + 4 > end) {
    end = dos_end + 4;
  }
  return end;
}

}  // namespace

std::string EventSplitter::Append(std::string_view bytes) {
  buffer_ += bytes;
  const std::size_t end = EndOfWholeEvents(buffer_);
  std::string events = buffer_.substr(0, end);
  buffer_.erase(0, end);
  UpdateLastId(events);
  return events;
}

void EventSplitter::UpdateLastId(std::string_view events) {
  while (!events.empty()) {
    const std::size_t line_end = events.find('\n');
    std::string_view line = events.substr(0, line_end);
    events.remove_prefix(line_end == std::string_view::npos ? events.size()
                                                            : line_end + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    last_id_ = line;
  }
}

}  // namespace amaranthcove
