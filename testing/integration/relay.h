#ifndef AMARANTHCOVE_TESTING_INTEGRATION_RELAY_H_
#define AMARANTHCOVE_TESTING_INTEGRATION_RELAY_H_

#include <list>
#include <memory>

#include "amaranthcove/base/address.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/tcp.h"

namespace amaranthcove::testing {

// Forwards TCP connections to a target and simulates network faults. A silenced
// connection stays open but its bytes are dropped, in one or both directions.
// New connections are not affected.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class Relay {
 public:
  Relay(EventLoop& loop, const Address& target);

  // Returns the address that clients must use instead of the target's.
  const Address& address() const { return listener_->local_address(); }

  // Forwards connections that are accepted from now on to `target`.
  void set_target(const Address& target) { target_ = target; }

  // Drops all bytes on the current connections from now on.
  void DropAllTraffic();

  // Drops the bytes that the target sends on the current connections from now
  // on. Bytes to the target are still forwarded.
  void DropServerTraffic();

  // Closes the current connections.
  void CloseConnections();

  // Sets whether new connections are closed as soon as they are accepted.
  void set_refusing(bool refusing) { refusing_ = refusing; }

  // Returns the number of connections accepted so far, refused ones included.
  std::size_t accepted() const { return accepted_; }

 private:
  struct Pair {
    std::unique_ptr<TcpConnection> client;
    std::unique_ptr<TcpConnection> server;
    bool drop_requests = false;
    bool drop_answers = false;
  };

  void OnAccept(std::unique_ptr<TcpConnection> connection);
  void CloseLater(Pair* pair);

  EventLoop& loop_;
  Address target_;
  std::unique_ptr<TcpListener> listener_;
  std::list<std::shared_ptr<Pair>> pairs_;
  bool refusing_ = false;
  std::size_t accepted_ = 0;
};

}  // namespace amaranthcove::testing

#endif  // AMARANTHCOVE_TESTING_INTEGRATION_RELAY_H_
