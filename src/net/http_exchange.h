#ifndef AMARANTHCOVE_SRC_NET_HTTP_EXCHANGE_H_
#define AMARANTHCOVE_SRC_NET_HTTP_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http.h"
#include "amaranthcove/net/http_server.h"
#include "src/net/h2o_headers.h"

namespace amaranthcove::internal {

// The text that h2o keeps in `text`.
std::string ToString(h2o_iovec_t text);

class Exchange;

// Lives in the memory pool of h2o's request and tells the exchange when h2o
// disposes of the request.
struct RequestGenerator {
  h2o_generator_t super;
  std::shared_ptr<Exchange> exchange;
};

// One request and its answer. Shared by the request's pool and the responder:
// an answer that has ended is still being sent after its responder has gone.
//
// Thread safety: belongs to the loop's thread.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // Preconditions: `open_exchanges`, which holds the attached ones, and the
  // flags of the server outlive the request.
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

  // Ties the exchange to `request` until h2o disposes of it.
  void Attach(h2o_req_t* request);
  bool is_attached() const { return request_ != nullptr; }

  bool has_ended() const { return ended_; }
  // Precondition: is attached.
  int socket_fd() const;

  // As in `HttpResponder`.
  void Send(HttpResponse response);
  void Start(HttpResponse response);
  void Write(std::string_view data);
  void End();
  void Abort();
  void OnCallerGone(std::function<void()> callback);
  void DropCallback() { on_caller_gone_ = nullptr; }

  // The caller has closed its side; h2o does not know it yet.
  void CallerHasGone();
  std::size_t buffered_bytes() const;

 private:
  static void OnProceed(h2o_generator_t* self, h2o_req_t* /*request*/);
  static void OnRequestDisposed(void* memory);
  void Detach();
  void ReportCallerGone();
  void StartWithLength();
  void StartResponse(std::size_t length);
  void AddHeader(const HttpHeader& header);

  // Hands what has been collected to h2o, which takes one piece at a time.
  void Flush();

  // Ends the connection without a proper end of the answer.
  void BreakConnection();

  // Closes the connection without an end of the answer. h2o writes a malformed
  // chunk first, unless the connection cannot be written any more.
  void SendError();

  EventLoop& loop_;
  const HttpServer::Options options_;
  std::unordered_set<Exchange*>& open_exchanges_;
  const bool& closing_;
  const bool& stopped_;
  h2o_req_t* request_ = nullptr;  // Null once h2o has disposed of it.
  RequestGenerator* generator_ = nullptr;
  HttpResponse response_;
  std::string pending_;
  std::string in_flight_;
  std::function<void()> on_caller_gone_;
  bool is_head_method_ = false;
  bool head_given_ = false;    // `Send` or `Start` was called.
  bool started_ = false;       // h2o knows the head of the answer.
  bool head_flushed_ = false;  // The head was sent, perhaps without a body.
  bool sending_ = false;       // h2o has a piece and has not asked for more.
  bool ended_ = false;
  bool aborted_ = false;
  bool sent_last_ = false;  // h2o has the last piece.
};

// The responder of an exchange; aborts an unfinished answer when it is
// destroyed.
std::unique_ptr<HttpResponder> MakeResponder(
    std::shared_ptr<Exchange> exchange);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_HTTP_EXCHANGE_H_
