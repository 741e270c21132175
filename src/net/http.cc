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

std::string EncodeRequestHead(const Address& server,
                              const HttpRequest& request) {
  std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
  if (FindHeader(request.headers, "host").empty()) {
    head += "host: " + FormatAddress(server) + "\r\n";
  }
  for (const HttpHeader& header : request.headers) {
    if (IsSendable(header)) {
      head += header.name + ": " + header.value + "\r\n";
    }
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  }
  if (!request.keep_connection) {
    head += "connection: close\r\n";
  }
  return head + "\r\n";
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
