#ifndef AMARANTHCOVE_ADAPTER_AGENT_DEMAND_TABLE_H_
#define AMARANTHCOVE_ADAPTER_AGENT_DEMAND_TABLE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "amaranthcove/adapter_agent/adapter_plan.h"
#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// The last demand of one router for adapters of an engine, with the engine's
// configuration.
struct RouterDemand {
  std::int64_t incarnation = 0;  // Of the router.
  std::int64_t sequence = 0;
  std::vector<WantedAdapter> uses;
  EngineCapacity capacity;
  std::vector<AgentModel> models;
};

// The demands of all routers for adapters of one engine.
//
// Routers repeat their complete demand periodically. A demand that is not
// repeated within `kDemandLifetime` expires.
//
// Not thread-safe.
class DemandTable {
 public:
  static constexpr Duration kDemandLifetime = std::chrono::seconds(3);

  // Replaces the demand of `router`. Returns false and changes nothing if the
  // demand is not newer than the stored one of the same incarnation.
  bool Put(const Address& router, RouterDemand demand, Time now);

  // Removes the demands whose lifetime has passed, and limits the number of
  // stored last uses.
  void Expire(Time now);

  // Returns all wanted adapters, with their requests summed over the routers.
  std::vector<WantedAdapter> Wanted() const;

  // Returns the routers that have a request waiting for an adapter.
  std::vector<Address> WaitingRouters() const;

  // Returns all routers that have a demand.
  std::vector<Address> Routers() const;

  const LastUseTimes& last_uses() const { return last_uses_; }
  const EngineCapacity& capacity() const { return capacity_; }
  std::span<const AgentModel> models() const { return models_; }

 private:
  struct Entry {
    RouterDemand demand;
    Time received;
    // When the router's requests began to wait, by model and adapter name.
    std::map<std::pair<std::string, std::string>, Time> waiting_since;
  };

  std::map<Address, Entry> entries_;
  LastUseTimes last_uses_;
  EngineCapacity capacity_;
  std::vector<AgentModel> models_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_DEMAND_TABLE_H_
