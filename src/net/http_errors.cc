#include "src/net/http_errors.h"

#include <string_view>

namespace amaranthcove::internal {

namespace {

constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

constexpr std::string_view kHeaderTooLargeBody =
    R"({"error":{"code":"header_too_large","message":)"
    R"("the header fields exceed the limit of this server",)"
    R"("outcome":"not_run","request_id":""}})";

constexpr std::string_view kHeaderTooSlowBody =
    R"({"error":{"code":"header_too_slow","message":)"
    R"("the header fields did not arrive in time",)"
    R"("outcome":"not_run","request_id":""}})";

constexpr std::string_view kRequestTooSlowBody =
    R"({"error":{"code":"request_too_slow","message":)"
    R"("the request did not arrive in time",)"
    R"("outcome":"not_run","request_id":""}})";

constexpr std::string_view kNoMemoryBody =
    R"({"error":{"code":"no_memory","message":)"
    R"("this instance has no memory for the request at present",)"
    R"("outcome":"not_run","request_id":""}})";

// Returns an encoded answer after which the connection is closed.
std::string EncodeAnswer(std::string_view status,
                         std::string_view more_fields,
                         std::string_view body) {
  return "HTTP/1.1 " + std::string(status) + "\r\nconnection: close\r\n" +
         std::string(more_fields) +
         "content-type: application/json\r\ncontent-length: " +
         std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// h2o answers oversized requests and malformed chunks itself, in plain text,
// before any handler runs. This output stream replaces that text by JSON. The
// 400 for bytes that are not an HTTP request is a constant in h2o and remains
// plain text.
struct ErrorBodyStream {
  h2o_ostream_t super;
  bool sent;
};

std::string_view ErrorBody(int status) {
  if (status == kBodyTooLarge) {
    return R"({"error":{"code":"request_too_large","message":)"
           R"("the request body exceeds the limit of this server",)"
           R"("outcome":"not_run","request_id":""}})";
  }
  return R"({"error":{"code":"bad_request","message":)"
         R"("the request is not well-formed HTTP/1.1",)"
         R"("outcome":"not_run","request_id":""}})";
}

void SendErrorBody(h2o_ostream_t* self,
                   h2o_req_t* request,
                   h2o_iovec_t* /*buffers*/,
                   size_t /*buffer_count*/,
                   h2o_send_state_t state) {
  auto* stream = reinterpret_cast<ErrorBodyStream*>(self);
  const std::string_view body = ErrorBody(request->res.status);
  h2o_iovec_t buffer = h2o_iovec_init(body.data(), body.size());
  h2o_ostream_send_next(self, request, &buffer, stream->sent ? 0 : 1, state);
  stream->sent = true;
}

// Counts the requests that h2o itself refuses.
struct ErrorFilter {
  h2o_filter_t super;
  std::uint64_t* refused;
};

void SetUpErrorBody(h2o_filter_t* self,
                    h2o_req_t* request,
                    h2o_ostream_t** slot) {
  const int status = request->res.status;
  if (status == kBadRequest || status == kBodyTooLarge) {
    ++*reinterpret_cast<ErrorFilter*>(self)->refused;
    request->res.content_length = ErrorBody(status).size();
    static constexpr std::string_view kJson = "application/json";
    h2o_set_header(&request->pool, &request->res.headers,
                   H2O_TOKEN_CONTENT_TYPE, kJson.data(), kJson.size(), 1);
    auto* stream = reinterpret_cast<ErrorBodyStream*>(
        h2o_add_ostream(request, sizeof(ErrorBodyStream), slot));
    stream->super.do_send = &SendErrorBody;
    stream->sent = false;
    slot = &stream->super.next;
  }
  h2o_setup_next_ostream(request, slot);
}

}  // namespace

HttpResponse HeaderTooLargeAnswer() {
  return {kHeaderTooLarge,
          {{"content-type", "application/json"}},
          std::string(kHeaderTooLargeBody)};
}

HttpResponse BadRequestAnswer() {
  return {kBadRequest,
          {{"content-type", "application/json"}},
          std::string(ErrorBody(kBadRequest))};
}

std::string HeaderTooSlowAnswer() {
  return EncodeAnswer("408 Request Timeout", "", kHeaderTooSlowBody);
}

std::string RequestTooSlowAnswer() {
  return EncodeAnswer("408 Request Timeout", "", kRequestTooSlowBody);
}

std::string NoMemoryAnswer() {
  return EncodeAnswer("503 Service Unavailable", "retry-after: 2\r\n",
                      kNoMemoryBody);
}

void AddErrorFilter(h2o_pathconf_t* path, std::uint64_t* refused) {
  auto* filter = reinterpret_cast<ErrorFilter*>(
      h2o_create_filter(path, sizeof(ErrorFilter)));
  filter->super.on_setup_ostream = &SetUpErrorBody;
  filter->refused = refused;
}

}  // namespace amaranthcove::internal
