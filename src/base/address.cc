#include "amaranthcove/base/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <utility>

namespace amaranthcove {

Result<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "address \"" + std::string(text) + "\" has no port");
  }
  Address address{std::string(text.substr(0, colon)), 0};
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "\"" + address.ip + "\" is not an IPv4 address");
  }
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [rest, error] = std::from_chars(port.data(), end, address.port);
  if (error != std::errc() || rest != end) {
    // Uses += because g++ 12 reports a false -Wrestrict warning for operator+
    // in optimised builds.
    std::string message = "\"";
    message += port;
    message += "\" is not a port (0 to 65535)";
    return MakeError(ErrorCode::kInvalidArgument, std::move(message));
  }
  return address;
}

std::string FormatAddress(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace amaranthcove
