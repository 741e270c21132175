#include "amaranthcove/net/tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "src/net/h2o_headers.h"

namespace amaranthcove {

namespace {

constexpr int kListenBacklog = 1024;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

sockaddr* AsSockaddr(sockaddr_in& address) {
  return reinterpret_cast<sockaddr*>(&address);
}

// Prevents small messages from waiting for the acknowledgement of earlier ones.
void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

tl::unexpected<Error> SystemError(const char* call, const Address& address) {
  return MakeError(ErrorCode::kUnavailable, std::string(call) + " on " +
                                                FormatAddress(address) + ": " +
                                                std::strerror(errno));
}

}  // namespace

namespace internal {

Result<int> OpenListeningSocket(const Address& address, Address& bound) {
  const int fd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (fd < 0) {
    return SystemError("socket", address);
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in socket_address = ToSocketAddress(address);
  if (bind(fd, AsSockaddr(socket_address), sizeof(socket_address)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const auto error = SystemError("bind", address);
    close(fd);
    return error;
  }
  socklen_t length = sizeof(socket_address);
  getsockname(fd, AsSockaddr(socket_address), &length);
  bound = {address.ip, ntohs(socket_address.sin_port)};
  return fd;
}

}  // namespace internal

TcpConnection::TcpConnection(EventLoop& loop) : loop_(loop) {}

TcpConnection::~TcpConnection() {
  loop_.Cancel(flush_timer_);
  loop_.Cancel(failure_timer_);
  if (socket_ != nullptr) {
    h2o_socket_close(socket_);
  }
}

std::unique_ptr<TcpConnection> TcpConnection::Connect(EventLoop& loop,
                                                      const Address& address,
                                                      Callbacks callbacks) {
  std::unique_ptr<TcpConnection> connection(new TcpConnection(loop));
  connection->callbacks_ =
      std::make_shared<const Callbacks>(std::move(callbacks));
  sockaddr_in socket_address = ToSocketAddress(address);
  h2o_socket_t* socket =
      h2o_socket_connect(loop.native(), AsSockaddr(socket_address),
                         sizeof(socket_address), &TcpConnection::OnConnected);
  if (socket == nullptr) {
    connection->ScheduleFailure();
  } else {
    connection->Attach(socket);
  }
  return connection;
}

void TcpConnection::Attach(st_h2o_socket_t* socket) {
  socket_ = socket;
  socket_->data = this;
  DisableNagle(h2o_socket_get_fd(socket_));
}

void TcpConnection::SetPeerTimeout(Duration timeout) {
  if (socket_ == nullptr) {
    return;
  }
  const int fd = h2o_socket_get_fd(socket_);
  const int limit_ms = static_cast<int>(ToMilliseconds(timeout));
  const int on = 1;
  const int probe_interval_s = 1;
  const int probes = std::max(1, limit_ms / 1000);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s,
             sizeof(probe_interval_s));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s,
             sizeof(probe_interval_s));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

void TcpConnection::ResetOnClose() {
  if (socket_ == nullptr) {
    return;
  }
  const linger discard = {1, 0};
  setsockopt(h2o_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &discard,
             sizeof(discard));
}

void TcpConnection::Open(Callbacks callbacks) {
  callbacks_ = std::make_shared<const Callbacks>(std::move(callbacks));
  connected_ = true;
  StartReading();
  if (!queued_.empty()) {
    ScheduleFlush();
  }
}

void TcpConnection::StartReading() {
  h2o_socket_read_start(socket_, &TcpConnection::OnReadable);
}

void TcpConnection::OnConnected(st_h2o_socket_t* socket, const char* error) {
  auto* connection = static_cast<TcpConnection*>(socket->data);
  if (error != nullptr) {
    connection->HandleClosed();
    return;
  }
  connection->connected_ = true;
  connection->StartReading();
  connection->ScheduleFlush();
  const auto callbacks = connection->callbacks_;
  if (callbacks->on_connected) {
    callbacks->on_connected();
  }
}

void TcpConnection::OnReadable(st_h2o_socket_t* socket, const char* error) {
  auto* connection = static_cast<TcpConnection*>(socket->data);
  if (error != nullptr) {
    connection->closed_cleanly_ =
        error == h2o_socket_error_closed && !connection->was_reset_;
    connection->HandleClosed();
    return;
  }
  const std::string bytes(socket->input->bytes, socket->input->size);
  h2o_buffer_consume(&socket->input, socket->input->size);
  const auto callbacks = connection->callbacks_;
  if (!bytes.empty()) {
    callbacks->on_data(bytes);
  }
}

void TcpConnection::PauseReading() {
  if (socket_ != nullptr && connected_) {
    h2o_socket_read_stop(socket_);
  }
}

void TcpConnection::ResumeReading() {
  if (socket_ != nullptr && connected_) {
    StartReading();
  }
}

void TcpConnection::Write(std::string_view bytes) {
  if (socket_ == nullptr) {
    return;
  }
  queued_.append(bytes);
  ScheduleFlush();
}

void TcpConnection::ScheduleFlush() {
  if (flush_timer_ == 0 && connected_ && !queued_.empty() && sending_.empty()) {
    flush_timer_ = loop_.RunAfter(Duration::zero(), [this] {
      flush_timer_ = 0;
      Flush();
    });
  }
}

void TcpConnection::Flush() {
  if (socket_ == nullptr || !sending_.empty() || queued_.empty()) {
    return;
  }
  sending_.swap(queued_);
  Send();
}

void TcpConnection::Send() {
  while (sent_bytes_ < sending_.size()) {
    const ssize_t size =
        send(h2o_socket_get_fd(socket_), sending_.data() + sent_bytes_,
             sending_.size() - sent_bytes_, MSG_NOSIGNAL);
    if (size >= 0) {
      sent_bytes_ += static_cast<std::size_t>(size);
    } else if (errno == EAGAIN) {
      h2o_socket_notify_write(socket_, &TcpConnection::OnWritable);
      return;
    } else if (errno != EINTR) {
      OnSendFailed(errno);
      return;
    }
  }
  ClearSending();
  ScheduleFlush();
}

void TcpConnection::ClearSending() {
  sending_.clear();
  sent_bytes_ = 0;
}

void TcpConnection::OnWritable(st_h2o_socket_t* socket, const char* error) {
  auto* connection = static_cast<TcpConnection*>(socket->data);
  if (error != nullptr) {
    connection->HandleClosed();
    return;
  }
  connection->Send();
}

void TcpConnection::OnSendFailed(int error) {
  const bool has_ended =
      error == EPIPE || error == ECONNRESET || error == ETIMEDOUT;
  if (!has_ended) {
    HandleClosed();
    return;
  }
  // Reading goes on, and comes to the end after what the peer had sent. The
  // bytes stay queued until then. EPIPE comes only if the peer had ended its
  // direction before.
  was_reset_ = error != EPIPE;
}

void TcpConnection::ScheduleFailure() {
  failure_timer_ = loop_.RunAfter(Duration::zero(), [this] {
    failure_timer_ = 0;
    HandleClosed();
  });
}

void TcpConnection::HandleClosed() {
  if (socket_ != nullptr) {
    h2o_socket_close(socket_);
    socket_ = nullptr;
  }
  loop_.Cancel(std::exchange(flush_timer_, 0));
  connected_ = false;
  queued_.clear();
  ClearSending();
  const auto callbacks = callbacks_;
  if (callbacks != nullptr && callbacks->on_closed) {
    callbacks->on_closed();
  }
}

TcpListener::TcpListener(EventLoop& loop, AcceptHandler on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)) {}

TcpListener::~TcpListener() {
  if (socket_ != nullptr) {
    h2o_socket_close(socket_);
  }
}

Result<std::unique_ptr<TcpListener>> TcpListener::Listen(
    EventLoop& loop,
    const Address& address,
    AcceptHandler on_accept) {
  std::unique_ptr<TcpListener> listener(
      new TcpListener(loop, std::move(on_accept)));
  const Result<int> fd =
      internal::OpenListeningSocket(address, listener->local_address_);
  if (!fd) {
    return tl::unexpected<Error>(fd.error());
  }
  listener->socket_ =
      h2o_evloop_socket_create(loop.native(), *fd, H2O_SOCKET_FLAG_DONT_READ);
  listener->socket_->data = listener.get();
  h2o_socket_read_start(listener->socket_, &TcpListener::OnAcceptable);
  return listener;
}

void TcpListener::OnAcceptable(st_h2o_socket_t* listener, const char* error) {
  if (error != nullptr) {
    return;
  }
  auto* self = static_cast<TcpListener*>(listener->data);
  h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
  if (socket == nullptr) {
    return;
  }
  std::unique_ptr<TcpConnection> connection(new TcpConnection(self->loop_));
  connection->Attach(socket);
  self->on_accept_(std::move(connection));
}

}  // namespace amaranthcove
