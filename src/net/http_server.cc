#include "amaranthcove/net/http_server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "src/net/h2o_headers.h"
#include "src/net/http_errors.h"
#include "src/net/http_exchange.h"
#include "src/net/intake_control.h"
#include "src/net/message_head.h"
#include "src/net/server_connection.h"

namespace amaranthcove {

namespace {

using internal::Exchange;
using internal::ServerConnection;
using internal::ToString;

// Interval between checks for disconnected callers. h2o does not read while a
// request is in progress, so it does not detect them.
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(100);

// h2o measures its request timeout on the wall clock, which may be set forward,
// so it is effectively disabled (1 day). The timeouts of this server use the
// steady clock.
constexpr std::uint64_t kH2oRequestTimeoutMs = 86'400'000;

// Interval between checks for idle connections and slow header fields.
constexpr Duration kConnectionCheckInterval = std::chrono::milliseconds(250);

// Interval between checks of the memory for requests while events arrive.
constexpr Duration kIntakeInterval = std::chrono::milliseconds(2);

// Pause after which connections are accepted again when the process has run out
// of descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

// Share of the descriptors of the process for connections of callers, and the
// number that is assumed if the system does not tell it.
constexpr double kConnectionShare = 0.375;
constexpr std::size_t kAssumedDescriptors = 1024;

// Receive buffer of a connection. It bounds what one read can take, and what
// the system keeps of a connection that is not read: h2o reads until the
// connection is empty before the memory is checked. It is set on each
// connection, since on the listener it delayed long bodies on the users'
// platform.
constexpr int kReceiveBufferBytes = 64 << 10;

// Maximum number of connections accepted before other events are handled.
constexpr int kMaxAcceptsPerRound = 64;

constexpr std::string_view kEndOfHeader = "\r\n\r\n";

// Returns the size of the request line and header fields in HTTP/1.1 encoding.
std::size_t HeaderBytes(const HttpRequest& request) {
  constexpr std::size_t kLineOverhead = 12;  // Spaces, version, end of line.
  constexpr std::size_t kFieldOverhead = 4;  // Colon, space, end of line.
  std::size_t bytes =
      request.method.size() + request.path.size() + kLineOverhead;
  for (const HttpHeader& header : request.headers) {
    bytes += header.name.size() + header.value.size() + kFieldOverhead;
  }
  return bytes;
}

// Returns the maximum number of connections of a server.
std::size_t MaxConnections(const HttpServer::Options& options) {
  if (options.max_connections > 0) {
    return options.max_connections;
  }
  rlimit limit = {};
  const bool known =
      getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const auto descriptors =
      known ? static_cast<std::size_t>(limit.rlim_cur) : kAssumedDescriptors;
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(kConnectionShare *
                                  static_cast<double>(descriptors)));
}

internal::IntakeLimits IntakeLimitsOf(const HttpServer::Options& options) {
  internal::IntakeLimits limits;
  limits.budget = options.memory_budget;
  return limits;
}

// The state that h2o's connections refer to. It outlives the `HttpServer` until
// the last connection is closed, because h2o closes connections only from the
// loop.
class ServerCore {
 public:
  ServerCore(EventLoop& loop,
             const HttpServer::Options& options,
             HttpServer::Handler handler)
      : loop_(loop),
        options_(options),
        limits_(options.limits),
        handler_(std::move(handler)),
        intake_(IntakeLimitsOf(options)),
        max_connections_(MaxConnections(options)) {
    round_hook_ = loop_.AddRoundHook([this] { OnRound(); });
    h2o_config_init(&config_);
    static constexpr std::string_view kServerName = "amaranthcove";
    config_.server_name =
        h2o_iovec_init(kServerName.data(), kServerName.size());
    config_.max_request_entity_size = options.limits.max_body_bytes;
    config_.http1.req_timeout = kH2oRequestTimeoutMs;
    config_.http1.upgrade_to_http2 = 0;
    static constexpr std::string_view kHost = "default";
    h2o_hostconf_t* host = h2o_config_register_host(
        &config_, h2o_iovec_init(kHost.data(), kHost.size()), 65535);
    AddHandler(h2o_config_register_path(host, "/", 0));
    internal::AddErrorFilter(&host->fallback_path, &counters_.refused);
    h2o_context_init(&context_, loop.native(), &config_);
    accept_.ctx = &context_;
    accept_.hosts = config_.hosts;
  }

  ~ServerCore() {
    loop_.Cancel(caller_check_timer_);
    loop_.Cancel(connection_check_timer_);
    loop_.Cancel(accept_timer_);
    loop_.RemoveRoundHook(round_hook_);
    internal::KeepUntilExit(context_.queue);
    h2o_context_dispose(&context_);
    h2o_config_dispose(&config_);
  }

  ServerCore(const ServerCore&) = delete;
  ServerCore& operator=(const ServerCore&) = delete;

  void Listen(h2o_socket_t* listener) {
    listener_ = listener;
    h2o_socket_read_start(listener_, &ServerCore::OnAcceptable);
  }

  void CloseListener() {
    if (listener_ != nullptr) {
      h2o_socket_read_stop(listener_);
      h2o_socket_close(std::exchange(listener_, nullptr));
    }
  }

  void Accept() {
    for (int i = 0; i < kMaxAcceptsPerRound; ++i) {
      if (!HasRoomForConnection()) {
        SuspendAccepting();
        return;
      }
      errno = 0;
      h2o_socket_t* socket = h2o_evloop_socket_accept(listener_);
      if (socket == nullptr) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
            errno == ENOMEM) {
          SuspendAccepting();
        }
        return;
      }
      // A failure changes little.
      setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_RCVBUF,
                 &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
      connections_[socket].idle_since = loop_.Now();
      auto* close_data = new CloseCallbackData{this, socket};
      socket->on_close.cb = &ServerCore::OnConnectionClosed;
      socket->on_close.data = close_data;
      h2o_accept(&accept_, socket);
      ScheduleConnectionCheck();
    }
  }

  void SetLimits(const HttpServer::Limits& limits) {
    limits_ = limits;
    config_.max_request_entity_size = limits.max_body_bytes;
  }

  const HttpServer::Counters& counters() const { return counters_; }

  // Closes connections after their current answers.
  void CloseAfterAnswers() {
    closing_ = true;
    context_.shutdown_requested = 1;
  }

  // Closes the connections that have no request in progress.
  void CloseIdle() {
    stopped_ = true;
    const std::unordered_set<int> busy = BusySockets();
    for (const auto& [socket, connection] : connections_) {
      const int fd = h2o_socket_get_fd(socket);
      if (!busy.contains(fd)) {
        shutdown(fd, SHUT_RDWR);
      }
    }
  }

  // Destroys the handler, aborts all answers and closes all connections. The
  // object deletes itself when the last connection is closed. Precondition: not
  // called by the handler.
  void ShutDownAndDelete() {
    delete_when_unused_ = true;
    CloseAfterAnswers();
    handler_ = nullptr;
    const std::vector<Exchange*> open(open_exchanges_.begin(),
                                      open_exchanges_.end());
    for (Exchange* exchange : open) {
      exchange->DropCallback();
      exchange->Abort();
    }
    for (const auto& [socket, connection] : connections_) {
      shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }
    if (connections_.empty()) {
      delete this;
      return;
    }
    // The process may end before the loop has closed the connections.
    internal::KeepUntilExit(this);
  }

 private:
  struct RequestHandler {
    h2o_handler_t super;
    ServerCore* core;
  };

  struct CloseCallbackData {
    ServerCore* core;
    h2o_socket_t* socket;
  };

  void AddHandler(h2o_pathconf_t* path) {
    auto* handler = reinterpret_cast<RequestHandler*>(
        h2o_create_handler(path, sizeof(RequestHandler)));
    handler->super.on_req = &ServerCore::OnRequest;
    handler->core = this;
  }

  static void OnConnectionClosed(void* data) {
    const std::unique_ptr<CloseCallbackData> close_data(
        static_cast<CloseCallbackData*>(data));
    const auto connection =
        close_data->core->connections_.find(close_data->socket);
    if (!connection->second.has_requested) {
      ++close_data->core->counters_.incomplete_connections;
    }
    close_data->core->connections_.erase(connection);
    close_data->core->DeleteIfUnused();
  }

  static void OnAcceptable(h2o_socket_t* listener, const char* error) {
    if (error == nullptr) {
      static_cast<ServerCore*>(listener->data)->Accept();
    }
  }

  // Stops accepting for a while. New connections wait in the system's queue.
  void SuspendAccepting() {
    if (!accepting_ || listener_ == nullptr) {
      return;
    }
    accepting_ = false;
    h2o_socket_read_stop(listener_);
    accept_timer_ = loop_.RunAfter(kAcceptPause, [this] {
      accept_timer_ = 0;
      accepting_ = true;
      if (listener_ != nullptr) {
        h2o_socket_read_start(listener_, &ServerCore::OnAcceptable);
      }
    });
  }

  // Returns whether another connection may be accepted. If there are too many,
  // closes one that has no request in progress, if there is any.
  bool HasRoomForConnection() {
    if (connections_.size() < max_connections_) {
      return true;
    }
    const std::unordered_set<int> busy = BusySockets();
    h2o_socket_t* idlest = nullptr;
    std::size_t open = 0;
    for (auto& [socket, connection] : connections_) {
      if (connection.shut_down) {
        continue;
      }
      ++open;
      if (!busy.contains(h2o_socket_get_fd(socket)) &&
          (idlest == nullptr ||
           connection.idle_since < connections_[idlest].idle_since)) {
        idlest = socket;
      }
    }
    if (open >= max_connections_ && idlest != nullptr) {
      ++counters_.closed_for_new;
      intake_.Close(*idlest, connections_[idlest]);
    }
    // A connection that was shut down ends in the next round.
    return connections_.size() < max_connections_;
  }

  void OnRound() {
    const Time now = loop_.Now();
    if (now - intake_checked_ < kIntakeInterval) {
      return;
    }
    intake_checked_ = now;
    if (intake_.IsUnderPressure(connections_)) {
      CheckIntake(BusySockets(), now);
    }
    LimitUnreadAnswers();
  }

  void CheckIntake(const std::unordered_set<int>& busy, Time now) {
    counters_.refused_intake +=
        intake_.Check(connections_, busy, limits_.max_body_bytes, now);
  }

  // Closes the connections whose answers have waited longest, until those that
  // remain are within the budget.
  void LimitUnreadAnswers() {
    std::size_t unread = 0;
    for (const Exchange* exchange : open_exchanges_) {
      unread += exchange->is_given_up() ? 0 : exchange->buffered_bytes();
    }
    while (unread > options_.memory_budget) {
      Exchange* oldest = nullptr;
      for (Exchange* exchange : open_exchanges_) {
        if (exchange->buffered_bytes() > 0 && !exchange->is_given_up() &&
            (oldest == nullptr ||
             exchange->answer_began() < oldest->answer_began())) {
          oldest = exchange;
        }
      }
      if (oldest == nullptr) {
        return;
      }
      unread -= oldest->buffered_bytes();
      oldest->GiveUp();
      ++counters_.closed_unread;
    }
  }

  void DeleteIfUnused() {
    if (!delete_when_unused_ || !connections_.empty()) {
      return;
    }
    // h2o may still be on the stack.
    loop_.RunAfter(Duration::zero(), [this] { delete this; });
  }

  static int OnRequest(h2o_handler_t* self, h2o_req_t* request) {
    ServerCore* core = reinterpret_cast<RequestHandler*>(self)->core;
    auto exchange = std::make_shared<Exchange>(core->loop_, core->options_,
                                               core->open_exchanges_,
                                               core->closing_, core->stopped_);
    exchange->Attach(request);
    const auto connection = core->connections_.find(
        request->conn->callbacks->get_socket(request->conn));
    bool shut_down = core->stopped_;
    if (connection != core->connections_.end()) {
      connection->second.has_requested = true;
      shut_down = shut_down || connection->second.shut_down;
    }
    if (shut_down) {
      // The request arrived while its connection was being closed, so no answer
      // can be sent.
      exchange->Abort();
      return 0;
    }
    core->ScheduleCallerCheck();
    if (internal::IsAmbiguousRequest(Received(*request))) {
      core->Refuse(*request, *exchange, internal::BadRequestAnswer());
      return 0;
    }
    HttpRequest copy = Copy(*request);
    if (HeaderBytes(copy) > core->limits_.max_header_bytes) {
      core->Refuse(*request, *exchange, internal::HeaderTooLargeAnswer());
      return 0;
    }
    // Deferred to the loop: h2o reads a pipelined request while it ends the
    // previous answer, that is, inside a method of another responder.
    core->loop_.RunAfter(
        Duration::zero(), [core, exchange = std::move(exchange),
                           copy = std::move(copy)]() mutable {
          if (!exchange->is_attached() || exchange->has_ended()) {
            return;
          }
          if (exchange->IsCallerGone()) {
            exchange->HandleCallerDisconnect();
            return;
          }
          if (core->handler_ == nullptr) {
            exchange->Abort();
            return;
          }
          core->handler_(std::move(copy),
                         internal::MakeResponder(std::move(exchange)));
        });
    return 0;
  }

  // Returns the bytes received on the connection of a request since the first
  // of its head. h2o hands over the header fields without those that state the
  // length of the body.
  static std::string_view Received(const h2o_req_t& request) {
    const h2o_socket_t& socket =
        *request.conn->callbacks->get_socket(request.conn);
    return {socket.input->bytes, socket.input->size};
  }

  // Answers a request that is not handled, and closes its connection.
  void Refuse(h2o_req_t& request, Exchange& exchange, HttpResponse answer) {
    ++counters_.refused;
    request.http1_is_persistent = 0;
    exchange.Send(std::move(answer));
  }

  static HttpRequest Copy(const h2o_req_t& request) {
    HttpRequest copy;
    copy.method = ToString(request.input.method);
    copy.path = ToString(request.input.path);
    copy.body = ToString(request.entity);
    copy.headers.reserve(request.headers.size + 1);
    copy.headers.push_back({"host", ToString(request.input.authority)});
    for (std::size_t i = 0; i < request.headers.size; ++i) {
      const h2o_header_t& header = request.headers.entries[i];
      copy.headers.push_back({ToString(*header.name), ToString(header.value)});
    }
    return copy;
  }

  std::unordered_set<int> BusySockets() const {
    std::unordered_set<int> busy;
    for (const Exchange* exchange : open_exchanges_) {
      busy.insert(exchange->socket_fd());
    }
    return busy;
  }

  void ScheduleConnectionCheck() {
    if (connection_check_timer_ == 0) {
      connection_check_timer_ = loop_.RunAfter(kConnectionCheckInterval,
                                               [this] { CheckConnections(); });
    }
  }

  // Closes the connections that exceed the idle timeout or the header timeout.
  void CheckConnections() {
    connection_check_timer_ = 0;
    const Time now = loop_.Now();
    const std::unordered_set<int> busy = BusySockets();
    CheckIntake(busy, now);
    for (auto& [socket, connection] : connections_) {
      const int fd = h2o_socket_get_fd(socket);
      UpdateState(*socket, busy.contains(fd), connection, now);
      if (connection.header_since &&
          now - *connection.header_since >= limits_.header_timeout) {
        RefuseSlowHeader(fd);
        connection.shut_down = true;
      } else if (now - connection.idle_since >= limits_.idle_timeout) {
        shutdown(fd, SHUT_RDWR);
        connection.shut_down = true;
      }
    }
    if (!connections_.empty()) {
      ScheduleConnectionCheck();
    }
  }

  static void UpdateState(const h2o_socket_t& socket,
                          bool is_busy,
                          ServerConnection& connection,
                          Time now) {
    if (is_busy || connection.was_busy ||
        connection.bytes_read != socket.bytes_read) {
      connection.idle_since = now;
    }
    connection.was_busy = is_busy;
    connection.bytes_read = socket.bytes_read;
    // h2o buffers the header fields until they are complete, and may keep them
    // until the body is complete. The end of the header distinguishes the
    // cases.
    const std::string_view buffered(socket.input->bytes, socket.input->size);
    connection.reading_body = !is_busy && !buffered.empty() &&
                              (connection.reading_body ||
                               buffered.find(kEndOfHeader) != buffered.npos);
    if (is_busy || buffered.empty() || connection.reading_body) {
      connection.header_since.reset();
    } else if (!connection.header_since) {
      connection.header_since = now;
    }
  }

  // Answers with 408 directly on the socket and closes it. This is safe,
  // because h2o has written nothing since the last complete answer. If the
  // socket does not accept the answer at once, the answer is lost.
  void RefuseSlowHeader(int fd) {
    ++counters_.refused;
    const std::string answer = internal::HeaderTooSlowAnswer();
    send(fd, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(fd, SHUT_RDWR);
  }

  void ScheduleCallerCheck() {
    if (caller_check_timer_ == 0) {
      caller_check_timer_ =
          loop_.RunAfter(kCallerCheckInterval, [this] { CheckCallers(); });
    }
  }

  // Detects disconnected callers.
  void CheckCallers() {
    caller_check_timer_ = 0;
    std::vector<Exchange*> open;
    std::vector<int> sockets;
    for (Exchange* exchange : open_exchanges_) {
      if (!exchange->has_ended()) {
        open.push_back(exchange);
        sockets.push_back(exchange->socket_fd());
      }
    }
    const std::vector<bool> disconnected = internal::HaveDisconnected(sockets);
    for (std::size_t i = 0; i < open.size(); ++i) {
      if (disconnected[i] && open_exchanges_.contains(open[i])) {
        open[i]->HandleCallerDisconnect();
      }
    }
    if (!open_exchanges_.empty()) {
      ScheduleCallerCheck();
    }
  }

  EventLoop& loop_;
  const HttpServer::Options options_;
  HttpServer::Limits limits_;
  HttpServer::Handler handler_;
  h2o_globalconf_t config_ = {};
  h2o_context_t context_ = {};
  h2o_accept_ctx_t accept_ = {};
  internal::ServerConnections connections_;
  internal::IntakeControl intake_;
  const std::size_t max_connections_;
  h2o_socket_t* listener_ = nullptr;  // Null once it is closed.
  bool accepting_ = true;
  TimerId accept_timer_ = 0;
  TimerId round_hook_ = 0;
  Time intake_checked_;
  HttpServer::Counters counters_;
  std::unordered_set<Exchange*> open_exchanges_;
  TimerId caller_check_timer_ = 0;
  TimerId connection_check_timer_ = 0;
  bool closing_ = false;
  bool stopped_ = false;  // New requests are not handled.
  bool delete_when_unused_ = false;
};

class HttpServerImpl final : public HttpServer {
 public:
  HttpServerImpl(EventLoop& loop,
                 int fd,
                 const Options& options,
                 Handler handler)
      : core_(new ServerCore(loop, options, std::move(handler))) {
    h2o_socket_t* listener =
        h2o_evloop_socket_create(loop.native(), fd, H2O_SOCKET_FLAG_DONT_READ);
    listener->data = core_;
    local_address_ = AddressOf(fd);
    core_->Listen(listener);
  }

  ~HttpServerImpl() override {
    StopAccepting();
    core_->ShutDownAndDelete();
  }

  Address local_address() const override { return local_address_; }

  Counters counters() const override { return core_->counters(); }

  void SetLimits(const Limits& limits) override { core_->SetLimits(limits); }

  void CloseAfterAnswers() override { core_->CloseAfterAnswers(); }

  void StopAccepting() override {
    if (std::exchange(stopped_accepting_, true)) {
      return;
    }
    core_->CloseListener();
    core_->CloseAfterAnswers();
    core_->CloseIdle();
  }

 private:
  static Address AddressOf(int fd) {
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    char ip[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &bound.sin_addr, ip, sizeof(ip));
    return {ip, ntohs(bound.sin_port)};
  }

  ServerCore* core_;  // Deletes itself after `ShutDownAndDelete`.
  bool stopped_accepting_ = false;
  Address local_address_;
};

// Returns a non-blocking listening socket on `address`.
Result<int> OpenListener(const Address& address) {
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &bound.sin_addr) != 1) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "not an IPv4 address: " + address.ip);
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd < 0 ||
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    std::string message = "cannot listen on " + FormatAddress(address) + ": " +
                          std::strerror(errno);
    if (fd >= 0) {
      close(fd);
    }
    return MakeError(ErrorCode::kUnavailable, std::move(message));
  }
  return fd;
}

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(EventLoop& loop,
                                                       const Address& address,
                                                       const Options& options,
                                                       Handler handler) {
  const Result<int> fd = OpenListener(address);
  if (!fd.has_value()) {
    return tl::unexpected(fd.error());
  }
  return std::make_unique<HttpServerImpl>(loop, *fd, options,
                                          std::move(handler));
}

}  // namespace amaranthcove
