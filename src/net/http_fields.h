#ifndef AMARANTHCOVE_SRC_NET_HTTP_FIELDS_H_
#define AMARANTHCOVE_SRC_NET_HTTP_FIELDS_H_

#include <string>
#include <string_view>

#include "amaranthcove/base/address.h"
#include "amaranthcove/net/http.h"

namespace amaranthcove::internal {

// Returns whether two ASCII texts are equal, ignoring case. Thread-safe.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Returns whether `header` may be sent unchanged. Rejects fields that describe
// the connection or the framing of the body, which only this component sets,
// and fields with line breaks, which could inject other fields. Thread-safe.
bool IsSendable(const HttpHeader& header);

// Returns the request line and header fields of `request`. Adds a Host field if
// there is none, and a Content-Length field if there is a body or the method
// expects one. Thread-safe.
std::string EncodeRequestHead(const Address& server,
                              const HttpRequest& request);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_HTTP_FIELDS_H_
