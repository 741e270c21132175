#ifndef AMARANTHCOVE_SRC_NET_HTTP_EXCHANGE_H_
#define AMARANTHCOVE_SRC_NET_HTTP_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http.h"
#include "amaranthcove/net/http_server.h"
#include "src/net/h2o_headers.h"

namespace amaranthcove::internal {

// Copies `text` into a string; empty if `text` is null.
std::string ToString(h2o_iovec_t text);

// Returns for each of `sockets` whether its peer has closed the connection or
// has shut down its sending side; the two cannot be distinguished. Thread-safe.
std::vector<bool> HaveDisconnected(std::span<const int> sockets);

class Exchange;

// Allocated in the memory pool of h2o's request. Its destruction detaches the
// exchange when h2o disposes of the request.
struct RequestGenerator {
  h2o_generator_t super;
  std::shared_ptr<Exchange> exchange;
};

// One request and its answer. Owned by both the request's pool and the
// responder, because a finished answer may still be sent after its responder
// was destroyed.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // `open_exchanges` holds the attached exchanges of the server. `closing` and
  // `stopped` are the server's current flags. Preconditions: all references
  // outlive the request.
  Exchange(EventLoop& loop,
           const HttpServer::Options& options,
           std::unordered_set<Exchange*>& open_exchanges,
           const bool& closing,
           const bool& stopped)
      : loop_(loop),
        options_(options),
        open_exchanges_(open_exchanges),
        closing_(closing),
        stopped_(stopped) {}

  // Attaches the exchange to `request` until h2o disposes of the request.
  void Attach(h2o_req_t* request);
  bool is_attached() const { return request_ != nullptr; }

  bool has_ended() const { return ended_; }
  // Precondition: the exchange is attached.
  int socket_fd() const;

  // See `HttpResponder`.
  void Send(HttpResponse response);
  void Start(HttpResponse response);
  void Write(std::string_view data);
  void End();
  void Abort();
  bool IsCallerGone() const;
  void OnCallerGone(std::function<void()> callback);
  void DropCallback() { on_caller_disconnected_ = nullptr; }

  // Aborts the answer because the caller has closed the connection, which h2o
  // has not detected yet. Precondition: the exchange is attached.
  void HandleCallerDisconnect();
  std::size_t buffered_bytes() const;
  // Closes the connection of an answer that is not read. The caller sees that
  // it is incomplete. Precondition: the exchange is attached.
  void GiveUp();
  bool is_given_up() const { return given_up_; }
  // When the answer began. Precondition: the answer has begun.
  Time answer_began() const { return answer_began_; }

 private:
  static void OnProceed(h2o_generator_t* self, h2o_req_t* /*request*/);
  static void OnRequestDisposed(void* memory);
  void Detach();
  void ReportCallerDisconnect();
  void StartWithLength();
  void StartResponse(std::size_t length);
  void AddHeader(const HttpHeader& header);

  // Passes the pending data to h2o, which accepts one piece at a time.
  void Flush();

  // Aborts the answer and its connection. A piece that is being sent is given
  // 1 s to complete.
  void BreakConnection();

  // Closes the connection without completing the answer. h2o writes a malformed
  // chunk first, unless the connection is no longer writable.
  void SendError();

  EventLoop& loop_;
  const HttpServer::Options options_;
  std::unordered_set<Exchange*>& open_exchanges_;
  const bool& closing_;
  const bool& stopped_;
  h2o_req_t* request_ = nullptr;  // Null once h2o has disposed of it.
  RequestGenerator* generator_ = nullptr;
  HttpResponse response_;
  Time answer_began_;
  std::string pending_;
  std::string in_flight_;
  std::function<void()> on_caller_disconnected_;
  bool is_head_method_ = false;
  bool has_head_ = false;      // `Send` or `Start` was called.
  bool started_ = false;       // The head of the answer was passed to h2o.
  bool head_flushed_ = false;  // The head was sent, with or without data.
  bool sending_ = false;       // h2o is sending a piece.
  bool ended_ = false;
  bool aborted_ = false;
  bool given_up_ = false;
  bool sent_last_ = false;  // The last piece was passed to h2o.
};

// Creates the responder of an exchange. Its destructor aborts an unfinished
// answer.
std::unique_ptr<HttpResponder> MakeResponder(
    std::shared_ptr<Exchange> exchange);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_HTTP_EXCHANGE_H_
