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

// A TCP connection. Writes made in one round of the event loop are sent with
// one system call.
//
// If sending fails, for example because the peer has reset the connection, what
// the peer had sent before is still received; then `on_closed` follows. Until
// then the bytes that were not sent count as buffered.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// The owner may destroy the connection at any time, also inside one of its
// callbacks; no callback follows.
class TcpConnection {
 public:
  struct Callbacks {
    // The connection is established. Called only after `Connect`.
    std::function<void()> on_connected;
    // Bytes have arrived. The view is valid during the call.
    std::function<void(std::string_view bytes)> on_data;
    // The connection was closed or could not be established. The last callback.
    std::function<void()> on_closed;
  };

  // Starts connecting to `address`. Failures, including immediate ones, are
  // reported by `on_closed`. Preconditions: `loop` outlives the connection.
  static std::unique_ptr<TcpConnection> Connect(EventLoop& loop,
                                                const Address& address,
                                                Callbacks callbacks);

  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // Sets the callbacks of an accepted connection and starts reading.
  void Open(Callbacks callbacks);

  // Makes the destructor reset the connection instead of closing it in the
  // orderly way: bytes that have not arrived at the peer yet are discarded.
  void ResetOnClose();

  // Queues `bytes` for sending. Does nothing after the connection has closed.
  void Write(std::string_view bytes);

  // Leaves what the peer sends in the connection, and reads it again. While
  // reading is paused, the end of the connection is not noticed. Do nothing
  // unless the connection is open.
  void PauseReading();
  void ResumeReading();

  // Returns the number of bytes queued but not yet accepted by the system.
  std::size_t buffered_bytes() const {
    return queued_.size() + sending_.size() - sent_bytes_;
  }

  // Returns the number of bytes that were not passed to the system yet. Bytes
  // written in one round are passed on together.
  std::size_t queued_bytes() const { return queued_.size(); }

  // Returns whether the peer closed the connection in an orderly way. False
  // while it is open, and after a reset or a timeout.
  bool closed_cleanly() const { return closed_cleanly_; }

  // Makes the system close the connection if the peer has not acknowledged
  // anything for `timeout`, whether data is in flight or not. Does nothing
  // after the connection has closed. Precondition: `timeout` is at least 1 s.
  void SetPeerTimeout(Duration timeout);

 private:
  friend class TcpListener;

  explicit TcpConnection(EventLoop& loop);

  void Attach(st_h2o_socket_t* socket);
  void StartReading();
  void ScheduleFlush();
  void Flush();
  // Passes `sending_` to the system, as far as it accepts it now.
  void Send();
  void ClearSending();
  // Handles `error`, an errno value of a failed send.
  void OnSendFailed(int error);
  void ScheduleFailure();
  void HandleClosed();
  static void OnConnected(st_h2o_socket_t* socket, const char* error);
  static void OnReadable(st_h2o_socket_t* socket, const char* error);
  static void OnWritable(st_h2o_socket_t* socket, const char* error);

  EventLoop& loop_;
  st_h2o_socket_t* socket_ = nullptr;
  bool connected_ = false;
  bool closed_cleanly_ = false;
  // Sending has met a reset or a timeout. The system reports these only once,
  // so reading then ends like after an orderly close. Sending is not left to
  // h2o, because h2o does not tell which error it has met.
  bool was_reset_ = false;
  // Shared, so that a callback may destroy the connection that called it.
  std::shared_ptr<const Callbacks> callbacks_;
  std::string queued_;
  std::string sending_;
  std::size_t sent_bytes_ = 0;  // Of `sending_`.
  TimerId flush_timer_ = 0;
  TimerId failure_timer_ = 0;
};

// Accepts TCP connections on one address.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class TcpListener {
 public:
  using AcceptHandler = std::function<void(std::unique_ptr<TcpConnection>)>;

  // Listens on `address` and passes each new connection to `on_accept`, which
  // calls `Open` on it. Preconditions: `loop` outlives the listener.
  // Errors: kUnavailable if the address cannot be bound.
  static Result<std::unique_ptr<TcpListener>> Listen(EventLoop& loop,
                                                     const Address& address,
                                                     AcceptHandler on_accept);

  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Returns the bound address, with the actual port if port 0 was requested.
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

// Opens a non-blocking listening socket, stores its address in `bound` and
// returns its file descriptor. Errors: kUnavailable if a system call fails.
Result<int> OpenListeningSocket(const Address& address, Address& bound);

}  // namespace internal

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_TCP_H_
