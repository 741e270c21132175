#ifndef AMARANTHCOVE_ROUTING_ROUTE_TABLE_H_
#define AMARANTHCOVE_ROUTING_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/time.h"
#include "amaranthcove/fair_share/fair_order.h"
#include "amaranthcove/workspaces/workspace.h"

namespace amaranthcove {

// Whether calls of a route may be repeated, and the form of their answers.
enum class CallKind {
  kIdempotent,     // May run more than once.
  kNonIdempotent,  // Runs at most once for each attempt of a caller.
  kStream  // A generation. Treated as kNonIdempotent unless it is resumable.
};

// A service that receives the requests of a route in proportion to `weight`.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 0;
};

// A rule that assigns requests to services and states how they are handled.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  CallKind kind = CallKind::kNonIdempotent;
  // The longest time from the arrival of a request to the end of its answer.
  Duration timeout = std::chrono::seconds(10);
  // The time within which an answer, or the first event of a stream, is on
  // time.
  Duration target_latency = std::chrono::seconds(1);
  // The longest pause between two events with which a stream is on time; zero
  // if there is no limit.
  Duration target_gap = Duration::zero();
  int priority = 0;  // 0 is the most urgent.
  std::vector<WeightedService> services;
  int max_attempts = 1;  // Maximum number of sends that may run the request.
  bool resumable = false;
  bool is_public = false;  // Callers need no key.
};

// A base model that the engines of a service may hold.
struct ModelSpec {
  std::string name;
  double weights_mb = 0;
};

// The capacity of the engines of a service.
struct EngineSpec {
  int batch_size = 1;
  int adapter_places = 0;
  double weights_mb = 0;  // For weights and adapters together.
  std::vector<ModelSpec> models;
};

struct ServiceSpec {
  std::string name;
  std::optional<EngineSpec> engine;  // None for a plain service.
};

// Limits of what a caller may send and how long its connection may stay idle.
struct CallerLimits {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 4 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// One version of the operator's configuration.
struct RoutingConfig {
  std::int64_t version = 0;
  std::vector<Route> routes;
  int unreadable_routes = 0;  // Number of routes that are not in `routes`.
  std::map<std::string, ServiceSpec, std::less<>> services;
  CallerLimits limits;
  // Callers need a key if there are any.
  std::vector<Workspace> workspaces;
};

// The routes of one configuration, indexed by host. Movable but not copyable.
//
// Thread safety: immutable; reading is thread-safe.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfig config);
  RouteTable(RouteTable&&) = default;
  RouteTable& operator=(RouteTable&&) = default;

  // Returns the route of `host` with the longest prefix of `path`, or null. The
  // case of `host`, its port, and a query in `path` are ignored. The pointer is
  // valid as long as the table.
  const Route* Find(std::string_view host, std::string_view path) const;

  // Returns the service called `name`, or null. The pointer is valid as long as
  // the table.
  const ServiceSpec* FindService(std::string_view name) const;

  // Returns whether callers need a key of a workspace.
  bool has_workspaces() const { return !config_.workspaces.empty(); }

  // Returns the quotas by which the shares of workspaces are measured.
  const ShareScale& share_scale() const { return share_scale_; }

  // Returns the workspace that holds `key`, or null. The pointer is valid as
  // long as the table.
  const Workspace* FindWorkspace(std::string_view key) const {
    return keys_.Find(key);
  }

  const RoutingConfig& config() const { return config_; }

 private:
  RoutingConfig config_;
  // Routes by host, then by prefix.
  std::map<std::string,
           std::map<std::string, const Route*, std::less<>>,
           std::less<>>
      by_host_;
  WorkspaceKeys keys_;
  ShareScale share_scale_;
};

// Picks a service with a probability in proportion to its weight, and the first
// one if all weights are 0. `random` must be uniformly distributed. Returns an
// empty name if there are no services. Thread-safe.
std::string_view PickService(std::span<const WeightedService> services,
                             std::uint64_t random);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ROUTING_ROUTE_TABLE_H_
