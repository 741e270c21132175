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

// Sends the answer to one request: either by `Send`, or by `Start`, any number
// of `Write` calls and `End`. `Abort` may be called instead at any point. After
// the caller has disconnected, all methods do nothing. Destroying an unfinished
// responder aborts the answer.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Sends a complete answer with its length.
  virtual void Send(HttpResponse response) = 0;

  // Begins a streamed answer; `response.body` is its first piece.
  virtual void Start(HttpResponse response) = 0;

  // Appends `data` to a streamed answer. Precondition: `Start` was called.
  virtual void Write(std::string_view data) = 0;

  // Completes a streamed answer.
  virtual void End() = 0;

  // Closes the connection so that the caller can tell that the answer is
  // incomplete. Data already written to a streamed answer is sent first, for up
  // to 1 s.
  virtual void Abort() = 0;

  // Returns the number of bytes written but not yet accepted by the socket.
  virtual std::size_t buffered_bytes() const = 0;

  // Returns whether the caller has disconnected, by asking the system.
  // `OnCallerGone` reports that later, and after earlier requests of the same
  // round were handled.
  virtual bool IsCallerGone() const = 0;

  // Calls `callback` once if the caller disconnects before the answer has
  // ended, even if no byte of the answer has been sent yet.
  virtual void OnCallerGone(std::function<void()> callback) = 0;
};

// An HTTP/1.1 server on one address. Requests whose callers have disconnected
// before they are handled are dropped. Streamed answers are sent with chunked
// encoding. Streamed answers for which h2o does not support chunked encoding (a
// status other than 200 and 206, or an HTTP/1.0 caller) are collected and sent
// with their length, so that callers can detect a truncation. Destroying the
// server aborts its connections; the handler must not do that.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class HttpServer {
 public:
  using Handler =
      std::function<void(HttpRequest, std::unique_ptr<HttpResponder>)>;

  // How an aborted chunked answer ends.
  enum class AbortMethod {
    // With a malformed chunk. Needed for callers that take a close between two
    // chunks as the end of the answer.
    kMalformedChunk,
    // Only with the close of the connection, for callers that reject malformed
    // HTTP.
    kClose
  };

  // Limits on the size and duration of requests.
  struct Limits {
    // Maximum size in bytes of the request line and header fields. Larger
    // requests are answered with 431. Above 100 fields or 408 KiB, h2o itself
    // answers with 400.
    std::size_t max_header_bytes = 64 << 10;
    // Maximum size of the body in bytes. Larger requests are answered with 413.
    std::size_t max_body_bytes = 4 << 20;
    // A request whose header fields are not complete after this time is
    // answered with 408.
    Duration header_timeout = std::chrono::seconds(60);
    // A connection without a request in progress is closed when no byte has
    // arrived for this time.
    Duration idle_timeout = std::chrono::seconds(60);
  };

  struct Options {
    AbortMethod abort_method = AbortMethod::kMalformedChunk;
    Limits limits;
    // Memory in bytes for requests, and again for answers that callers have not
    // read. Above it large requests are read one after the other, requests that
    // get on least are refused, and the connections are closed whose answers
    // have waited longest. One request and one answer are always allowed.
    std::size_t memory_budget = 64 << 20;
    // Maximum number of connections; 0 for three eighths of the descriptors of
    // the process, so that each caller may need another one for a backend
    // server. At the maximum, the connection without a request in progress that
    // has been idle for longest is closed for a new one.
    std::size_t max_connections = 0;
  };

  // Counts, since the start, of requests and connections that did not reach the
  // handler.
  struct Counters {
    // Requests with header fields or a body above the limit, with malformed
    // chunks, with a head that can be read in more than one way, or with header
    // fields that did not arrive in time.
    std::uint64_t refused = 0;
    // Connections closed before a complete request arrived: probes, truncated
    // requests and bytes that are not HTTP.
    std::uint64_t incomplete_connections = 0;
    // Requests refused because they took too long or there was no memory.
    std::uint64_t refused_intake = 0;
    // Connections closed because their answers were not read, or for new ones.
    std::uint64_t closed_unread = 0;
    std::uint64_t closed_for_new = 0;
  };

  // Listens on `address` and calls `handler` for each request.
  // Preconditions: `loop` outlives the server. Errors: kInvalidArgument if
  // `address` is not an IPv4 address, kUnavailable if it cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(EventLoop& loop,
                                                    const Address& address,
                                                    const Options& options,
                                                    Handler handler);

  virtual ~HttpServer() = default;

  // Returns the bound address, with the actual port if port 0 was requested.
  virtual Address local_address() const = 0;

  virtual Counters counters() const = 0;

  // Replaces the limits for new requests.
  virtual void SetLimits(const Limits& limits) = 0;

  // Closes each connection after its next answer, so that callers reconnect to
  // other instances. New connections are still accepted.
  virtual void CloseAfterAnswers() = 0;

  // Closes the listener and the idle connections. Requests in progress
  // continue; their connections are closed after the answer.
  virtual void StopAccepting() = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_HTTP_SERVER_H_
