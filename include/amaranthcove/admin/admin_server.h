#ifndef AMARANTHCOVE_ADMIN_ADMIN_SERVER_H_
#define AMARANTHCOVE_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/metrics/metrics.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_server.h"

namespace amaranthcove {

// What a process shows to operators.
struct AdminSource {
  // The state; numbers in objects called "counters" become metrics.
  std::function<nlohmann::json()> dump;
  // The record of a request, or null JSON.
  std::function<nlohmann::json(const std::string& request_id)> explain;
  // Whether the process should receive work.
  std::function<bool()> ready;
};

// Serves /metrics, /healthz, /readyz, /dump and /explain/ID on an address of
// its own.
//
// Thread safety: belongs to the loop's thread.
class AdminServer {
 public:
  // Preconditions: `loop` and `registry` outlive the server; all functions of
  // `source` are set.
  AdminServer(EventLoop& loop, MetricsRegistry& registry, AdminSource source);

  // Errors: kUnavailable if `address` cannot be bound.
  Status Listen(const Address& address);

  Address local_address() const { return server_->local_address(); }

 private:
  void OnRequest(const HttpRequest& request, HttpResponder& responder);
  std::string RenderMetrics();

  EventLoop& loop_;
  MetricsRegistry& registry_;
  const AdminSource source_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADMIN_ADMIN_SERVER_H_
