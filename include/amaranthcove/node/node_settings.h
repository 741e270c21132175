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

// Settings of a router, which relays requests of callers to backend servers.
struct RouterSettings {
  std::string instance;
  std::string data_centre;
  Address http_address;          // Callers.
  Address readiness_address;     // The platform's question for readiness.
  Address admin_address;         // Metrics and dumps.
  Address agent_address;         // Datagrams of adapter agents.
  std::uint16_t agent_port = 0;  // Of the agents, on the engines' hosts.
  Address metadata_store;
  // New work to a server ends within this time after it has announced that it
  // leaves.
  Duration leaving_limit = std::chrono::seconds(2);
  // A change of the configuration is in force within this time after the store
  // has taken it, or, if the store did not answer then, after it does again.
  Duration config_limit = std::chrono::seconds(2);
  double retry_ratio = 0.1;
  double retry_extra = 20;
  Duration retry_window = std::chrono::seconds(10);
  // A stop ends the process within this time.
  Duration stop_limit = std::chrono::seconds(8);
  LogLevel log_level = LogLevel::kInfo;
};

// Settings of an adapter agent, which orders adapters of the engine beside it.
struct AgentSettings {
  std::string instance;
  std::string data_centre;
  Address agent_address;  // Datagrams of routers.
  Address engine;
  Address admin_address;
  LogLevel log_level = LogLevel::kInfo;
};

using NodeSettings = std::variant<RouterSettings, AgentSettings>;

// Whether `sections` are the settings of a router or an adapter agent; `false`
// for the roles of `Settings`. Thread-safe.
bool IsNodeRole(const std::vector<IniSection>& sections);

// Reads settings with the sections [process] and [router] or [adapter_agent].
// Errors: every fault of the text, with its line. Thread-safe.
tl::expected<NodeSettings, IniErrors> ParseNodeSettings(
    const std::vector<IniSection>& sections);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NODE_NODE_SETTINGS_H_
