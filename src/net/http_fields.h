#ifndef AMARANTHCOVE_SRC_NET_HTTP_FIELDS_H_
#define AMARANTHCOVE_SRC_NET_HTTP_FIELDS_H_

#include <string>
#include <string_view>

#include "amaranthcove/base/address.h"
#include "amaranthcove/net/http.h"

namespace amaranthcove::internal {

// Compares ASCII text without case. Thread-safe.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Whether `header` may be sent as given. Fields that describe one connection or
// the framing of a body are set by this component alone, and line breaks in a
// field would let its value add fields. Thread-safe.
bool IsSendable(const HttpHeader& header);

// The request line and header fields of `request`, with a Host field if it has
// none, and with the length of its body where one is expected. Thread-safe.
std::string EncodeRequestHead(const Address& server,
                              const HttpRequest& request);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_HTTP_FIELDS_H_
