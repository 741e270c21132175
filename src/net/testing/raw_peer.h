#ifndef AMARANTHCOVE_SRC_NET_TESTING_RAW_PEER_H_
#define AMARANTHCOVE_SRC_NET_TESTING_RAW_PEER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "amaranthcove/base/address.h"
#include "amaranthcove/net/event_loop.h"

namespace amaranthcove {

// Runs the loop until `done` returns true. Fails the test after 20 s.
void RunUntil(EventLoop& loop, const std::function<bool()>& done);

// One end of a TCP connection whose bytes the test itself writes and reads.
//
// Thread safety: not thread-safe.
class RawPeer {
 public:
  // Takes over the socket `fd`.
  explicit RawPeer(int fd) : fd_(fd) {}
  ~RawPeer() { Close(); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  // Returns the socket of a new connection to `address`.
  static int Connect(const Address& address);

  void Write(std::string_view text) const;

  // Appends the available bytes to `received`. Returns whether the peer has
  // closed the connection.
  bool ReadAvailable();

  // Appends up to `max_bytes` of the available bytes to `received`.
  void ReadSome(std::size_t max_bytes);

  // Ends the sending direction in the orderly way. The other one stays open.
  void CloseWriting() const;

  // Closes the connection. The system resets it if received bytes are unread.
  void Close();

  // Closes the connection with a reset.
  void Reset();

  std::string received;

 private:
  int fd_;
};

// A listener on loopback whose connections are `RawPeer`s.
//
// Thread safety: not thread-safe.
class RawListener {
 public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  // Waits for a connection while the loop runs.
  std::unique_ptr<RawPeer> Accept(EventLoop& loop) const;

  Address address;

 private:
  int fd_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_NET_TESTING_RAW_PEER_H_
