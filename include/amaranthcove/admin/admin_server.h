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

// Callbacks through which an `AdminServer` reads the state of its process.
struct AdminSource {
  // Returns the state. Its numbers that `ExportedMetrics` lists become metrics.
  std::function<nlohmann::json()> dump;
  // Returns the record of a request, or null JSON if there is none.
  std::function<nlohmann::json(const std::string& request_id)> explain;
  // Returns whether the process should receive work.
  std::function<bool()> ready;
};

// Serves /metrics, /healthz, /readyz, /dump and /explain/ID to operators. Only
// GET is allowed.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class AdminServer {
 public:
  // Preconditions: `loop` and `registry` outlive the server; all functions of
  // `source` are set.
  AdminServer(EventLoop& loop, MetricsRegistry& registry, AdminSource source);

  // Starts to listen. Errors: kUnavailable if `address` cannot be bound.
  Status Listen(const Address& address);

  // Precondition: `Listen` has succeeded.
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
