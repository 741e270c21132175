#include "amaranthcove/engine_client/sse_parser.h"

#include <charconv>

namespace amaranthcove {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

// Number of consumed bytes above which they are erased from the buffer.
constexpr std::size_t kCompactAboveBytes = 16 << 10;

void ParseLine(std::string_view line, SseEvent& event) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string_view field = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (field == "data") {
    if (!event.data.empty()) {
      event.data += '\n';
    }
    event.data += value;
  } else if (field == "id") {
    std::int64_t id = 0;
    const char* end = value.data() + value.size();
    if (std::from_chars(value.data(), end, id).ec == std::errc{}) {
      event.id = id;
    }
  }
}

}  // namespace

std::optional<SseEvent> SseParser::Next() {
  const std::size_t end = buffer_.find(kEventEnd, consumed_);
  if (end == std::string::npos) {
    if (consumed_ > kCompactAboveBytes) {
      buffer_.erase(0, consumed_);
      consumed_ = 0;
    }
    return std::nullopt;
  }
  const std::string_view buffered = buffer_;
  std::string_view text = buffered.substr(consumed_, end - consumed_);
  SseEvent event;
  while (!text.empty()) {
    const std::size_t line_end = text.find('\n');
    ParseLine(text.substr(0, line_end), event);
    text = line_end == std::string_view::npos ? std::string_view()
                                              : text.substr(line_end + 1);
  }
  consumed_ = end + kEventEnd.size();
  return event;
}

}  // namespace amaranthcove
