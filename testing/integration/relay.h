#ifndef AMARANTHCOVE_TESTING_INTEGRATION_RELAY_H_
#define AMARANTHCOVE_TESTING_INTEGRATION_RELAY_H_

#include <list>
#include <memory>

#include "amaranthcove/base/address.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/tcp.h"

namespace amaranthcove::testing {

// Forwards TCP connections to a target and can lose track of them: a silenced
// connection stays open and carries nothing more, while new ones work.
//
// Thread safety: belongs to the loop's thread.
class Relay {
 public:
  Relay(EventLoop& loop, const Address& target);

  // Connect here instead of to the target.
  const Address& address() const { return listener_->local_address(); }

  // Connections that are accepted from now on go to `target`.
  void set_target(const Address& target) { target_ = target; }

  // Drops all bytes of the present connections from now on.
  void SilencePresent();

  // Drops only what the target sends on the present connections.
  void SilenceAnswers();

  // Closes the present connections.
  void Cut();

  // Closes new connections at once, or no longer.
  void set_refusing(bool refusing) { refusing_ = refusing; }

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
