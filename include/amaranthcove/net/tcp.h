#ifndef AMARANTHCOVE_NET_TCP_H_
#define AMARANTHCOVE_NET_TCP_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/net/event_loop.h"

struct st_h2o_socket_t;

namespace amaranthcove {

// A TCP connection that carries bytes both ways.
//
// Writes of one round of the event loop leave in one system call.
//
// Thread safety: belongs to the loop's thread. The owner may destroy the
// connection at any time, also inside one of its callbacks; no callback
// follows.
class TcpConnection {
 public:
  struct Callbacks {
    // The connection is open. Only for connections made by `Connect`.
    std::function<void()> on_connected;
    // Bytes have arrived. The view is valid during the call.
    std::function<void(std::string_view bytes)> on_data;
    // The connection is closed, or could not be opened. The last callback.
    std::function<void()> on_closed;
  };

  // Begins to connect to `address`. A failure, also an immediate one, is
  // reported by `on_closed`. Preconditions: `loop` outlives the connection.
  static std::unique_ptr<TcpConnection> Connect(EventLoop& loop,
                                                const Address& address,
                                                Callbacks callbacks);

  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // Sets the callbacks of an accepted connection and begins to read.
  void Open(Callbacks callbacks);

  // Queues `bytes`. After the connection has closed this does nothing.
  void Write(std::string_view bytes);

  // Bytes queued and not yet taken by the system.
  std::size_t buffered_bytes() const {
    return queued_.size() + sending_.size();
  }

  // Whether the peer ended the connection in order. False while it is open,
  // and after a reset or a timeout.
  bool closed_in_order() const { return closed_in_order_; }

  // Makes the system report a peer that has not acknowledged anything for
  // `limit`, whether bytes are on their way or not, as a closed connection.
  // Precondition: `limit` is at least 1 s.
  void SetSilenceLimit(Duration limit);

 private:
  friend class TcpListener;

  explicit TcpConnection(EventLoop& loop);

  void Attach(st_h2o_socket_t* socket);
  void StartReading();
  void ScheduleFlush();
  void Flush();
  void FailLater();
  void Fail();
  static void OnConnected(st_h2o_socket_t* socket, const char* error);
  static void OnReadable(st_h2o_socket_t* socket, const char* error);
  static void OnWritten(st_h2o_socket_t* socket, const char* error);

  EventLoop& loop_;
  st_h2o_socket_t* socket_ = nullptr;
  bool connected_ = false;
  bool closed_in_order_ = false;
  // Shared, so that a callback may destroy the connection that calls it.
  std::shared_ptr<const Callbacks> callbacks_;
  std::string queued_;
  std::string sending_;
  TimerId flush_timer_ = 0;
  TimerId fail_timer_ = 0;
};

// Accepts TCP connections on one address.
//
// Thread safety: belongs to the loop's thread.
class TcpListener {
 public:
  using AcceptHandler = std::function<void(std::unique_ptr<TcpConnection>)>;

  // Listens on `address` and hands each new connection to `on_accept`, which
  // calls `Open` on it. Preconditions: `loop` outlives the listener.
  // Errors: kUnavailable if the address cannot be bound.
  static Result<std::unique_ptr<TcpListener>> Listen(EventLoop& loop,
                                                     const Address& address,
                                                     AcceptHandler on_accept);

  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // The bound address, with the port that the system chose.
  const Address& local_address() const { return local_address_; }

 private:
  TcpListener(EventLoop& loop, AcceptHandler on_accept);

  static void OnAcceptable(st_h2o_socket_t* listener, const char* error);

  EventLoop& loop_;
  AcceptHandler on_accept_;
  st_h2o_socket_t* socket_ = nullptr;
  Address local_address_;
};

namespace internal {

// Opens a non-blocking listening socket and stores the bound address.
// Errors: kUnavailable with the system's reason.
Result<int> OpenListeningSocket(const Address& address, Address& bound);

}  // namespace internal

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_TCP_H_
