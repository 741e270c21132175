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
  kComplete,       // The complete answer arrived.
  kConnectFailed,  // No byte of the request was sent.
  kBroken,         // The connection broke after the request may have been sent.
  kTimedOut        // The deadline passed; the request may have been sent.
};

// Identifies a call of an `HttpClient`; 0 is never a valid id.
using HttpCallId = std::uint64_t;

// An HTTP/1.1 client that connects to IP addresses, without name resolution.
//
// Idle connections are kept for 15 s for reuse. A call whose connection breaks
// is never retried, because the server may have executed it. An answer with
// neither a length nor chunked encoding ends with kBroken, because a truncation
// could not be detected.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// Callbacks never run inside `Start` or `Cancel`. The client may be destroyed
// in `on_end`, but not in `on_head` or `on_data`. Its calls in progress are
// then cancelled without a callback.
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

  // Sends `request` to `server` and returns the id of the call. The call ends
  // with kTimedOut at `deadline`.
  virtual HttpCallId Start(const Address& server,
                           HttpRequest request,
                           Time deadline,
                           Callbacks callbacks) = 0;

  // Maximum body size of an answer collected by `Fetch`.
  static constexpr std::size_t kMaxFetchedBytes = 16 << 20;

  // Starts a call and collects its answer. `done` receives the complete answer
  // if the call ends with kComplete, else an empty one. A body longer than
  // `kMaxFetchedBytes` ends with kBroken.
  HttpCallId Fetch(const Address& server,
                   HttpRequest request,
                   Time deadline,
                   std::function<void(HttpCallEnd, HttpResponse)> done);

  // Cancels a call and closes its connection; no callback follows. Unknown and
  // ended calls are ignored.
  virtual void Cancel(HttpCallId call) = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_HTTP_CLIENT_H_
