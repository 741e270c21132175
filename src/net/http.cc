#include "amaranthcove/net/http.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "src/net/http_fields.h"

namespace amaranthcove {

namespace internal {

namespace {

constexpr std::array<std::string_view, 6> kConnectionFields = {
    "connection", "content-length",    "keep-alive",
    "te",         "transfer-encoding", "upgrade"};

bool HasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

bool IsSendable(const HttpHeader& header) {
  if (header.name.empty() || HasLineBreak(header.name) ||
      HasLineBreak(header.value)) {
    return false;
  }
  return std::none_of(kConnectionFields.begin(), kConnectionFields.end(),
                      [&header](std::string_view field) {
                        return EqualsIgnoreCase(field, header.name);
                      });
}

}  // namespace internal

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (internal::EqualsIgnoreCase(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

}  // namespace amaranthcove
