#include "src/net/response_head.h"

namespace amaranthcove::internal {

namespace {

using Part = ResponseHeadCheck::Part;

// The beginning of a status line. '0' stands for any digit.
constexpr std::string_view kStatusLineStart = "HTTP/0.0 000";

bool IsDigit(char byte) {
  return byte >= '0' && byte <= '9';
}

bool IsNameByte(char byte) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return IsDigit(byte) || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') ||
         kPunctuation.find(byte) != std::string_view::npos;
}

// Returns whether `byte` may stand in a value or a reason phrase.
bool IsTextByte(char byte) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(byte);
  return byte == '\t' || (code >= kFirstPrintable && code != kDelete);
}

Part AfterStatusLineByte(char byte, std::size_t column) {
  const char expected = kStatusLineStart[column];
  const bool matches = expected == '0' ? IsDigit(byte) : byte == expected;
  if (!matches) {
    return Part::kMalformed;
  }
  return column + 1 == kStatusLineStart.size() ? Part::kReason
                                               : Part::kStatusLine;
}

// Returns the part after a byte of a value or a reason phrase.
Part AfterTextByte(char byte, Part part) {
  switch (byte) {
    case '\r':
      return Part::kLineEnd;
    case '\n':
      return Part::kLineStart;
    default:
      return IsTextByte(byte) ? part : Part::kMalformed;
  }
}

Part AfterLineStartByte(char byte) {
  switch (byte) {
    case '\r':
      return Part::kHeadEnd;
    case '\n':
      return Part::kComplete;
    default:
      return IsNameByte(byte) ? Part::kName : Part::kMalformed;
  }
}

Part AfterNameByte(char byte) {
  if (byte == ':') {
    return Part::kValue;
  }
  return IsNameByte(byte) ? Part::kName : Part::kMalformed;
}

Part AfterByte(const ResponseHeadCheck& check, char byte) {
  switch (check.part) {
    case Part::kStart:
      return byte == '\r' || byte == '\n' ? Part::kStart
                                          : AfterStatusLineByte(byte, 0);
    case Part::kStatusLine:
      return AfterStatusLineByte(byte, check.column);
    case Part::kReason: {
      const bool follows_status = check.column == kStatusLineStart.size();
      const bool separates = byte == ' ' || byte == '\r' || byte == '\n';
      return follows_status && !separates ? Part::kMalformed
                                          : AfterTextByte(byte, Part::kReason);
    }
    case Part::kLineStart:
      return AfterLineStartByte(byte);
    case Part::kName:
      return AfterNameByte(byte);
    case Part::kValue:
      return AfterTextByte(byte, Part::kValue);
    case Part::kLineEnd:
      return byte == '\n' ? Part::kLineStart : Part::kMalformed;
    case Part::kHeadEnd:
      return byte == '\n' ? Part::kComplete : Part::kMalformed;
    case Part::kComplete:
    case Part::kMalformed:
      break;
  }
  return check.part;
}

}  // namespace

std::size_t CheckResponseHead(ResponseHeadCheck& check,
                              std::string_view bytes) {
  std::size_t checked = 0;
  while (checked < bytes.size() && check.part != Part::kComplete &&
         check.part != Part::kMalformed) {
    check.part = AfterByte(check, bytes[checked]);
    if (check.part != Part::kStart) {
      ++check.column;
    }
    ++checked;
  }
  return checked;
}

bool IsWellFormedResponseHead(std::string_view head) {
  ResponseHeadCheck check;
  return CheckResponseHead(check, head) == head.size() &&
         check.part == Part::kComplete;
}

}  // namespace amaranthcove::internal
