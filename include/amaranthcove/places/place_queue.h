#ifndef AMARANTHCOVE_PLACES_PLACE_QUEUE_H_
#define AMARANTHCOVE_PLACES_PLACE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/fair_share/fair_order.h"

namespace amaranthcove {

// Identify a plain server and a service by the hashes of their ids.
using ServerHash = std::uint64_t;
using ServiceHash = std::uint64_t;

// A server that a call may use.
struct PlaceOption {
  ServerHash server = 0;
  int places = 1;  // Calls that the server runs at a time.
  // How many running calls the server's drawbacks weigh, such as its distance.
  int penalty = 0;
};

// A call that waits for a place.
struct PlaceAsk {
  std::int64_t id = 0;  // Unique within the incarnation of the router.
  std::vector<PlaceOption> options;
  int priority = 0;                        // 0 is the most urgent.
  Duration useful_for = Duration::zero();  // The call is late afterwards.
  FairShare share{};
};

// A call that has a place.
struct PlaceUse {
  std::int64_t id = 0;
  ServerHash server = 0;
  WorkspaceId workspace = 0;  // 0 for callers without one.

  bool operator==(const PlaceUse&) const = default;
};

// How many calls come before a call that waits.
struct PlaceWait {
  std::int64_t id = 0;
  int ahead = 0;
};

// Returns when a call gets a place that waits behind `ahead` others, if servers
// run `places` calls at a time and take `service_time` on average.
// Precondition: `places` is positive. Thread-safe.
Duration ExpectedPlaceWait(int ahead, int places, Duration service_time);

// The calls of one router to one service. Complete, so that the next demand
// makes up for a lost one.
struct PlaceDemand {
  Incarnation incarnation = 0;
  std::int64_t sequence = 0;  // Increases with each demand of the incarnation.
  ServiceHash service = 0;
  std::vector<PlaceAsk> asks;
  std::vector<PlaceUse> running;
};

// Grants the places of plain servers to the calls of all routers.
//
// Thread safety: none.
class PlaceQueue {
 public:
  // The calls of a router that is silent for longer do not count.
  static constexpr Duration kDemandLifetime = std::chrono::milliseconds(700);

  // A router and one of its services.
  using Source = std::pair<Address, ServiceHash>;

  // Takes in a demand. Returns false and changes nothing if it is not newer
  // than the last one of the same incarnation.
  bool Put(const Address& router, PlaceDemand demand, Time now);

  // Grants free places and returns the sources that got one.
  //
  // Answers more calls than places from many routers at the same moment: the
  // most urgent call that can still be on time comes first, by turns of the
  // workspaces and then the earliest; late calls get what is left. No server
  // has more calls than places.
  std::set<Source> Grant(Time now);

  // Returns all grants of `source` whose calls it does not list as running yet.
  std::vector<PlaceUse> GrantsOf(const Source& source) const;

  // Returns how many calls come before each call of `source` that waits.
  std::vector<PlaceWait> WaitsOf(const Source& source, Time now) const;

  // Returns the sequence of the last demand of `source`; 0 without one.
  std::int64_t SequenceOf(const Source& source) const;

  // Forgets the routers that have been silent for longer than
  // `kDemandLifetime`.
  void Expire(Time now);

  // Returns the numbers of waiting, and of running and granted calls.
  std::size_t waiting() const;
  std::size_t in_use() const;
  bool empty() const { return sources_.empty(); }

 private:
  struct Waiting {
    PlaceAsk ask;
    Time since;
    Time useful_until;
  };
  struct State {
    Incarnation incarnation = 0;
    std::int64_t sequence = 0;
    Time received;
    std::map<std::int64_t, Waiting> waiting;   // By id.
    std::map<std::int64_t, PlaceUse> granted;  // By id; not running yet.
    std::map<std::int64_t, PlaceUse> running;  // By id.
  };
  // A call that waits, by its source and id.
  using CallKey = std::pair<Source, std::int64_t>;
  // The calls that are granted or run.
  struct CallCounts {
    std::map<ServerHash, int> by_server;
    std::map<WorkspaceId, double> by_workspace;  // And served lately.
  };

  // Returns the waiting calls in the order in which they get places.
  std::vector<CallKey> OrderWaiting(const CallCounts& counts, Time now) const;
  CallCounts CountCalls(Time now) const;

  std::map<Source, State> sources_;
  RecentService recent_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PLACES_PLACE_QUEUE_H_
