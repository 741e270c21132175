#include "amaranthcove/net/udp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "src/net/h2o_headers.h"

namespace amaranthcove {

namespace {

// Maximum number of datagrams read before other events are handled.
constexpr int kMaxDatagramsPerRound = 64;

constexpr std::size_t kMaxDatagramBytes = 65'536;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

Address FromSocketAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
  return {ip.data(), ntohs(address.sin_port)};
}

}  // namespace

UdpSocket::UdpSocket(int fd, Address local_address, Handler handler)
    : fd_(fd),
      local_address_(std::move(local_address)),
      handler_(std::move(handler)) {}

UdpSocket::~UdpSocket() {
  if (socket_ != nullptr) {
    h2o_socket_close(socket_);
  }
}

Result<std::unique_ptr<UdpSocket>> UdpSocket::Bind(EventLoop& loop,
                                                   const Address& address,
                                                   Handler handler) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in bound = ToSocketAddress(address);
  socklen_t length = sizeof(bound);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&bound), length) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length) != 0) {
    std::string message = "cannot bind UDP " + FormatAddress(address) + ": " +
                          std::strerror(errno);
    if (fd >= 0) {
      close(fd);
    }
    return MakeError(ErrorCode::kUnavailable, std::move(message));
  }
  std::unique_ptr<UdpSocket> result(
      new UdpSocket(fd, FromSocketAddress(bound), std::move(handler)));
  result->socket_ =
      h2o_evloop_socket_create(loop.native(), fd, H2O_SOCKET_FLAG_DONT_READ);
  result->socket_->data = result.get();
  h2o_socket_read_start(result->socket_, &UdpSocket::OnReadable);
  return result;
}

bool UdpSocket::Send(const Address& receiver, std::string_view payload) {
  const sockaddr_in address = ToSocketAddress(receiver);
  return sendto(fd_, payload.data(), payload.size(), MSG_DONTWAIT,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == static_cast<ssize_t>(payload.size());
}

void UdpSocket::OnReadable(st_h2o_socket_t* socket, const char* error) {
  if (error != nullptr) {
    return;
  }
  auto* self = static_cast<UdpSocket*>(socket->data);
  static std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxDatagramsPerRound; ++i) {
    sockaddr_in sender{};
    socklen_t length = sizeof(sender);
    const ssize_t size =
        recvfrom(self->fd_, buffer.data(), buffer.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr*>(&sender), &length);
    if (size < 0) {
      return;
    }
    self->handler_(
        FromSocketAddress(sender),
        std::string_view(buffer.data(), static_cast<std::size_t>(size)));
  }
}

}  // namespace amaranthcove
