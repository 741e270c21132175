#include "src/net/message_head.h"

#include <algorithm>

#include "src/net/http_fields.h"

namespace amaranthcove::internal {

namespace {

constexpr std::string_view kOldVersion = " HTTP/1.0";

bool IsContentLength(std::string_view name) {
  return EqualsIgnoreCase(name, "content-length");
}

bool IsTransferEncoding(std::string_view name) {
  return EqualsIgnoreCase(name, "transfer-encoding");
}

// Removes the first line from `text`, which contains a line feed, and returns
// it without its end. Like h2o, takes a bare line feed for the end of a line.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace

bool IsAnswerStatus(int status) {
  constexpr int kFirstStatus = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kEndOfStatuses = 600;
  return status >= kFirstStatus && status < kEndOfStatuses &&
         status != kSwitchingProtocols;
}

bool StatesLengthTwice(std::span<const HttpHeader> fields) {
  return std::count_if(fields.begin(), fields.end(),
                       [](const HttpHeader& field) {
                         return IsContentLength(field.name) ||
                                IsTransferEncoding(field.name);
                       }) > 1;
}

bool IsAmbiguousRequest(std::string_view bytes) {
  std::string_view request_line;
  int lengths = 0;
  int hosts = 0;
  while (bytes.find('\n') != std::string_view::npos) {
    const std::string_view line = TakeLine(bytes);
    if (request_line.empty()) {
      request_line = line;  // h2o skips an empty line before it.
      continue;
    }
    if (line.empty()) {
      return lengths > 1 || hosts > 1;
    }
    if (line.front() == ' ' || line.front() == '\t') {
      return true;
    }
    const std::string_view name = line.substr(0, line.find(':'));
    if (IsTransferEncoding(name) && request_line.ends_with(kOldVersion)) {
      return true;
    }
    if (IsContentLength(name) || IsTransferEncoding(name)) {
      ++lengths;
    }
    hosts += EqualsIgnoreCase(name, "host") ? 1 : 0;
  }
  return true;
}

}  // namespace amaranthcove::internal
