#include "amaranthcove/net/upstream_client.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <http_parser.h>

#include "amaranthcove/net/tcp.h"
#include "src/net/http_fields.h"
#include "src/net/message_head.h"
#include "src/net/response_head.h"

namespace amaranthcove {

namespace {

// Fraction of the server's idle timeout during which a connection is reused. If
// a request arrives while the server closes the connection, it is unknown
// whether the request was executed.
constexpr double kReuseFractionOfIdleTimeout = 0.7;

// Limits the headers, interim answers and answers to earlier requests, which a
// faulty server may send endlessly.
constexpr std::size_t kMaxBytesBeforeAnswer = 1 << 20;

// Returns the seconds of "timeout=N" in a Keep-Alive field, or 0 if there is
// none.
int ParseKeepAliveTimeout(std::string_view value) {
  constexpr std::string_view kKey = "timeout=";
  const std::size_t at = value.find(kKey);
  if (at == std::string_view::npos) {
    return 0;
  }
  const std::string_view digits = value.substr(at + kKey.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::max(seconds, 0);
}

class UpstreamClientImpl;

// One connection and its call in progress, if any.
class Connection {
 public:
  Connection(UpstreamClientImpl& owner,
             UpstreamConnectionId id,
             const Address& server)
      : owner_(owner), id_(id), server_(server) {}

  void Open(EventLoop& loop, Duration peer_timeout);
  void Send(UpstreamCallId call,
            const HttpRequest& request,
            UpstreamClient::Callbacks callbacks);

  // Removes the call from the connection and returns its callbacks.
  UpstreamClient::Callbacks TakeCallbacks() {
    call_ = 0;
    return std::exchange(callbacks_, {});
  }

  void PauseReading() {
    if (tcp_ != nullptr && !std::exchange(paused_, true)) {
      tcp_->PauseReading();
    }
  }
  void ResumeReading() {
    if (tcp_ != nullptr && std::exchange(paused_, false)) {
      tcp_->ResumeReading();
    }
  }

  // Closes the connection. No callback of the connection follows.
  void Close() { tcp_.reset(); }

  // Closes the connection such that the server does not get what is still on
  // its way.
  void Reset() {
    if (tcp_ != nullptr) {
      tcp_->ResetOnClose();
    }
    Close();
  }

  UpstreamConnectionId id() const { return id_; }
  const Address& server() const { return server_; }
  UpstreamCallId call() const { return call_; }
  bool opened() const { return opened_; }
  bool has_unsent_request() const {
    // Queued bytes are passed on all at once, and the request is queued last.
    return tcp_ != nullptr && tcp_->queued_bytes() >= request_bytes_;
  }
  Time idle_since() const { return idle_since_; }
  void set_idle_since(Time now) { idle_since_ = now; }
  Duration max_idle(Duration fallback) const {
    return server_max_idle_.value_or(fallback);
  }

 private:
  static Connection& FromParser(http_parser* parser) {
    return *static_cast<Connection*>(parser->data);
  }
  static int OnHeaderField(http_parser* parser, const char* at, size_t length);
  static int OnHeaderValue(http_parser* parser, const char* at, size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnMessageComplete(http_parser* parser);
  static int OnMessageBegin(http_parser* parser);
  static const http_parser_settings& ParserSettings();

  void ResetParser() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    head_check_ = {};
    head_ = {};
    in_value_ = true;
    accepted_ = false;
    has_bytes_ = false;
    bytes_before_answer_ = 0;
  }
  // Returns whether the answer with `head_` belongs to the call.
  bool IsOwnAnswer();
  void OnData(std::string_view bytes);
  // Parses the part of the current message, its head or its body, with which
  // `bytes` begin. Returns the size of the part, or no value if it is
  // malformed.
  std::optional<std::size_t> Parse(std::string_view bytes);
  void OnClosed();
  void OnAnswerComplete(bool has_more_bytes);

  UpstreamClientImpl& owner_;
  const UpstreamConnectionId id_;
  const Address server_;
  std::unique_ptr<TcpConnection> tcp_;
  bool paused_ = false;  // Whether reading is paused.
  http_parser parser_{};
  internal::ResponseHeadCheck head_check_;  // Of the current message.
  HttpResponse head_;
  bool in_value_ = true;   // The last header piece was (part of) a value.
  bool accepted_ = false;  // The current answer belongs to the call.
  bool complete_ = false;  // The current answer has ended.
  bool reusable_ = false;
  bool is_identified_ = true;  // The accepted answer told that it matches.
  int calls_ = 0;              // Carried so far, with the one in progress.
  bool has_bytes_ = false;
  std::size_t bytes_before_answer_ = 0;
  bool opened_ = false;
  bool is_head_method_ = false;
  UpstreamCallId call_ = 0;
  std::size_t request_bytes_ = 0;
  UpstreamClient::Callbacks callbacks_;
  Time idle_since_;
  std::optional<Duration> server_max_idle_;
};

class UpstreamClientImpl final : public UpstreamClient {
 public:
  UpstreamClientImpl(EventLoop& loop, const Options& options)
      : loop_(loop), options_(options) {}

  ~UpstreamClientImpl() override {
    loop_.Cancel(destroy_timer_);
    for (const auto& [id, timer] : connect_timers_) {
      loop_.Cancel(timer);
    }
  }

  UpstreamCallId Start(const Address& server,
                       const HttpRequest& request,
                       Callbacks callbacks,
                       const ConnectionFilter& filter) override {
    const UpstreamCallId call = next_call_++;
    Connection* connection =
        filter.only_new ? nullptr : TakeIdle(server, filter.avoided);
    if (connection == nullptr) {
      connection = OpenConnection(server);
      connect_timers_[call] = loop_.RunAfter(
          options_.connect_timeout, [this, call] { OnConnectTimeout(call); });
    }
    calls_[call] = connection;
    connection->Send(call, request, std::move(callbacks));
    return call;
  }

  UpstreamConnectionId ConnectionOf(UpstreamCallId call) const override {
    const auto found = calls_.find(call);
    return found == calls_.end() ? 0 : found->second->id();
  }

  void Cancel(UpstreamCallId call) override {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
      return;
    }
    Connection& connection = *found->second;
    connection.TakeCallbacks();
    connection.Reset();
    RemoveCallAndConnection(connection, call);
  }

  void PauseReading(UpstreamCallId call) override {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
      found->second->PauseReading();
    }
  }

  void ResumeReading(UpstreamCallId call) override {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
      found->second->ResumeReading();
    }
  }

  bool IsUnsent(UpstreamCallId call) const override {
    const auto found = calls_.find(call);
    return found != calls_.end() && found->second->has_unsent_request();
  }

  void CloseIdle(const Address& server) override {
    const auto found = idle_.find(server);
    if (found == idle_.end()) {
      return;
    }
    for (Connection* connection : std::exchange(found->second, {})) {
      CloseAndDestroyLater(*connection);
    }
    idle_.erase(server);
  }

  Counters counters() const override { return counters_; }

  void OnOpened(Connection& connection) {
    CancelConnectTimer(connection.call());
  }

  // Ends the call of `connection`. The connection is kept if it is `reusable`.
  void OnCallComplete(Connection& connection, bool reusable) {
    const UpstreamCallId call = connection.call();
    Callbacks callbacks = connection.TakeCallbacks();
    if (reusable) {
      RemoveCall(call);
      connection.set_idle_since(SteadyNow());
      idle_[connection.server()].push_back(&connection);
    } else {
      RemoveCallAndConnection(connection, call);
    }
    callbacks.on_end(UpstreamEnd::kComplete);
  }

  void OnConnectionLost(Connection& connection) {
    const UpstreamCallId call = connection.call();
    if (call == 0) {
      RemoveIdle(connection);
      CloseAndDestroyLater(connection);
      return;
    }
    const bool sent = connection.opened();
    Callbacks callbacks = connection.TakeCallbacks();
    RemoveCallAndConnection(connection, call);
    callbacks.on_end(sent ? UpstreamEnd::kBroken : UpstreamEnd::kNotSent);
  }

  void CountStrayAnswer() { ++counters_.stray_answers; }

 private:
  Connection* TakeIdle(const Address& server,
                       std::span<const UpstreamConnectionId> avoided) {
    const auto found = idle_.find(server);
    if (found == idle_.end()) {
      return nullptr;
    }
    std::vector<Connection*>& idle = found->second;
    const Time now = SteadyNow();
    // The most recently used connection is the least likely to be closed soon.
    for (std::size_t i = idle.size(); i-- > 0;) {
      Connection* connection = idle[i];
      if (std::find(avoided.begin(), avoided.end(), connection->id()) !=
          avoided.end()) {
        continue;
      }
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
      if (now - connection->idle_since() <
          connection->max_idle(options_.max_idle)) {
        return connection;
      }
      CloseAndDestroyLater(*connection);
    }
    return nullptr;
  }

  Connection* OpenConnection(const Address& server) {
    auto owned =
        std::make_unique<Connection>(*this, next_connection_++, server);
    Connection* connection = owned.get();
    connections_.emplace(connection, std::move(owned));
    ++counters_.connections_opened;
    connection->Open(loop_, options_.peer_timeout);
    return connection;
  }

  void OnConnectTimeout(UpstreamCallId call) {
    connect_timers_.erase(call);
    const auto found = calls_.find(call);
    if (found != calls_.end() && !found->second->opened()) {
      OnConnectionLost(*found->second);
    }
  }

  void CancelConnectTimer(UpstreamCallId call) {
    const auto found = connect_timers_.find(call);
    if (found != connect_timers_.end()) {
      loop_.Cancel(found->second);
      connect_timers_.erase(found);
    }
  }

  void RemoveCall(UpstreamCallId call) {
    CancelConnectTimer(call);
    calls_.erase(call);
  }

  void RemoveCallAndConnection(Connection& connection, UpstreamCallId call) {
    RemoveCall(call);
    CloseAndDestroyLater(connection);
  }

  void RemoveIdle(Connection& connection) {
    const auto found = idle_.find(connection.server());
    if (found != idle_.end()) {
      std::erase(found->second, &connection);
    }
  }

  // Closes a connection now and destroys it later, because it may be on the
  // stack.
  void CloseAndDestroyLater(Connection& connection) {
    const auto found = connections_.find(&connection);
    if (found == connections_.end()) {
      return;
    }
    connection.Close();
    closed_connections_.push_back(std::move(found->second));
    connections_.erase(found);
    if (destroy_timer_ == 0) {
      destroy_timer_ = loop_.RunAfter(Duration::zero(), [this] {
        destroy_timer_ = 0;
        closed_connections_.clear();
      });
    }
  }

  EventLoop& loop_;
  const Options options_;
  Counters counters_;
  UpstreamCallId next_call_ = 1;
  UpstreamConnectionId next_connection_ = 1;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unordered_map<UpstreamCallId, Connection*> calls_;
  std::unordered_map<UpstreamCallId, TimerId> connect_timers_;
  std::map<Address, std::vector<Connection*>> idle_;
  std::vector<std::unique_ptr<Connection>> closed_connections_;
  TimerId destroy_timer_ = 0;
};

void Connection::Open(EventLoop& loop, Duration peer_timeout) {
  tcp_ =
      TcpConnection::Connect(loop, server_,
                             {[this, peer_timeout] {
                                opened_ = true;
                                tcp_->SetPeerTimeout(peer_timeout);
                                owner_.OnOpened(*this);
                              },
                              [this](std::string_view bytes) { OnData(bytes); },
                              [this] { OnClosed(); }});
}

void Connection::Send(UpstreamCallId call,
                      const HttpRequest& request,
                      UpstreamClient::Callbacks callbacks) {
  call_ = call;
  ++calls_;
  callbacks_ = std::move(callbacks);
  is_head_method_ = request.method == "HEAD";
  ResetParser();
  std::string bytes = internal::EncodeRequestHead(server_, request);
  bytes += request.body;
  request_bytes_ = bytes.size();
  tcp_->Write(bytes);
}

const http_parser_settings& Connection::ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_message_begin = &Connection::OnMessageBegin;
    result.on_header_field = &Connection::OnHeaderField;
    result.on_header_value = &Connection::OnHeaderValue;
    result.on_headers_complete = &Connection::OnHeadersComplete;
    result.on_body = &Connection::OnBody;
    result.on_message_complete = &Connection::OnMessageComplete;
    return result;
  }();
  return settings;
}

int Connection::OnMessageBegin(http_parser* parser) {
  Connection& self = FromParser(parser);
  self.head_ = {};
  self.in_value_ = true;
  self.accepted_ = false;
  self.complete_ = false;
  return 0;
}

int Connection::OnHeaderField(http_parser* parser,
                              const char* at,
                              size_t length) {
  Connection& self = FromParser(parser);
  if (self.in_value_) {
    self.head_.headers.emplace_back();
    self.in_value_ = false;
  }
  self.head_.headers.back().name.append(at, length);
  return 0;
}

int Connection::OnHeaderValue(http_parser* parser,
                              const char* at,
                              size_t length) {
  Connection& self = FromParser(parser);
  if (self.head_.headers.empty()) {
    return -1;
  }
  self.in_value_ = true;
  self.head_.headers.back().value.append(at, length);
  return 0;
}

int Connection::OnHeadersComplete(http_parser* parser) {
  Connection& self = FromParser(parser);
  self.head_.status = static_cast<int>(parser->status_code);
  if (!internal::IsAnswerStatus(self.head_.status)) {
    return -1;  // An error for the parser.
  }
  constexpr int kFirstFinalStatus = 200;
  if (self.head_.status < kFirstFinalStatus) {
    return 0;
  }
  const int seconds =
      ParseKeepAliveTimeout(FindHeader(self.head_.headers, "keep-alive"));
  if (seconds > 0) {
    self.server_max_idle_ = std::chrono::duration_cast<Duration>(
        std::chrono::seconds(seconds) * kReuseFractionOfIdleTimeout);
  }
  self.accepted_ = self.call_ != 0 && self.IsOwnAnswer();
  if (self.accepted_) {
    self.callbacks_.on_head(self.head_);
  } else {
    self.owner_.CountStrayAnswer();
  }
  return self.is_head_method_ ? 1 : 0;
}

bool Connection::IsOwnAnswer() {
  const AnswerMatch match =
      callbacks_.match ? callbacks_.match(head_) : AnswerMatch::kMatches;
  is_identified_ = match != AnswerMatch::kUnidentified;
  return match == AnswerMatch::kMatches ||
         (match == AnswerMatch::kUnidentified && calls_ == 1);
}

int Connection::OnBody(http_parser* parser, const char* at, size_t length) {
  Connection& self = FromParser(parser);
  if (self.accepted_ && self.call_ != 0) {
    self.callbacks_.on_data(std::string_view(at, length));
  }
  return 0;
}

int Connection::OnMessageComplete(http_parser* parser) {
  Connection& self = FromParser(parser);
  // The head of the next message is checked before it is parsed.
  http_parser_pause(parser, 1);
  constexpr int kFirstFinalStatus = 200;
  if (parser->status_code < kFirstFinalStatus || !self.accepted_) {
    return 0;
  }
  self.complete_ = true;
  self.reusable_ = self.is_identified_ && http_should_keep_alive(parser) != 0;
  return 0;
}

void Connection::OnData(std::string_view bytes) {
  if (call_ == 0) {
    // The data belongs to no request.
    owner_.CountStrayAnswer();
    owner_.OnConnectionLost(*this);
    return;
  }
  has_bytes_ = true;
  const std::size_t received = bytes.size();
  while (!bytes.empty()) {
    const std::optional<std::size_t> parsed = Parse(bytes);
    if (call_ == 0) {
      return;  // Cancelled by a callback.
    }
    if (!parsed) {
      owner_.OnConnectionLost(*this);
      return;
    }
    bytes.remove_prefix(*parsed);
    if (complete_) {
      OnAnswerComplete(!bytes.empty());
      return;
    }
  }
  if (!accepted_) {
    bytes_before_answer_ += received;
  }
  if (bytes_before_answer_ > kMaxBytesBeforeAnswer) {
    owner_.OnConnectionLost(*this);
  }
}

std::optional<std::size_t> Connection::Parse(std::string_view bytes) {
  using Part = internal::ResponseHeadCheck::Part;
  if (head_check_.part != Part::kComplete) {
    bytes = bytes.substr(0, internal::CheckResponseHead(head_check_, bytes));
    if (head_check_.part == Part::kMalformed) {
      return std::nullopt;
    }
  }
  const std::size_t parsed = http_parser_execute(&parser_, &ParserSettings(),
                                                 bytes.data(), bytes.size());
  switch (HTTP_PARSER_ERRNO(&parser_)) {
    case HPE_OK:
      return parsed;
    case HPE_PAUSED:  // At the end of the message.
      http_parser_pause(&parser_, 0);
      head_check_ = {};
      return parsed;
    default:
      return std::nullopt;
  }
}

void Connection::OnAnswerComplete(bool has_more_bytes) {
  complete_ = false;
  ResumeReading();
  if (has_more_bytes) {
    owner_.CountStrayAnswer();
  }
  owner_.OnCallComplete(*this, reusable_ && !has_more_bytes);
}

void Connection::OnClosed() {
  if (call_ != 0 && has_bytes_ && tcp_ != nullptr && tcp_->closed_cleanly()) {
    // The orderly close completes an answer without a length.
    http_parser_execute(&parser_, &ParserSettings(), nullptr, 0);
    if (call_ != 0 && complete_) {
      complete_ = false;
      owner_.OnCallComplete(*this, false);
      return;
    }
  }
  owner_.OnConnectionLost(*this);
}

}  // namespace

UpstreamCallId UpstreamClient::Fetch(
    const Address& server,
    const HttpRequest& request,
    std::size_t max_body_bytes,
    std::function<void(UpstreamEnd, HttpResponse)> done) {
  struct Collected {
    UpstreamCallId call = 0;
    HttpResponse response;
    std::function<void(UpstreamEnd, HttpResponse)> done;
  };
  auto collected = std::make_shared<Collected>();
  collected->done = std::move(done);
  Callbacks callbacks;
  callbacks.on_head = [collected](const HttpResponse& head) {
    collected->response = head;
  };
  callbacks.on_data = [this, max_body_bytes, collected](std::string_view data) {
    std::string& body = collected->response.body;
    if (body.size() + data.size() <= max_body_bytes) {
      body += data;
      return;
    }
    // `Cancel` destroys this callback with all that it holds.
    const auto end_call = std::move(collected->done);
    Cancel(collected->call);
    end_call(UpstreamEnd::kTooLong, {});
  };
  callbacks.on_end = [collected](UpstreamEnd end) {
    if (end != UpstreamEnd::kComplete) {
      collected->response = {};
    }
    collected->done(end, std::move(collected->response));
  };
  collected->call = Start(server, request, std::move(callbacks), {});
  return collected->call;
}

std::unique_ptr<UpstreamClient> UpstreamClient::Create(EventLoop& loop,
                                                       const Options& options) {
  return std::make_unique<UpstreamClientImpl>(loop, options);
}

}  // namespace amaranthcove
