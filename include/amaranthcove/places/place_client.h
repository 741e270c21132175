#ifndef AMARANTHCOVE_PLACES_PLACE_CLIENT_H_
#define AMARANTHCOVE_PLACES_PLACE_CLIENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/places/place_queue.h"

namespace amaranthcove {

ServerHash HashOfServer(std::string_view id);
ServiceHash HashOfService(std::string_view name);

// Returns the agent that keeps the places of `service`, or nullopt if `agents`
// is empty. Routers that know the same agents choose the same one. Thread-safe.
std::optional<Address> ChoosePlaceKeeper(ServiceHash service,
                                         std::span<const Address> agents);

// A router's end of the exchange about places of plain servers: keeps the calls
// that wait and run, and tells them to the agents that keep the places.
//
// Thread safety: none.
class PlaceClient {
 public:
  // A call that has waited so long for the first answer of the agent is sent
  // without a place.
  static constexpr Duration kMaxSilence = std::chrono::milliseconds(60);
  // An agent that did not answer is not asked for this time.
  static constexpr Duration kAvoidSilent = std::chrono::seconds(1);

  explicit PlaceClient(Incarnation incarnation) : incarnation_(incarnation) {}

  // Sets the agents that can keep places.
  void SetAgents(std::span<const Address> agents) {
    agents_.assign(agents.begin(), agents.end());
  }

  // Returns whether there is an agent to ask for `service`.
  bool CanAsk(std::string_view service, Time now) const;

  // Asks for a place and returns the id of the call.
  std::int64_t Ask(std::string_view service,
                   std::vector<PlaceOption> options,
                   int priority,
                   Time useful_until,
                   const FairShare& share,
                   Time now);

  // Returns whether the agent has answered any demand with the ask of the call.
  // If it has not by `kMaxSilence`, the agent is avoided.
  bool IsAnswered(std::int64_t id, Time now);

  // Moves a call to the running ones, or adds it to them.
  void Start(std::int64_t id,
             std::string_view service,
             std::string_view server);

  // Removes a call that waits or runs. Unknown ids are ignored.
  void End(std::int64_t id);

  struct Outgoing {
    Address agent;
    PlaceDemand demand;
  };
  // Returns the demands that are due: those that have changed, and those to be
  // repeated.
  std::vector<Outgoing> TakeDue(Time now);

  // Takes in the grants of an agent for the demand `sequence` of `service`.
  // Returns those that are news.
  std::vector<PlaceUse> OnGrants(const Address& agent,
                                 ServiceHash service,
                                 std::int64_t sequence,
                                 std::span<const PlaceUse> grants);

 private:
  struct Asked {
    PlaceAsk ask;
    Time useful_until;
    Time asked;
    std::int64_t sequence = 0;  // Of the first demand with it.
    bool answered = false;
    bool granted = false;
  };
  struct Service {
    std::map<std::int64_t, Asked> asked;
    std::map<std::int64_t, PlaceUse> running;
    Time next_send;  // In the past after a change.
    bool told_empty = true;
    // Of the last answer, and the agent that it came from.
    std::int64_t answered = 0;
    std::optional<Address> keeper;
  };

  std::optional<Address> KeeperOf(ServiceHash service, Time now) const;
  PlaceDemand MakeDemand(ServiceHash service, Service& state, Time now);

  const Incarnation incarnation_;
  std::vector<Address> agents_;
  std::map<ServiceHash, Service> services_;
  std::map<std::int64_t, ServiceHash> services_of_calls_;
  std::map<Address, Time> avoided_until_;
  std::int64_t last_id_ = 0;
  std::int64_t last_sequence_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PLACES_PLACE_CLIENT_H_
