#ifndef AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_PLAN_H_
#define AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// A version of an adapter, or of a base model if `adapter` is empty. Version 0
// means the newest.
struct AdapterState {
  std::string model;
  std::string adapter;
  std::int64_t version = 0;

  bool operator==(const AdapterState&) const = default;
};

// A request that an engine runs.
struct EngineRun {
  std::string id;
  std::int64_t events = 0;  // Number of events generated so far.
};

// The state of an engine, as the engine reports it.
struct EngineReport {
  std::vector<std::string> models;
  std::vector<AdapterState> resident;
  std::vector<AdapterState> loading;
  bool ordering = false;    // An order in progress excludes other orders.
  std::int64_t orders = 0;  // Orders accepted since the start of the engine.
  int running = 0;
  int queued = 0;
  std::int64_t started_at_ms = 0;
  std::vector<EngineRun> runs;
};

// An order to an engine.
struct AdapterOrder {
  enum class Action { kLoad, kUnload };
  Action action = Action::kLoad;
  AdapterState target;

  bool operator==(const AdapterOrder&) const = default;
};

// The demand for an adapter, of one router or summed over the routers.
struct WantedAdapter {
  AdapterState target;  // `version` is the lowest version that serves.
  int waiting = 0;      // Number of requests that wait for the adapter.
  int running = 0;      // Number of requests that use it at the engine.
  // Lowest rank among the waiting requests; 0 is served first.
  int rank = 0;
  // When the oldest waiting request began to wait.
  Time waiting_since;
};

// The capacity of an engine.
struct EngineCapacity {
  int adapter_places = 0;
  double weights_mb = 0;
};

// A base model that the engine may hold.
struct AgentModel {
  std::string name;
  double weights_mb = 0;
};

// Adapters whose unload was ordered and that are still resident, because the
// engine waits for their runs. By model and adapter name.
using PendingUnloads = std::set<std::pair<std::string, std::string>>;

// The time of the last use of each adapter, by model and adapter name.
using LastUseTimes = std::map<std::pair<std::string, std::string>, Time>;

// Maximum number of concurrent loads of one engine.
inline constexpr int kMaxConcurrentLoads = 4;

// Duration of a load from the weight store that other loads do not slow down,
// in milliseconds.
inline constexpr double kUncontendedLoadMs = 250;

// Returns the maximum number of concurrent loads of an engine while loads from
// the weight store take `load_ms` milliseconds; at least 1. Beyond a number of
// concurrent loads of all engines, which an agent cannot observe, the store
// divides its rate among them. With fewer concurrent loads, loads then end
// sooner on average. Thread-safe.
int ConcurrentLoadLimit(double load_ms);

// Returns the next order to an engine, or nullopt if there is none.
//
// Adapters with waiting requests are loaded in the order of rank, then of the
// number of waiting requests, because the weight store limits the number of
// loads, then of waiting time. If all adapter places are taken, the least
// recently used adapter is unloaded; adapters that requests use or wait for are
// never unloaded. No further unload is ordered while the pending unloads free
// enough places. An engine without a base model gets the first model that is
// wanted and fits, or else the first that fits. Thread-safe.
std::optional<AdapterOrder> NextOrder(const EngineReport& report,
                                      const EngineCapacity& capacity,
                                      std::span<const AgentModel> models,
                                      std::span<const WantedAdapter> wanted,
                                      const LastUseTimes& last_uses,
                                      const PendingUnloads& unloading,
                                      int load_limit = kMaxConcurrentLoads);

// Returns the expected time until a new load would end if it were queued behind
// the loads that are already needed, in milliseconds. `load_ms` is the duration
// of one load in milliseconds. Thread-safe.
double LoadWaitMs(const EngineReport& report,
                  std::span<const WantedAdapter> wanted,
                  double load_ms);

// Returns the number of adapters that must be loaded for waiting requests.
// Thread-safe.
int NeededPlaces(const EngineReport& report,
                 std::span<const WantedAdapter> wanted);

// Returns the number of adapter places that are left for further adapters:
// places that are empty or hold an adapter that no request uses or waits for,
// less the `NeededPlaces`. Thread-safe.
int FreePlaces(const EngineReport& report,
               const EngineCapacity& capacity,
               std::span<const WantedAdapter> wanted);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_PLAN_H_
