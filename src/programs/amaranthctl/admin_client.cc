#include "src/programs/amaranthctl/admin_client.h"

#include <memory>
#include <utility>

#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"

namespace amaranthcove {
namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(5);

std::string DescribeFailure(HttpCallEnd end) {
  switch (end) {
    case HttpCallEnd::kComplete:
      break;
    case HttpCallEnd::kConnectFailed:
      return "the connection failed";
    case HttpCallEnd::kBroken:
      return "the connection broke before the response was complete";
    case HttpCallEnd::kTimedOut:
      return "no complete response within " +
             std::to_string(ToMilliseconds(kFetchTimeout)) + " ms";
  }
  return {};
}

}  // namespace

Result<std::string> FetchAdminPage(const Address& server,
                                   const std::string& path) {
  EventLoop loop;
  const std::unique_ptr<HttpClient> client = HttpClient::Create(loop);
  HttpCallEnd end = HttpCallEnd::kBroken;
  HttpResponse response;
  const HttpRequest request{"GET", path, {}, {}};
  client->Fetch(server, request, loop.Now() + kFetchTimeout,
                [&](HttpCallEnd call_end, HttpResponse call_response) {
                  end = call_end;
                  response = std::move(call_response);
                  loop.Stop();
                });
  loop.Run();
  if (end != HttpCallEnd::kComplete) {
    return MakeError(ErrorCode::kUnavailable,
                     FormatAddress(server) + ": " + DescribeFailure(end));
  }
  if (response.status != 200) {
    return MakeError(ErrorCode::kNotFound, FormatAddress(server) + path +
                                               " answered " +
                                               std::to_string(response.status) +
                                               ": " + response.body);
  }
  return std::move(response.body);
}

}  // namespace amaranthcove
