#ifndef AMARANTHCOVE_SRC_ROUTER_FLEET_H_
#define AMARANTHCOVE_SRC_ROUTER_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/agent_link/agent_links.h"
#include "amaranthcove/backend_choice/backend_choice.h"
#include "amaranthcove/backends/backend_directory.h"
#include "amaranthcove/backends/backend_health.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/relay/request_facts.h"
#include "amaranthcove/retry_budget/retry_budget.h"
#include "amaranthcove/routing/route_table.h"

namespace amaranthcove {

// A server that was chosen for a request.
struct Placement {
  BackendServer server;
  // For generations, where the adapter is; kResident for plain calls.
  AdapterPlace place = AdapterPlace::kResident;
  double expected_delay_ms = 0;
  std::size_t candidates = 0;
  // For generations, the engine's load as its agent said, plus the sends since
  // then, and the age of that word; -1 if the agent is silent.
  int running = 0;
  int queued = 0;
  double slowness = 1;
  std::int64_t view_age_ms = -1;
};

// What a router believes about configuration, backend servers and engines, and
// what it does there at present.
//
// Thread safety: none.
class Fleet {
 public:
  struct Options {
    std::string data_centre;
    std::uint16_t agent_port = 0;
    RetryBudgetLimits retry_budget;
  };

  Fleet(const Options& options, AgentLinks& links)
      : options_(options), links_(links) {}

  // Takes a configuration. Returns false if it is not newer than the present.
  bool SetConfig(RoutingConfig config);
  bool has_config() const { return table_.has_value(); }
  const RouteTable& table() const { return *table_; }

  // The version of the configuration; 0 without any.
  std::int64_t config_version() const {
    return table_ ? table_->config().version : 0;
  }

  // The store has confirmed at `now` that no newer configuration exists.
  void ConfirmConfig(Time now) { config_confirmed_ = now; }
  Duration ConfigAge(Time now) const { return now - config_confirmed_; }

  BackendDirectory& directory() { return directory_; }
  const BackendDirectory& directory() const { return directory_; }

  // Follows changes of the directory or the configuration.
  void UpdateEndpoints();

  // Takes a declared version of an adapter; older ones are ignored.
  void DeclareVersion(const AdapterName& adapter, std::int64_t version);
  // The least version that may serve the adapter; 0 if none was declared.
  std::int64_t LeastVersion(const AdapterName& adapter) const;

  // Chooses an engine for a generation. Precondition: a configuration is known.
  std::optional<Placement> PlaceGeneration(std::string_view service,
                                           const RequestFacts& facts,
                                           const std::set<std::string>& tried,
                                           Time now) const;

  // Chooses a server for a plain call.
  std::optional<Placement> PlacePlain(std::string_view service,
                                      const std::set<std::string>& tried,
                                      std::uint64_t random,
                                      Time now) const;

  // Whether `engine` holds the adapter of `facts` in a version that serves; its
  // version is stored in `version`. True for the base model itself.
  bool IsAdapterReady(std::string_view engine,
                      const RequestFacts& facts,
                      Time now,
                      std::optional<std::int64_t>& version) const;

  // Whether the server may still get work.
  bool IsServing(const BackendServer& server) const;

  // Counts a request that begins to wait for an adapter at a server.
  void BeginWait(const std::string& server, Time now);

  // Counts a send to a server and its end.
  void BeginSend(const std::string& server, Time now);
  void EndSend(const std::string& server);
  void RecordServerResult(const std::string& server,
                          BackendResult result,
                          Time now);

  void AddRequest(const std::string& service, Time now);
  bool TrySpendRetry(const std::string& service, Time now);

  AgentLinks& links() { return links_; }
  const std::map<std::string, BackendHealth, std::less<>>& health() const {
    return health_;
  }

 private:
  struct Activity {
    int in_flight = 0;
    std::vector<Time> recent_sends;  // Since the last view of the engine.
    std::vector<Time> recent_waits;
  };

  RetryBudget& BudgetOf(const std::string& service);
  // Between the events of a run at an engine; 0 if not known. Milliseconds.
  double IntervalMs(const BackendServer& server, Time now) const;
  EngineCandidate MakeCandidate(const BackendServer& server,
                                const RequestFacts& facts,
                                const std::set<std::string>& tried,
                                Time now) const;

  const Options options_;
  AgentLinks& links_;
  std::optional<RouteTable> table_;
  Time config_confirmed_;
  BackendDirectory directory_;
  std::map<AdapterName, std::int64_t> versions_;
  std::map<std::string, BackendHealth, std::less<>> health_;
  std::map<std::string, Activity, std::less<>> activity_;
  std::map<std::string, RetryBudget, std::less<>> budgets_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_FLEET_H_
