#include "amaranthcove/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace amaranthcove {

namespace {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

RouteTable::RouteTable(RoutingConfig config)
    : config_(std::move(config)),
      keys_(config_.workspaces),
      share_scale_(ScaleOf(config_.workspaces)) {
  for (const Route& route : config_.routes) {
    by_host_[NormalizeHost(route.host)][route.path_prefix] = &route;
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto routes = by_host_.find(NormalizeHost(host));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  std::string_view prefix = path.substr(0, path.find('?'));
  // Every route's prefix ends with a slash, so only such prefixes can match.
  while (!prefix.empty()) {
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    prefix = prefix.substr(0, slash + 1);
    const auto route = routes->second.find(prefix);
    if (route != routes->second.end()) {
      return route->second;
    }
    prefix.remove_suffix(1);
  }
  return nullptr;
}

const ServiceSpec* RouteTable::FindService(std::string_view name) const {
  const auto service = config_.services.find(name);
  return service == config_.services.end() ? nullptr : &service->second;
}

std::string_view PickService(std::span<const WeightedService> services,
                             std::uint64_t random) {
  std::uint64_t total = 0;
  for (const WeightedService& service : services) {
    total += service.weight;
  }
  if (total == 0) {
    return services.empty() ? std::string_view() : services.front().service;
  }
  std::uint64_t at = random % total;
  for (const WeightedService& service : services) {
    if (at < service.weight) {
      return service.service;
    }
    at -= service.weight;
  }
  return services.back().service;
}

}  // namespace amaranthcove
