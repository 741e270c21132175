#include "src/programs/amaranthctl/admin_client.h"

#include <memory>
#include <optional>
#include <utility>

#include "amaranthcove/net/http_client.h"

namespace amaranthcove {
namespace {

constexpr int kHttpOk = 200;

std::string DescribeFailure(HttpCallEnd end, Duration limit) {
  switch (end) {
    case HttpCallEnd::kComplete:
      break;
    case HttpCallEnd::kConnectFailed:
      return "the connection failed";
    case HttpCallEnd::kBroken:
      return "the connection broke before the response was complete";
    case HttpCallEnd::kTimedOut:
      return "no complete response within " +
             std::to_string(ToMilliseconds(limit)) + " ms";
  }
  return {};
}

}  // namespace

Result<std::string> FetchAdminPage(EventLoop& loop,
                                   const Address& server,
                                   const std::string& path,
                                   Duration limit) {
  const std::unique_ptr<HttpClient> client = HttpClient::Create(loop);
  std::optional<HttpCallEnd> end;
  HttpResponse response;
  client->Fetch(server, {"GET", path, {}, {}}, loop.Now() + limit,
                [&](HttpCallEnd call_end, HttpResponse call_response) {
                  end = call_end;
                  response = std::move(call_response);
                });
  while (!end) {
    loop.RunOnce(limit);
  }
  if (*end != HttpCallEnd::kComplete) {
    return MakeError(ErrorCode::kUnavailable, FormatAddress(server) + ": " +
                                                  DescribeFailure(*end, limit));
  }
  if (response.status != kHttpOk) {
    return MakeError(ErrorCode::kNotFound, FormatAddress(server) + path +
                                               " responded with status " +
                                               std::to_string(response.status) +
                                               ": " + response.body);
  }
  return std::move(response.body);
}

}  // namespace amaranthcove
