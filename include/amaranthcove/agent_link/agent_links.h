#ifndef AMARANTHCOVE_AGENT_LINK_AGENT_LINKS_H_
#define AMARANTHCOVE_AGENT_LINK_AGENT_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "amaranthcove/agent_link/datagram.h"
#include "amaranthcove/base/address.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Names an adapter: its model and its own name.
using AdapterName = std::pair<std::string, std::string>;

// What the agent beside an engine has last told.
struct EngineView {
  Time received;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  std::vector<std::string> models;
  std::map<AdapterName, std::int64_t> resident;  // Versions.
  std::map<AdapterName, std::int64_t> loading;
  int running = 0;
  int queued = 0;
  int free_places = 0;
  int routers = 0;
  int load_wait_ms = 0;
  // Between the events of a run while no prompt waits; 0 if not known.
  int event_interval_ms = 0;
  bool reachable = true;
};

// A request that waits for an adapter.
struct WaitingRequest {
  int priority = 0;   // 0 is the most urgent.
  Time useful_until;  // A load that begins later makes the request late.

  bool operator==(const WaitingRequest&) const = default;
};

// The rank of a request among those that wait; 0 is first. Thread-safe.
int WaitingRank(const WaitingRequest& request, Time now);

// An engine whose agent a router talks to.
struct AgentEndpoint {
  std::string engine;  // Id of the engine.
  Address agent;
  agent_wire::AdapterDemand facts;  // Room and models; the rest is filled in.
  // Start of the engine as the instance list says; statuses of another start
  // at the same address are not about this engine.
  std::int64_t started_at_ms = 0;
};

// A router's side of the datagrams to the agents beside engines: what it needs
// there, and what it knows of them.
//
// Each datagram holds the whole demand, with the uses that ended since the last
// one. It is sent at once when a request begins to wait for an adapter, soon
// when one begins to use it, and repeated while there is something to tell.
//
// Thread safety: none.
class AgentLinks {
 public:
  using Send = std::function<void(const Address& agent, std::string_view)>;

  // A view older than this says nothing about the engine any more.
  static constexpr Duration kViewLifetime = std::chrono::milliseconds(1500);

  AgentLinks(std::string router, Incarnation incarnation, Send send)
      : router_(std::move(router)),
        incarnation_(incarnation),
        send_(std::move(send)) {}

  // Replaces the engines. What is known of engines that stay is kept; uses are
  // kept until they end, because their engine may come back meanwhile.
  void SetEndpoints(std::vector<AgentEndpoint> endpoints);

  // Takes a datagram. Returns the id of the engine whose view is new, if any.
  // Datagrams of unknown senders and those overtaken by newer ones are dropped.
  std::optional<std::string> Receive(const Address& sender,
                                     std::string_view bytes,
                                     Time now);

  // The view of an engine, or null if there is none that is recent.
  const EngineView* View(std::string_view engine, Time now) const;

  // Counts requests that wait for an adapter, or use it, at an engine. Loads
  // for requests that can still be on time come before those of the same
  // priority that cannot.
  void AddWaiting(std::string_view engine,
                  const AdapterName& adapter,
                  std::int64_t version,
                  const WaitingRequest& request,
                  Time now);
  void RemoveWaiting(std::string_view engine,
                     const AdapterName& adapter,
                     const WaitingRequest& request);
  void AddRunning(std::string_view engine,
                  const AdapterName& adapter,
                  Time now);
  void RemoveRunning(std::string_view engine, const AdapterName& adapter);

  // The engine has refused a request for an adapter that its view lists.
  void MarkAbsent(std::string_view engine, const AdapterName& adapter);

  // Sends the demands that are due.
  void Tick(Time now);

  // The number of routers that the agents know, at least 1.
  std::size_t router_count(Time now) const;

 private:
  struct Use {
    std::vector<WaitingRequest> waiting;
    int running = 0;
    std::int64_t version = 0;
  };
  using Uses = std::map<AdapterName, Use>;
  struct Link {
    AgentEndpoint endpoint;
    std::optional<EngineView> view;
    Time next_send;
  };

  Link* Find(std::string_view engine);
  Use* FindUse(std::string_view engine, const AdapterName& adapter);
  Use& UseOf(std::string_view engine, const AdapterName& adapter);
  // Sends the demand of `engine` no later than `at`.
  void SendBy(std::string_view engine, Time at);
  void SendDemand(const std::string& engine, Link& link, Time now);

  const std::string router_;
  const Incarnation incarnation_;
  const Send send_;
  std::map<std::string, Link, std::less<>> links_;
  std::map<std::string, Uses, std::less<>> uses_;  // By engine.
  // One for all agents: an agent outlives the starts of its engine.
  std::int64_t sequence_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_AGENT_LINK_AGENT_LINKS_H_
