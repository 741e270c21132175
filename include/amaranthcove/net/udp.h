#ifndef AMARANTHCOVE_NET_UDP_H_
#define AMARANTHCOVE_NET_UDP_H_

#include <functional>
#include <memory>
#include <string_view>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/net/event_loop.h"

struct st_h2o_socket_t;

namespace amaranthcove {

// Sends and receives datagrams on one address. Datagrams may be lost,
// duplicated or reordered.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class UdpSocket {
 public:
  using Handler =
      std::function<void(const Address& sender, std::string_view payload)>;

  // Binds `address` and calls `handler` for each datagram. The view is valid
  // during the call. Preconditions: `loop` outlives the socket; `handler` does
  // not destroy it. Errors: kUnavailable if the address cannot be bound.
  static Result<std::unique_ptr<UdpSocket>> Bind(EventLoop& loop,
                                                 const Address& address,
                                                 Handler handler);

  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Sends one datagram. Returns whether the system accepted it. There is no
  // retry; callers resend important data anyway.
  bool Send(const Address& receiver, std::string_view payload);

  // Returns the bound address, with the actual port if port 0 was requested.
  const Address& local_address() const { return local_address_; }

 private:
  UdpSocket(int fd, Address local_address, Handler handler);

  static void OnReadable(st_h2o_socket_t* socket, const char* error);

  const int fd_;
  const Address local_address_;
  const Handler handler_;
  st_h2o_socket_t* socket_ = nullptr;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_UDP_H_
