#ifndef AMARANTHCOVE_ROUTER_ROUTER_H_
#define AMARANTHCOVE_ROUTER_ROUTER_H_

#include <functional>
#include <memory>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/error.h"
#include "amaranthcove/metrics/metrics.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/node/node_settings.h"

namespace amaranthcove {

// Relays callers' requests to the backend servers listed in the metadata store,
// according to the routes in the operator's configuration.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class Router {
 public:
  // Creates a router that is not listening yet. `loop` and `metrics` must
  // outlive it.
  static std::unique_ptr<Router> Create(EventLoop& loop,
                                        MetricsRegistry& metrics,
                                        const RouterSettings& settings);

  virtual ~Router() = default;

  // Opens the listening sockets and starts to follow the metadata store.
  // Errors: kUnavailable if an address cannot be bound.
  virtual Status Start() = 0;

  // Begins a graceful stop: reports not ready, continues to serve until callers
  // have been sent to other routers, and calls `on_stopped` once no request is
  // in progress or the stop limit is near. Later calls have no effect.
  virtual void Leave(std::function<void()> on_stopped) = 0;

  // Returns whether the router should receive new connections.
  virtual bool ready() const = 0;

  // Returns the current state and counters for operators.
  virtual nlohmann::json Dump() const = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ROUTER_ROUTER_H_
