#ifndef AMARANTHCOVE_BASE_ADDRESS_H_
#define AMARANTHCOVE_BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "amaranthcove/base/error.h"

namespace amaranthcove {

// An IPv4 address and a port. Host names are not supported.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

// Parses "A.B.C.D:PORT". Port 0 is allowed and means any free port.
// Errors: kInvalidArgument, with the invalid part of the text in the message.
// Thread-safe.
Result<Address> ParseAddress(std::string_view text);

// Returns "A.B.C.D:PORT". Thread-safe.
std::string FormatAddress(const Address& address);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_ADDRESS_H_
