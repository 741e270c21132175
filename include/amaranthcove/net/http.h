#ifndef AMARANTHCOVE_NET_HTTP_H_
#define AMARANTHCOVE_NET_HTTP_H_

#include <string>
#include <string_view>
#include <vector>

namespace amaranthcove {

// One HTTP header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// The value of the first header called `name` (compared without case), or an
// empty view. The view lives as long as `headers`. Thread-safe.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// A whole HTTP request.
struct HttpRequest {
  std::string method;
  std::string path;  // As sent, with its query.
  HttpHeaders headers;
  std::string body;
};

// A whole HTTP answer, or the head of one.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_HTTP_H_
