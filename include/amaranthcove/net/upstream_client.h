#ifndef AMARANTHCOVE_NET_UPSTREAM_CLIENT_H_
#define AMARANTHCOVE_NET_UPSTREAM_CLIENT_H_

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

// How an upstream call ended.
enum class UpstreamEnd {
  kComplete,  // The whole answer arrived.
  kNotSent,   // The connection was never opened: no byte left this process.
  kBroken,    // The connection broke, or the answer was no HTTP or did not
              // begin within 1 MiB, after the request may have arrived.
  kTooLong    // The body exceeds what `Fetch` was told to take.
};

// Names a call of an `UpstreamClient`; 0 names none.
using UpstreamCallId = std::uint64_t;

// An HTTP/1.1 client for relaying requests to backend servers that misbehave.
//
// It differs from `HttpClient` in what relaying needs: an answer without a
// length is whole if its connection ends in order and broken if it is reset;
// bytes on a connection without a call close it; answers that belong to an
// earlier request are dropped; a peer that went silent is found out by probes.
// A call is sent once.
//
// Thread safety: belongs to the loop's thread. Callbacks never run inside
// `Start` or `Cancel`; `Cancel` may be called in any callback.
class UpstreamClient {
 public:
  struct Callbacks {
    // Status and headers have arrived; `body` is empty. Returns whether the
    // answer is one to this call; otherwise it is dropped and the call goes on
    // waiting.
    std::function<bool(const HttpResponse& head)> on_head;
    // A piece of the body, in order.
    std::function<void(std::string_view data)> on_data;
    // The last callback of the call.
    std::function<void(UpstreamEnd end)> on_end;
  };

  struct Options {
    Duration connect_timeout = std::chrono::seconds(1);
    // A peer that acknowledges nothing for this long is taken for gone.
    Duration silence_limit = std::chrono::seconds(2);
    // Idle connections without a stated timeout are not used after this time.
    Duration max_idle = std::chrono::seconds(4);
  };

  struct Counters {
    std::uint64_t connections_opened = 0;
    std::uint64_t stray_answers = 0;  // Answers to no present call.
  };

  // Preconditions: `loop` outlives the client.
  static std::unique_ptr<UpstreamClient> Create(EventLoop& loop,
                                                const Options& options);

  virtual ~UpstreamClient() = default;

  // Sends `request` to `server` on an idle or a new connection. The caller
  // bounds the time of the call by `Cancel`.
  virtual UpstreamCallId Start(const Address& server,
                               const HttpRequest& request,
                               Callbacks callbacks) = 0;

  // Starts a call whose answer is collected: `done` gets the end and, if it is
  // kComplete, the whole answer.
  UpstreamCallId Fetch(const Address& server,
                       const HttpRequest& request,
                       std::size_t max_body_bytes,
                       std::function<void(UpstreamEnd, HttpResponse)> done);

  // Drops a call and closes its connection; no callback follows. Unknown and
  // ended calls are ignored.
  virtual void Cancel(UpstreamCallId call) = 0;

  // Closes the idle connections to `server`, which has left.
  virtual void CloseIdle(const Address& server) = 0;

  virtual Counters counters() const = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_UPSTREAM_CLIENT_H_
