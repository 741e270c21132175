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

// What one router has last said it needs of an engine.
struct RouterDemand {
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  std::vector<WantedAdapter> uses;
  EngineRoom room;
  std::vector<AgentModel> models;
};

// The demands of all routers at one engine.
//
// Routers repeat their whole demand, so a demand that is not repeated for
// `kDemandLifetime` is forgotten.
//
// Thread safety: none.
class DemandTable {
 public:
  static constexpr Duration kDemandLifetime = std::chrono::seconds(3);

  // Takes a demand. Returns false if it is older than one already taken from
  // the same start of the router.
  bool Put(const Address& router, RouterDemand demand, Time now);

  // Forgets the demands that were not repeated.
  void Expire(Time now);

  // All adapters in demand, with the sums over the routers.
  std::vector<WantedAdapter> Wanted() const;

  // Routers that have a request waiting for an adapter.
  std::vector<Address> WaitingRouters() const;

  // All routers with a demand.
  std::vector<Address> Routers() const;

  const LastUses& last_uses() const { return last_uses_; }
  const EngineRoom& room() const { return room_; }
  std::span<const AgentModel> models() const { return models_; }

 private:
  struct Entry {
    RouterDemand demand;
    Time received;
    // Since when the router has had requests waiting for an adapter.
    std::map<std::pair<std::string, std::string>, Time> waiting_since;
  };

  std::map<Address, Entry> entries_;
  LastUses last_uses_;
  EngineRoom room_;
  std::vector<AgentModel> models_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_DEMAND_TABLE_H_
