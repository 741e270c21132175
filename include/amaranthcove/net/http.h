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

// Returns the value of the first header with `name` (case-insensitive), or an
// empty view. The view is valid as long as `headers` is unchanged. Thread-safe.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// A complete HTTP request.
struct HttpRequest {
  std::string method;
  std::string path;  // As sent, including the query.
  HttpHeaders headers;
  std::string body;
  // Whether the connection may carry other requests after the answer. Without
  // an id that answers repeat, a late second copy of an answer would be taken
  // for that to the next request. Ignored by `UpstreamClient`.
  bool keep_connection = true;
};

// A complete HTTP answer, or only its status and headers.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_HTTP_H_
