#include "src/net/testing/raw_peer.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(20);

}  // namespace

void RunUntil(EventLoop& loop, const std::function<bool()>& done) {
  const Time limit = SteadyNow() + kTestTimeout;
  while (!done()) {
    CHECK_TEXT(SteadyNow() < limit, "the event did not happen in time");
    loop.RunOnce(std::chrono::milliseconds(20));
  }
}

int RawPeer::Connect(const Address& address) {
  sockaddr_in server{};
  server.sin_family = AF_INET;
  server.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &server.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  CHECK_EQUAL(
      0, connect(fd, reinterpret_cast<sockaddr*>(&server), sizeof(server)));
  return fd;
}

void RawPeer::Write(std::string_view text) const {
  CHECK_EQUAL(static_cast<ssize_t>(text.size()),
              send(fd_, text.data(), text.size(), MSG_NOSIGNAL));
}

bool RawPeer::ReadAvailable() {
  char buffer[65536];
  for (;;) {
    const ssize_t size = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size <= 0) {
      return size == 0 || errno == ECONNRESET;
    }
    received.append(buffer, static_cast<std::size_t>(size));
  }
}

void RawPeer::ReadSome(std::size_t max_bytes) {
  std::string buffer(max_bytes, '\0');
  const ssize_t size = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (size > 0) {
    received.append(buffer, 0, static_cast<std::size_t>(size));
  }
}

void RawPeer::CloseWriting() const {
  CHECK_EQUAL(0, shutdown(fd_, SHUT_WR));
}

void RawPeer::Close() {
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

void RawPeer::Reset() {
  const linger discard = {1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  Close();
}

RawListener::RawListener()
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(bound);
  CHECK_EQUAL(0, bind(fd_, reinterpret_cast<sockaddr*>(&bound), size));
  CHECK_EQUAL(0, listen(fd_, 8));
  getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
  address = {"127.0.0.1", ntohs(bound.sin_port)};
}

RawListener::~RawListener() {
  close(fd_);
}

std::unique_ptr<RawPeer> RawListener::Accept(EventLoop& loop) const {
  int fd = -1;
  RunUntil(loop, [&] {
    fd = accept4(fd_, nullptr, nullptr, 0);
    return fd >= 0;
  });
  return std::make_unique<RawPeer>(fd);
}

}  // namespace amaranthcove
