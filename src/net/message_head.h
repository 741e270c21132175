#ifndef AMARANTHCOVE_SRC_NET_MESSAGE_HEAD_H_
#define AMARANTHCOVE_SRC_NET_MESSAGE_HEAD_H_

#include <span>
#include <string_view>

#include "amaranthcove/net/http.h"

namespace amaranthcove::internal {

// Returns whether an answer may have `status`: an interim or a final one. Not a
// switch to another protocol, which requests never ask for. Thread-safe.
bool IsAnswerStatus(int status);

// Returns whether `fields` state the length of the body more than once. The
// sender and the receiver may then take the body to end at different places,
// and what one of them takes for its rest, the other takes for the next
// message. Thread-safe.
bool StatesLengthTwice(std::span<const HttpHeader> fields);

// Returns whether the head of a request, with which `bytes` begin as they were
// received, can be read in more than one way: it states the length of the body
// twice, has two Host fields, continues a field on another line (of which h2o
// hands over the first line only), or uses chunked encoding in a version before
// HTTP/1.1. Also true if the head does not end within `bytes`. Thread-safe.
bool IsAmbiguousRequest(std::string_view bytes);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_MESSAGE_HEAD_H_
