#ifndef AMARANTHCOVE_SRC_NET_RESPONSE_HEAD_H_
#define AMARANTHCOVE_SRC_NET_RESPONSE_HEAD_H_

#include <cstddef>
#include <string_view>

namespace amaranthcove::internal {

// How far the head of an answer has been checked. Its bytes are checked against
// the grammar of HTTP/1.1 (RFC 9112) before they are parsed, because the
// parsers take more than that: http_parser a blank in the name of a field, and
// both of them a field that goes on in the next line. What they make of such a
// head may differ from what its sender meant.
struct ResponseHeadCheck {
  enum class Part {
    kStart,       // Nothing yet, or line ends before the status line.
    kStatusLine,  // Up to the status, inclusive.
    kReason,      // The rest of the status line.
    kLineStart,   // Before a field or the end of the head.
    kName,
    kValue,
    kLineEnd,  // After the carriage return of a line.
    kHeadEnd,  // After the carriage return of the empty line.
    kComplete,
    kMalformed,
  };
  Part part = Part::kStart;
  std::size_t column = 0;  // Bytes since the beginning of the status line.
};

// Checks the bytes up to the end of the head, or up to the first one that the
// grammar does not allow. Returns their number, which is 0 if the head is
// complete or malformed already. Like the parsers, takes a bare line feed for
// the end of a line. Thread-safe.
std::size_t CheckResponseHead(ResponseHeadCheck& check, std::string_view bytes);

// Returns whether `head` is one whole well-formed head. Thread-safe.
bool IsWellFormedResponseHead(std::string_view head);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_RESPONSE_HEAD_H_
