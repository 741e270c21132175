#include "src/net/http_exchange.h"

#include <poll.h>
#include <sys/socket.h>

#include <utility>

#include "src/net/http_fields.h"

namespace amaranthcove::internal {

namespace {

// After an abort, the piece in progress may be sent for this time. Then the
// connection is closed, in case the caller has stopped reading.
constexpr Duration kAbortGrace = std::chrono::seconds(1);

constexpr std::size_t kUnknownLength = static_cast<std::size_t>(-1);

bool MayHaveBody(int status) {
  return status >= 200 && status != 204 && status != 304;
}

// h2o uses chunked encoding for a body of unknown length only in these cases.
// Other answers would end with the connection, so that callers could not detect
// a truncation.
bool CanBeChunked(const h2o_req_t& request, int status) {
  return request.version >= 0x101 && (status == 200 || status == 206);
}

class Responder final : public HttpResponder {
 public:
  explicit Responder(std::shared_ptr<Exchange> exchange)
      : exchange_(std::move(exchange)) {}

  ~Responder() override {
    exchange_->DropCallback();
    exchange_->Abort();
  }

  void Send(HttpResponse response) override {
    exchange_->Send(std::move(response));
  }
  void Start(HttpResponse response) override {
    exchange_->Start(std::move(response));
  }
  void Write(std::string_view data) override { exchange_->Write(data); }
  void End() override { exchange_->End(); }
  void Abort() override { exchange_->Abort(); }
  std::size_t buffered_bytes() const override {
    return exchange_->buffered_bytes();
  }
  bool IsCallerGone() const override { return exchange_->IsCallerGone(); }
  void OnCallerGone(std::function<void()> callback) override {
    exchange_->OnCallerGone(std::move(callback));
  }

 private:
  std::shared_ptr<Exchange> exchange_;
};

}  // namespace

std::vector<bool> HaveDisconnected(std::span<const int> sockets) {
  std::vector<pollfd> polled;
  polled.reserve(sockets.size());
  for (const int socket : sockets) {
    // POLLRDHUP is reported even if pipelined bytes are unread, while MSG_PEEK
    // would return only those bytes.
    polled.push_back({socket, POLLRDHUP, 0});
  }
  poll(polled.data(), polled.size(), 0);
  std::vector<bool> disconnected;
  disconnected.reserve(polled.size());
  for (const pollfd& entry : polled) {
    disconnected.push_back(entry.revents != 0);
  }
  return disconnected;
}

std::string ToString(h2o_iovec_t text) {
  return text.base == nullptr ? std::string()
                              : std::string(text.base, text.len);
}

void Exchange::Attach(h2o_req_t* request) {
  request_ = request;
  is_head_method_ = ToString(request->input.method) == "HEAD";
  auto* generator = static_cast<RequestGenerator*>(h2o_mem_alloc_shared(
      &request->pool, sizeof(RequestGenerator), &Exchange::OnRequestDisposed));
  new (generator)
      RequestGenerator{{&Exchange::OnProceed, nullptr}, shared_from_this()};
  generator_ = generator;
  open_exchanges_.insert(this);
}

int Exchange::socket_fd() const {
  return h2o_socket_get_fd(
      request_->conn->callbacks->get_socket(request_->conn));
}

void Exchange::Send(HttpResponse response) {
  if (request_ == nullptr || has_head_ || ended_) {
    return;
  }
  has_head_ = true;
  answer_began_ = loop_.Now();
  pending_ = std::move(response.body);
  response_ = std::move(response);
  ended_ = true;
  StartWithLength();
}

void Exchange::Start(HttpResponse response) {
  if (request_ == nullptr || has_head_ || ended_) {
    return;
  }
  has_head_ = true;
  answer_began_ = loop_.Now();
  pending_ = std::move(response.body);
  response_ = std::move(response);
  if (!CanBeChunked(*request_, response_.status)) {
    return;  // Collected until `End`.
  }
  StartResponse(kUnknownLength);
  Flush();
}

void Exchange::Write(std::string_view data) {
  if (request_ == nullptr || ended_) {
    return;
  }
  pending_ += data;
  if (started_) {
    Flush();
  }
}

void Exchange::End() {
  if (request_ == nullptr || ended_) {
    return;
  }
  ended_ = true;
  if (started_) {
    Flush();
  } else {
    StartWithLength();
  }
}

void Exchange::Abort() {
  if (request_ == nullptr || ended_) {
    return;
  }
  ended_ = true;
  aborted_ = true;
  on_caller_disconnected_ = nullptr;
  BreakConnection();
}

bool Exchange::IsCallerGone() const {
  if (request_ == nullptr) {
    return true;
  }
  const int fd = socket_fd();
  return HaveDisconnected({&fd, 1})[0];
}

void Exchange::OnCallerGone(std::function<void()> callback) {
  on_caller_disconnected_ = std::move(callback);
}

void Exchange::HandleCallerDisconnect() {
  ReportCallerDisconnect();
  ended_ = true;
  aborted_ = true;
  pending_.clear();
  // Makes a pending write fail.
  shutdown(socket_fd(), SHUT_RDWR);
  if (!sending_) {
    SendError();
  }
}

void Exchange::GiveUp() {
  given_up_ = true;
  // Makes the pending write fail, whereupon h2o disposes of the request.
  shutdown(socket_fd(), SHUT_RDWR);
}

std::size_t Exchange::buffered_bytes() const {
  return pending_.size() + in_flight_.size();
}

void Exchange::OnProceed(h2o_generator_t* self, h2o_req_t* /*request*/) {
  const auto exchange = reinterpret_cast<RequestGenerator*>(self)->exchange;
  exchange->sending_ = false;
  exchange->in_flight_.clear();
  exchange->Flush();
}

void Exchange::OnRequestDisposed(void* memory) {
  auto* generator = static_cast<RequestGenerator*>(memory);
  const std::shared_ptr<Exchange> exchange = std::move(generator->exchange);
  generator->~RequestGenerator();
  exchange->Detach();
}

void Exchange::Detach() {
  if (stopped_) {
    // The answer may have started before the server stopped, without announcing
    // that the connection will be closed.
    shutdown(socket_fd(), SHUT_RDWR);
  }
  request_ = nullptr;
  generator_ = nullptr;
  open_exchanges_.erase(this);
  pending_.clear();
  in_flight_.clear();
  ReportCallerDisconnect();
}

void Exchange::ReportCallerDisconnect() {
  if (ended_ || !on_caller_disconnected_) {
    return;
  }
  // Deferred to the loop, because h2o or the responder may be on the stack.
  loop_.RunAfter(Duration::zero(), [self = weak_from_this()] {
    const auto exchange = self.lock();
    if (exchange != nullptr && exchange->on_caller_disconnected_) {
      std::exchange(exchange->on_caller_disconnected_, nullptr)();
    }
  });
}

void Exchange::StartWithLength() {
  if (!MayHaveBody(response_.status)) {
    pending_.clear();
    StartResponse(kUnknownLength);
  } else {
    StartResponse(pending_.size());
  }
  Flush();
}

void Exchange::StartResponse(std::size_t length) {
  started_ = true;
  h2o_res_t& res = request_->res;
  res.status = response_.status;
  res.reason = "";
  res.content_length = length;
  for (const HttpHeader& header : response_.headers) {
    if (IsSendable(header)) {
      AddHeader(header);
    }
  }
  if (closing_) {
    request_->http1_is_persistent = 0;
  }
  h2o_start_response(request_, &generator_->super);
}

void Exchange::AddHeader(const HttpHeader& header) {
  h2o_mem_pool_t* pool = &request_->pool;
  h2o_iovec_t name = h2o_strdup(pool, header.name.data(), header.name.size());
  h2o_strtolower(name.base, name.len);
  const h2o_iovec_t value =
      h2o_strdup(pool, header.value.data(), header.value.size());
  h2o_add_header_by_str(pool, &request_->res.headers, name.base, name.len, 1,
                        nullptr, value.base, value.len);
}

void Exchange::Flush() {
  if (sending_ || request_ == nullptr || sent_last_) {
    return;
  }
  if (is_head_method_) {
    pending_.clear();
  }
  // Data written before an abort is sent first, such as the event that states
  // the reason.
  if (aborted_ && pending_.empty()) {
    SendError();
    return;
  }
  if (pending_.empty() && !ended_ && head_flushed_) {
    return;
  }
  head_flushed_ = true;
  in_flight_.swap(pending_);
  sending_ = true;
  sent_last_ = ended_ && !aborted_;
  h2o_iovec_t buffer = h2o_iovec_init(in_flight_.data(), in_flight_.size());
  // h2o may dispose of the request during this call.
  const auto self = shared_from_this();
  h2o_send(request_, &buffer, in_flight_.empty() ? 0 : 1,
           sent_last_ ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void Exchange::BreakConnection() {
  if (!started_) {
    shutdown(socket_fd(), SHUT_RDWR);
    SendError();
  } else if (!sending_) {
    SendError();
  } else {
    // `Flush` sends the error after the current piece, because some clients
    // take a close between two chunks as the end of the answer.
    loop_.RunAfter(kAbortGrace, [self = weak_from_this()] {
      const auto exchange = self.lock();
      if (exchange != nullptr && exchange->is_attached()) {
        shutdown(exchange->socket_fd(), SHUT_RDWR);
      }
    });
  }
}

void Exchange::SendError() {
  const auto self = shared_from_this();
  sent_last_ = true;
  request_->http1_is_persistent = 0;
  if (options_.abort_method == HttpServer::AbortMethod::kClose) {
    shutdown(socket_fd(), SHUT_WR);
  }
  if (!started_) {
    started_ = true;
    request_->res.status = 500;
    request_->res.reason = "";
    h2o_start_response(request_, &generator_->super);
  }
  h2o_send(request_, nullptr, 0, H2O_SEND_STATE_ERROR);
}

std::unique_ptr<HttpResponder> MakeResponder(
    std::shared_ptr<Exchange> exchange) {
  return std::make_unique<Responder>(std::move(exchange));
}

}  // namespace amaranthcove::internal
