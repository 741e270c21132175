#ifndef AMARANTHCOVE_NODE_NODE_SETTINGS_H_
#define AMARANTHCOVE_NODE_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <tl/expected.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/ini/ini.h"
#include "amaranthcove/settings/settings.h"

namespace amaranthcove {

// When routers ask for the places of the servers of a plain service.
enum class SharedPlaces {
  kOff,
  kOn,
  kAuto  // For services with fewer than two places for each router.
};

// Settings of a router, which forwards requests of callers to backend servers.
struct RouterSettings {
  std::string instance;
  std::string data_centre;
  Address http_address;       // Requests of callers.
  Address readiness_address;  // Readiness checks of the platform.
  Address admin_address;      // Metrics and dumps.
  Address agent_address;      // Datagrams from adapter agents.
  // UDP port of the adapter agents on the engines' hosts.
  std::uint16_t agent_port = 0;
  Address metadata_store;
  // Maximum time from a server's announcement that it is leaving until the
  // router sends it no new requests.
  Duration leaving_limit = std::chrono::seconds(2);
  // Maximum time until a configuration change takes effect, counted from its
  // commit in the store, or from the recovery of the store if the store was
  // unavailable.
  Duration config_limit = std::chrono::seconds(2);
  // Retry budget of each service over all routers: within `retry_window`, at
  // most `retry_ratio` retries per request plus `retry_extra` retries.
  double retry_ratio = 0.1;
  double retry_extra = 20;
  Duration retry_window = std::chrono::seconds(10);
  // Maximum duration of a graceful shutdown.
  Duration stop_limit = std::chrono::seconds(8);
  // By how much the use of a workspace's quota may exceed it, over all routers
  // and in any window: by this share of it and, in what the quota counts, by
  // the tolerance.
  double quota_overshoot = 0;
  double quota_tolerance = 0;
  // Whether a router that has not heard from the metadata store for
  // `revocation_limit` refuses the callers of workspaces: their keys may have
  // been taken away.
  bool revocation_strict = false;
  Duration revocation_limit = std::chrono::seconds(5);
  // Whether the places of plain servers are shared by all routers.
  SharedPlaces shared_places = SharedPlaces::kOff;
  // Memory of the instance that the process may use, in MB.
  int memory_mb = 512;
  // Descriptors that the process may use; 0 for its own limit.
  int max_descriptors = 0;
  LogLevel log_level = LogLevel::kInfo;
};

// Settings of an adapter agent, which controls the adapters of one engine.
struct AgentSettings {
  std::string instance;
  std::string data_centre;
  Address agent_address;  // Datagrams from routers.
  Address engine;
  Address admin_address;  // Metrics and dumps.
  LogLevel log_level = LogLevel::kInfo;
};

using NodeSettings = std::variant<RouterSettings, AgentSettings>;

// Returns whether `sections` configure a router or an adapter agent, and not
// one of the roles of `Settings`. Thread-safe.
bool IsNodeRole(const std::vector<IniSection>& sections);

// Parses and validates settings with the sections [process] and [router] or
// [adapter_agent]. Errors: all errors found, in line order. Thread-safe.
tl::expected<NodeSettings, IniErrors> ParseNodeSettings(
    const std::vector<IniSection>& sections);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NODE_NODE_SETTINGS_H_
