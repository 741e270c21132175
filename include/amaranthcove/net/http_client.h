#ifndef AMARANTHCOVE_NET_HTTP_CLIENT_H_
#define AMARANTHCOVE_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http.h"

namespace amaranthcove {

// How a call ended.
enum class HttpCallEnd {
  kComplete,       // The whole answer arrived.
  kConnectFailed,  // No byte of the request was sent.
  kBroken,         // The connection broke after the request may have been sent.
  kTimedOut        // The deadline passed; as kBroken otherwise.
};

// Names a call of an `HttpClient`; 0 names none.
using HttpCallId = std::uint64_t;

// An HTTP/1.1 client for callers that know IP addresses.
//
// Idle connections are kept for 15 s and used again. A call whose connection
// breaks is never sent again: the server may have run it. An answer that states
// neither a length nor chunks ends with kBroken, because nothing shows whether
// it is whole.
//
// Thread safety: belongs to the loop's thread. Callbacks never run inside
// `Start` or `Cancel`. The client may be destroyed in `on_end`, but not in
// `on_head` or `on_data`; its running calls are dropped without a callback.
class HttpClient {
 public:
  struct Callbacks {
    // Status and headers have arrived; `body` is empty. May be null.
    std::function<void(const HttpResponse& head)> on_head;
    // A piece of the body, in order. May be null.
    std::function<void(std::string_view data)> on_data;
    // The last callback of the call.
    std::function<void(HttpCallEnd end)> on_end;
  };

  // Preconditions: `loop` outlives the client.
  static std::unique_ptr<HttpClient> Create(EventLoop& loop);

  virtual ~HttpClient() = default;

  // Sends `request` to `server`. The call ends with kTimedOut at `deadline`.
  virtual HttpCallId Start(const Address& server,
                           HttpRequest request,
                           Time deadline,
                           Callbacks callbacks) = 0;

  // Bounds the body of a collected answer.
  static constexpr std::size_t kMaxFetchedBytes = 16 << 20;

  // Starts a call whose answer is collected: `done` gets the end and, if it is
  // kComplete, the whole answer. A longer body than kMaxFetchedBytes ends with
  // kBroken.
  HttpCallId Fetch(const Address& server,
                   HttpRequest request,
                   Time deadline,
                   std::function<void(HttpCallEnd, HttpResponse)> done);

  // Drops a call and closes its connection; no callback follows. Unknown and
  // ended calls are ignored.
  virtual void Cancel(HttpCallId call) = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_HTTP_CLIENT_H_
