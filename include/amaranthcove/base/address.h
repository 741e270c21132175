#ifndef AMARANTHCOVE_BASE_ADDRESS_H_
#define AMARANTHCOVE_BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "amaranthcove/base/error.h"

namespace amaranthcove {

// An IPv4 address and a TCP port. Names are never resolved.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

// Parses "A.B.C.D:PORT". Port 0 is allowed and means "any free port".
// Errors: kInvalidArgument with the text that was not understood. Thread-safe.
Result<Address> ParseAddress(std::string_view text);

// "A.B.C.D:PORT". Thread-safe.
std::string FormatAddress(const Address& address);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_ADDRESS_H_
