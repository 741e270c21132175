#ifndef AMARANTHCOVE_NET_HTTP_SERVER_H_
#define AMARANTHCOVE_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http.h"

namespace amaranthcove {

// The answer to one request. Exactly one of `Send`, or `Start` with `Write` and
// `End` or `Abort`, is expected. After the caller has gone all methods do
// nothing. Destroying an unfinished responder aborts the answer.
//
// Thread safety: belongs to the loop's thread.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Sends a whole answer with its length.
  virtual void Send(HttpResponse response) = 0;

  // Begins a streamed answer; `response.body` is its first piece.
  virtual void Start(HttpResponse response) = 0;

  // Adds `data` to a streamed answer. Precondition: `Start` was called.
  virtual void Write(std::string_view data) = 0;

  // Ends a streamed answer properly.
  virtual void End() = 0;

  // Breaks the connection, so that the caller cannot take the answer for whole.
  // What was written to a streamed answer is sent first, for up to 1 s.
  virtual void Abort() = 0;

  // Bytes written and not yet taken by the socket.
  virtual std::size_t buffered_bytes() const = 0;

  // Calls `callback` once if the caller goes away before the answer has ended,
  // also while no byte of the answer has been sent.
  virtual void OnCallerGone(std::function<void()> callback) = 0;
};

// An HTTP/1.1 server on one address. Streamed answers are sent in chunks; those
// that HTTP/1.1 callers could not check for truncation (a status other than 200
// and 206, or an HTTP/1.0 caller) are collected and sent with their length.
// Destroying the server, which its handler must not do, breaks its connections.
//
// Thread safety: belongs to the loop's thread.
class HttpServer {
 public:
  using Handler =
      std::function<void(HttpRequest, std::unique_ptr<HttpResponder>)>;

  // How an aborted answer in chunks ends.
  enum class AbortMark {
    // By a malformed chunk, which also callers notice that take a close between
    // two chunks for the end.
    kMalformedChunk,
    // By the close of the connection alone, for callers that refuse bytes that
    // are no HTTP.
    kClose
  };

  // What callers may send, and how long they may take.
  struct Limits {
    // A request whose line and header fields are larger is answered 431. h2o
    // answers 400 above 100 fields or 408 KiB. Bytes.
    std::size_t max_header_bytes = 64 << 10;
    // A request with a larger body is answered 413. Bytes.
    std::size_t max_body_bytes = 4 << 20;
    // A caller that has begun a request and not ended its header fields by then
    // is answered 408.
    Duration header_timeout = std::chrono::seconds(60);
    // A connection without a request is closed after this time without a byte.
    Duration idle_timeout = std::chrono::seconds(60);
  };

  struct Options {
    AbortMark abort_mark = AbortMark::kMalformedChunk;
    Limits limits;
  };

  // Counts since the start of what never reached the handler.
  struct Counters {
    // Requests with header fields or a body above the limit, with malformed
    // chunks, or with a header that came too slowly.
    std::uint64_t refused = 0;
    // Connections that ended without one whole request: probes, truncated
    // requests and bytes that are not HTTP.
    std::uint64_t incomplete_connections = 0;
  };

  // Listens on `address` and calls `handler` for each request.
  // Preconditions: `loop` outlives the server. Errors: kUnavailable if the
  // address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(EventLoop& loop,
                                                    const Address& address,
                                                    const Options& options,
                                                    Handler handler);

  virtual ~HttpServer() = default;

  // The bound address, with the port that the system chose.
  virtual Address local_address() const = 0;

  virtual Counters counters() const = 0;

  // Replaces the limits; they hold for requests that begin from now on.
  virtual void SetLimits(const Limits& limits) = 0;

  // From now on each answer closes its connection, so that callers move to
  // other instances. New connections are still served.
  virtual void CloseAfterAnswers() = 0;

  // Closes the listener and the idle connections. Requests in progress go on;
  // their connections are closed after the answer.
  virtual void StopAccepting() = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_HTTP_SERVER_H_
