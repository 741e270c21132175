#ifndef AMARANTHCOVE_NET_UPSTREAM_CLIENT_H_
#define AMARANTHCOVE_NET_UPSTREAM_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http.h"

namespace amaranthcove {

// How an upstream call ended.
enum class UpstreamEnd {
  kComplete,  // The complete answer arrived.
  kNotSent,   // The connection was not established, so nothing was sent.
  kBroken,    // The connection broke, the answer was malformed, or it did not
              // begin within 1 MiB. The request may have arrived.
  kTooLong    // The body exceeds the `max_body_bytes` of `Fetch`.
};

// Which call an answer belongs to, as far as its head tells.
enum class AnswerMatch {
  kMatches,
  kOther,        // It is to another request, such as a late second copy.
  kUnidentified  // It bears nothing that tells answers apart.
};

// Identifies a call of an `UpstreamClient`; 0 is never a valid id.
using UpstreamCallId = std::uint64_t;

// Identifies a connection of an `UpstreamClient`; 0 is never a valid id. Ids
// are not used again.
using UpstreamConnectionId = std::uint64_t;

// An HTTP/1.1 client for relaying requests to backend servers that may be
// faulty.
//
// It differs from `HttpClient` as follows: an answer without a length is
// complete if the server closes the connection in an orderly way, and broken
// if the connection is reset; a connection that receives data while no call is
// in progress is closed; answers to an earlier request are dropped; an
// unresponsive peer is detected by TCP keep-alive. A call is never retried.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// Callbacks never run inside `Start` or `Cancel`; `Cancel` may be called in any
// callback.
class UpstreamClient {
 public:
  struct Callbacks {
    // Returns whether the answer with `head` belongs to this call. Answers that
    // do not are dropped, and the call continues to wait for its own. An
    // unidentified answer is taken only if the connection has carried no other
    // call, and the connection is not kept after it: a late copy of it could
    // be taken for the answer to a later call. Null if all answers match.
    std::function<AnswerMatch(const HttpResponse& head)> match;
    // Status and headers have arrived; `body` is empty.
    std::function<void(const HttpResponse& head)> on_head;
    // A piece of the body, in order.
    std::function<void(std::string_view data)> on_data;
    // The last callback of the call.
    std::function<void(UpstreamEnd end)> on_end;
  };

  struct Options {
    Duration connect_timeout = std::chrono::seconds(1);
    // A connection is closed if its peer has not acknowledged anything for this
    // time. At least 1 s.
    Duration peer_timeout = std::chrono::seconds(2);
    // Idle connections are not reused after this time, unless the server states
    // its own timeout in a Keep-Alive field.
    Duration max_idle = std::chrono::seconds(4);
  };

  // Which connections a call may use.
  struct ConnectionFilter {
    // Not used: those that have carried a request whose answer, if the server
    // sends it again, would be taken for the call's.
    std::span<const UpstreamConnectionId> avoided;
    // Only a new connection, for a request whose answer bears nothing that
    // tells it apart.
    bool only_new = false;
  };

  struct Counters {
    std::uint64_t connections_opened = 0;
    // Answers that belong to no call in progress.
    std::uint64_t stray_answers = 0;
  };

  // Preconditions: `loop` outlives the client.
  static std::unique_ptr<UpstreamClient> Create(EventLoop& loop,
                                                const Options& options);

  virtual ~UpstreamClient() = default;

  // Sends `request` to `server` on an idle or a new connection and returns the
  // id of the call. There is no deadline; use `Cancel` to limit the duration.
  virtual UpstreamCallId Start(const Address& server,
                               const HttpRequest& request,
                               Callbacks callbacks,
                               const ConnectionFilter& filter) = 0;

  // Returns the connection of a call in progress, or 0 for unknown and ended
  // calls.
  virtual UpstreamConnectionId ConnectionOf(UpstreamCallId call) const = 0;

  // Starts a call and collects its answer. `done` receives the complete answer
  // if the call ends with kComplete, else an empty one. A body longer than
  // `max_body_bytes` ends the call with kTooLong.
  UpstreamCallId Fetch(const Address& server,
                       const HttpRequest& request,
                       std::size_t max_body_bytes,
                       std::function<void(UpstreamEnd, HttpResponse)> done);

  // Cancels a call and resets its connection, so that a request that is still
  // on its way is discarded; no callback follows. Unknown and ended calls
  // are ignored.
  virtual void Cancel(UpstreamCallId call) = 0;

  // Leaves the answer to a call in its connection, and reads it again. Unknown
  // and ended calls are ignored.
  virtual void PauseReading(UpstreamCallId call) = 0;
  virtual void ResumeReading(UpstreamCallId call) = 0;

  // Returns whether nothing of the request has been passed to the system yet,
  // for example because the connection is still being opened. False for unknown
  // and ended calls.
  virtual bool IsUnsent(UpstreamCallId call) const = 0;

  // Closes the idle connections to `server`, for example when it has left.
  virtual void CloseIdle(const Address& server) = 0;

  virtual Counters counters() const = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_UPSTREAM_CLIENT_H_
