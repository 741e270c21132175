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

// Relays requests of callers to the backend servers that the metadata store
// lists, by the routes of the operator's configuration.
//
// Thread safety: belongs to the loop's thread.
class Router {
 public:
  // Preconditions: `loop` and `metrics` outlive the router.
  static std::unique_ptr<Router> Create(EventLoop& loop,
                                        MetricsRegistry& metrics,
                                        const RouterSettings& settings);

  virtual ~Router() = default;

  // Listens, and begins to follow the metadata store. Errors: kUnavailable if
  // an address cannot be bound.
  virtual Status Start() = 0;

  // Begins a graceful stop: reports not ready, goes on serving until callers
  // have been sent elsewhere, and calls `on_stopped` once nothing is in
  // progress or the stop limit is near.
  virtual void Leave(std::function<void()> on_stopped) = 0;

  // Whether the router should get new connections.
  virtual bool ready() const = 0;

  // The present beliefs and counters, for operators.
  virtual nlohmann::json Dump() const = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ROUTER_ROUTER_H_
