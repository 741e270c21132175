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

// An adapter, or a base model if `adapter` is empty, in one version; version 0
// stands for the newest.
struct AdapterState {
  std::string model;
  std::string adapter;
  std::int64_t version = 0;

  bool operator==(const AdapterState&) const = default;
};

// A request that an engine runs.
struct EngineRun {
  std::string id;
  std::int64_t events = 0;  // Made so far.
};

// What an engine says of itself.
struct EngineReport {
  std::vector<std::string> models;
  std::vector<AdapterState> resident;
  std::vector<AdapterState> loading;
  bool ordering = false;    // Carries out an order that excludes others.
  std::int64_t orders = 0;  // Accepted since the engine's start.
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

// An adapter that requests need, over all routers.
struct WantedAdapter {
  AdapterState target;  // The version is the least that serves.
  int waiting = 0;
  int running = 0;
  int rank = 0;        // Of the first waiting request; 0 is first.
  Time waiting_since;  // Of the oldest waiting request.
};

// What an engine has room for.
struct EngineRoom {
  int adapter_places = 0;
  double weights_mb = 0;
};

struct AgentModel {
  std::string name;
  double weights_mb = 0;
};

// Adapters that the engine was told to unload and still holds: it waits for
// their runs.
using Unloading = std::set<std::pair<std::string, std::string>>;

// When an adapter was last used, by model and adapter name.
using LastUses = std::map<std::pair<std::string, std::string>, Time>;

// Loads to one engine that may be under way at a time.
inline constexpr int kMaxLoadsUnderWay = 4;

// The time of a load from the weight store that is not slowed by others.
inline constexpr double kUnslowedLoadMs = 250;

// Loads that an engine may have under way while loads from the weight store
// take `load_ms`. Beyond a number of loads over all engines, which no agent
// sees, the store divides its rate among them; fewer at a time then end sooner
// on average.
int LoadsAllowed(double load_ms);

// The next order to an engine, if any.
//
// Adapters with waiting requests are loaded by rank, then by the number of
// requests, because the weight store limits the number of loads, then by age.
// If all places are taken, the adapter that was used least recently makes room;
// adapters that requests use or wait for never do. Places that are being
// vacated are waited for before another is. An engine without a base model gets
// the first model that is wanted and fits.
std::optional<AdapterOrder> NextOrder(const EngineReport& report,
                                      const EngineRoom& room,
                                      std::span<const AgentModel> models,
                                      std::span<const WantedAdapter> wanted,
                                      const LastUses& last_uses,
                                      const Unloading& unloading,
                                      int loads_allowed = kMaxLoadsUnderWay);

// The time until a load that is wanted now would end if it came after those
// that are wanted already, in milliseconds. `load_ms` is the time of one load.
double LoadWaitMs(const EngineReport& report,
                  std::span<const WantedAdapter> wanted,
                  double load_ms);

// Adapters that need a place and have none yet.
int NeededPlaces(const EngineReport& report,
                 std::span<const WantedAdapter> wanted);

// Places of the engine that a new adapter could take: empty ones, and those of
// adapters that nobody wants.
int FreePlaces(const EngineReport& report,
               const EngineRoom& room,
               std::span<const WantedAdapter> wanted);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_ADAPTER_PLAN_H_
