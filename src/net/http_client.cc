#include "amaranthcove/net/http_client.h"

#include <arpa/inet.h>

#include <span>
#include <string>
#include <unordered_map>
#include <utility>

#include "src/net/h2o_headers.h"
#include "src/net/http_fields.h"
#include "src/net/message_head.h"
#include "src/net/response_head.h"

namespace amaranthcove {

namespace {

// h2o measures its I/O timeout on the wall clock. Calls have deadlines on the
// steady clock instead, so h2o's timeout is effectively disabled (10 years).
constexpr std::uint64_t kH2oIoTimeoutMs = 10ULL * 365 * 24 * 3600 * 1000;

// Idle connections are closed well before `HttpServer` closes them (60 s), so
// that a call rarely uses a connection that is being closed.
constexpr std::uint64_t kIdleConnectionMs = 15'000;

constexpr std::size_t kMaxConnectionsPerServer = 4096;

class HttpClientImpl final : public HttpClient {
 public:
  explicit HttpClientImpl(EventLoop& loop) : loop_(loop) {
    h2o_timeout_init(loop.native(), &io_timeout_, kH2oIoTimeoutMs);
    context_.loop = loop.native();
    context_.io_timeout = &io_timeout_;
  }

  ~HttpClientImpl() override {
    for (auto& [id, call] : calls_) {
      loop_.Cancel(call->timer);
      Disconnect(*call);
    }
    for (auto& [address, pool] : pools_) {
      h2o_socketpool_dispose(&pool);
    }
    h2o_timeout_dispose(loop_.native(), &io_timeout_);
  }

  HttpCallId Start(const Address& server,
                   HttpRequest request,
                   Time deadline,
                   Callbacks callbacks) override {
    const HttpCallId id = next_call_++;
    auto owned = std::make_unique<Call>();
    Call& call = *owned;
    calls_.emplace(id, std::move(owned));
    call.owner = this;
    call.id = id;
    call.callbacks = std::move(callbacks);
    call.is_head_method = request.method == "HEAD";
    call.buffers[0] =
        Buffer(call.head = internal::EncodeRequestHead(server, request));
    call.buffers[1] = Buffer(call.body = std::move(request.body));
    call.timer = loop_.RunAt(deadline, [this, &call] {
      Disconnect(call);
      ReportEnd(call, HttpCallEnd::kTimedOut);
    });
    h2o_socketpool_t* pool = GetPool(server);
    if (pool == nullptr) {
      ScheduleEnd(call, HttpCallEnd::kConnectFailed);
      return id;
    }
    h2o_http1client_connect_with_pool(&call.client, &call, &context_, pool,
                                      &HttpClientImpl::OnConnect);
    return id;
  }

  void Cancel(HttpCallId id) override {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      return;
    }
    Call& call = *found->second;
    loop_.Cancel(call.timer);
    if (call.in_callback) {
      // h2o still uses the connection; the callback's return value closes it.
      call.cancelled = true;
      return;
    }
    Disconnect(call);
    calls_.erase(found);
  }

 private:
  struct Call {
    HttpClientImpl* owner = nullptr;
    HttpCallId id = 0;
    Callbacks callbacks;
    std::string head;
    std::string body;
    h2o_iovec_t buffers[2] = {};
    h2o_http1client_t* client = nullptr;  // Null once h2o has released it.
    TimerId timer = 0;                    // The deadline, or the scheduled end.
    bool is_head_method = false;
    // How the answer marks the end of its body. Without either, a truncation
    // cannot be detected and the call ends with kBroken.
    bool has_length = false;
    bool is_chunked = false;
    bool in_callback = false;
    bool cancelled = false;
  };

  static h2o_iovec_t Buffer(std::string& text) {
    return h2o_iovec_init(text.data(), text.size());
  }

  h2o_socketpool_t* GetPool(const Address& server) {
    const std::string key = FormatAddress(server);
    const auto found = pools_.find(key);
    if (found != pools_.end()) {
      return &found->second;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    if (inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr) != 1) {
      return nullptr;
    }
    h2o_socketpool_t* pool = &pools_[key];
    h2o_socketpool_init_by_address(pool, reinterpret_cast<sockaddr*>(&address),
                                   sizeof(address), 0,
                                   kMaxConnectionsPerServer);
    h2o_socketpool_set_timeout(pool, loop_.native(), kIdleConnectionMs);
    return pool;
  }

  static void Disconnect(Call& call) {
    if (call.client != nullptr) {
      h2o_http1client_cancel(std::exchange(call.client, nullptr));
    }
  }

  // Schedules the end of the call outside of h2o's callback, so that `on_end`
  // may use or destroy this client.
  void ScheduleEnd(Call& call, HttpCallEnd end) {
    call.client = nullptr;
    loop_.Cancel(call.timer);
    call.timer = loop_.RunAfter(Duration::zero(),
                                [this, &call, end] { ReportEnd(call, end); });
  }

  void ReportEnd(Call& call, HttpCallEnd end) {
    auto on_end = std::move(call.callbacks.on_end);
    calls_.erase(call.id);
    if (on_end) {
      on_end(end);
    }
  }

  // Runs a callback of the call. Returns false if the callback cancelled the
  // call, which is then destroyed.
  template <typename Callback>
  static bool RunCallback(Call& call, Callback callback) {
    call.in_callback = true;
    callback();
    call.in_callback = false;
    if (!call.cancelled) {
      return true;
    }
    call.owner->calls_.erase(call.id);
    return false;
  }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* error,
                                           h2o_iovec_t** buffers,
                                           size_t* buffer_count,
                                           int* method_is_head) {
    auto* call = static_cast<Call*>(client->data);
    if (error != nullptr) {
      call->owner->ScheduleEnd(*call, HttpCallEnd::kConnectFailed);
      return nullptr;
    }
    *buffers = call->buffers;
    *buffer_count = call->body.empty() ? 1 : 2;
    *method_is_head = call->is_head_method ? 1 : 0;
    return &HttpClientImpl::OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                                        const char* error,
                                        int /*minor_version*/,
                                        int status,
                                        h2o_iovec_t /*reason*/,
                                        h2o_header_t* headers,
                                        size_t header_count,
                                        int head_length) {
    auto* call = static_cast<Call*>(client->data);
    const bool is_last = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !is_last) {
      call->owner->ScheduleEnd(*call, HttpCallEnd::kBroken);
      return nullptr;
    }
    // The head is still in the connection's buffer.
    const std::string_view head_bytes(client->sock->input->bytes,
                                      static_cast<std::size_t>(head_length));
    if (!internal::IsWellFormedResponseHead(head_bytes) ||
        !internal::IsAnswerStatus(status)) {
      call->owner->ScheduleEnd(*call, HttpCallEnd::kBroken);
      return nullptr;
    }
    HttpResponse head;
    head.status = status;
    for (const h2o_header_t& header : std::span(headers, header_count)) {
      head.headers.push_back(
          {std::string(header.name->base, header.name->len),
           std::string(header.value.base, header.value.len)});
    }
    call->is_chunked = internal::EqualsIgnoreCase(
        FindHeader(head.headers, "transfer-encoding"), "chunked");
    call->has_length = !call->is_chunked &&
                       !FindHeader(head.headers, "content-length").empty();
    if (internal::StatesLengthTwice(head.headers)) {
      call->owner->ScheduleEnd(*call, HttpCallEnd::kBroken);
      return nullptr;
    }
    const bool is_active = RunCallback(*call, [&] {
      if (call->callbacks.on_head) {
        call->callbacks.on_head(head);
      }
    });
    if (!is_active) {
      return nullptr;
    }
    if (is_last) {
      call->owner->ScheduleEnd(*call, HttpCallEnd::kComplete);
      return nullptr;
    }
    return &HttpClientImpl::OnBody;
  }

  static int OnBody(h2o_http1client_t* client, const char* error) {
    auto* call = static_cast<Call*>(client->data);
    const bool is_last = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !is_last) {
      call->owner->ScheduleEnd(*call, HttpCallEnd::kBroken);
      return -1;
    }
    // h2o also reports a close between two chunks as the end of the body. In
    // that case no byte was read, while a proper last chunk consists of bytes.
    const bool is_complete =
        call->has_length || (call->is_chunked && client->sock->bytes_read != 0);
    h2o_buffer_t*& input = client->sock->input;
    const bool is_active = RunCallback(*call, [&] {
      if (input->size != 0 && call->callbacks.on_data) {
        call->callbacks.on_data(std::string_view(input->bytes, input->size));
      }
    });
    h2o_buffer_consume(&input, input->size);
    if (!is_active) {
      return -1;
    }
    if (is_last) {
      call->owner->ScheduleEnd(
          *call, is_complete ? HttpCallEnd::kComplete : HttpCallEnd::kBroken);
    }
    return 0;
  }

  EventLoop& loop_;
  h2o_http1client_ctx_t context_ = {};
  h2o_timeout_t io_timeout_ = {};
  std::unordered_map<std::string, h2o_socketpool_t> pools_;  // By address.
  HttpCallId next_call_ = 1;
  std::unordered_map<HttpCallId, std::unique_ptr<Call>> calls_;
};

}  // namespace

std::unique_ptr<HttpClient> HttpClient::Create(EventLoop& loop) {
  return std::make_unique<HttpClientImpl>(loop);
}

HttpCallId HttpClient::Fetch(
    const Address& server,
    HttpRequest request,
    Time deadline,
    std::function<void(HttpCallEnd, HttpResponse)> done) {
  auto response = std::make_shared<HttpResponse>();
  auto too_long = std::make_shared<bool>(false);
  Callbacks callbacks;
  callbacks.on_head = [response](const HttpResponse& head) {
    *response = head;
  };
  callbacks.on_data = [response, too_long](std::string_view data) {
    // The rest is discarded, because the call cannot end inside this callback.
    *too_long |= response->body.size() + data.size() > kMaxFetchedBytes;
    if (!*too_long) {
      response->body += data;
    }
  };
  callbacks.on_end = [response, too_long,
                      done = std::move(done)](HttpCallEnd end) {
    if (end == HttpCallEnd::kComplete && *too_long) {
      end = HttpCallEnd::kBroken;
    }
    if (end != HttpCallEnd::kComplete) {
      *response = HttpResponse();
    }
    done(end, std::move(*response));
  };
  return Start(server, std::move(request), deadline, std::move(callbacks));
}

}  // namespace amaranthcove
