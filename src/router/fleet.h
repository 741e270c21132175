#ifndef AMARANTHCOVE_SRC_ROUTER_FLEET_H_
#define AMARANTHCOVE_SRC_ROUTER_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/agent_link/agent_links.h"
#include "amaranthcove/backend_choice/backend_choice.h"
#include "amaranthcove/backends/backend_directory.h"
#include "amaranthcove/backends/backend_health.h"
#include "amaranthcove/backends/backend_pause.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/engine_cost/engine_cost.h"
#include "amaranthcove/engine_cost/pace_estimator.h"
#include "amaranthcove/engine_cost/pause_monitor.h"
#include "amaranthcove/node/node_settings.h"
#include "amaranthcove/places/place_client.h"
#include "amaranthcove/relay/request_info.h"
#include "amaranthcove/retry_budget/retry_budget.h"
#include "amaranthcove/routing/route_table.h"

namespace amaranthcove {

// The server chosen for a request, and the inputs of the choice for the log.
struct Placement {
  BackendServer server;
  // State of the adapter at the engine; kResident for plain calls.
  AdapterPlace place = AdapterPlace::kResident;
  double expected_delay_ms = 0;
  std::size_t candidates = 0;
  // For generations, the engine's load according to the last status of its
  // agent. `running` includes the estimated sends since that status.
  int running = 0;
  int queued = 0;
  double slowness = 1;
  EnginePace pace;  // Of the service.
  // Age of the status; -1 without a recent status.
  std::int64_t view_age_ms = -1;
};

// The state that a router chooses servers by: the configuration, the backend
// servers, the status of the engines, and the router's own requests at them.
//
// Thread safety: none.
class Fleet {
 public:
  struct Options {
    std::string data_centre;
    std::uint16_t agent_port = 0;
    RetryBudgetLimits retry_budget;
    SharedPlaces shared_places = SharedPlaces::kOff;
    Incarnation incarnation = 0;
  };

  // `links` must outlive this object.
  Fleet(const Options& options, AgentLinks& links)
      : options_(options), links_(links), places_(options.incarnation) {}

  // Applies a configuration. Returns false, and changes nothing, unless its
  // version is higher than the current one.
  bool SetConfig(RoutingConfig config);
  bool has_config() const { return table_.has_value(); }
  // Precondition: `has_config()`.
  const RouteTable& table() const { return *table_; }

  // Returns the version of the current configuration; 0 if there is none.
  std::int64_t config_version() const {
    return table_ ? table_->config().version : 0;
  }

  // Records that the store had no newer configuration at `now`.
  void ConfirmConfig(Time now) { config_confirmed_ = now; }
  // Returns the time since the last confirmation.
  Duration ConfigAge(Time now) const { return now - config_confirmed_; }

  // Records that the list of backend servers was current at `now`.
  void ConfirmBackends(Time now) { backends_confirmed_ = now; }
  // Returns the time since the last confirmation.
  Duration BackendsAge(Time now) const { return now - backends_confirmed_; }

  BackendDirectory& directory() { return directory_; }
  const BackendDirectory& directory() const { return directory_; }

  // Updates the agent endpoints and drops the health of servers that are gone.
  // The record of this router's requests at a server is kept while one of them
  // is in flight. Call after each change of the directory.
  void UpdateEndpoints();

  // Records a declared version of an adapter. Versions lower than an earlier
  // one are ignored.
  void DeclareVersion(const AdapterName& adapter, std::int64_t version);
  // Returns the lowest version that may serve the adapter; 0 if none was
  // declared.
  std::int64_t MinVersion(const AdapterName& adapter) const;

  // Returns the version of the adapter of `info` that an engine without a
  // recent status has to state, so that it does not serve an older one; nullopt
  // if no version was declared. The engine refuses other versions as not run.
  std::optional<std::int64_t> RequiredVersion(const RequestInfo& info) const;

  // Chooses an engine for a generation, with servers in `tried` as a last
  // resort. Returns nullopt if no server of `service` takes work.
  std::optional<Placement> PlaceGeneration(std::string_view service,
                                           const RequestInfo& info,
                                           const RequestGoal& goal,
                                           const std::set<std::string>& tried,
                                           Time now) const;

  // Returns whether the agent of the chosen engine should admit the prompt
  // before it is sent.
  bool NeedsAdmission(const Placement& placement,
                      const RequestInfo& info,
                      const RequestGoal& goal,
                      Time now) const;

  // Records the time from a send to the first event of a generation, before
  // which the engine had to read `tokens` prompt tokens.
  void RecordFirstEvent(const Placement& placement,
                        std::int64_t tokens,
                        Duration first_event,
                        Time now);

  // Records the time from a send to the end of a complete stream.
  void RecordRequestTime(const Placement& placement, Duration taken, Time now);

  // Records a pause between two events of a stream at `engine`, whose longest
  // pause should be `limit`.
  void RecordPause(const BackendServer& engine,
                   Duration pause,
                   Duration limit,
                   Time now);

  // Returns the prompt tokens that were sent to an engine and are not read yet,
  // or nullopt if its agent does not report them.
  std::optional<std::int64_t> UnreadTokens(std::string_view engine,
                                           Time now) const;

  // What is known about the engines of a service.
  struct ServiceEstimate {
    EnginePace pace;
    std::optional<Time> updated;  // No value if `pace` is the prior.
  };
  ServiceEstimate EstimateOf(const std::string& service) const;

  // Chooses a server for a plain call. `random` breaks ties between servers.
  // Returns nullopt if no server of `service` takes work.
  std::optional<Placement> PlacePlain(std::string_view service,
                                      const std::set<std::string>& tried,
                                      std::uint64_t random,
                                      Time now) const;

  // Returns the servers of a plain service that a call may use, in the order of
  // preference. Empty if no server takes work.
  std::vector<PlaceOption> PlainOptions(std::string_view service,
                                        const std::set<std::string>& tried,
                                        Time now) const;

  // Returns the placement at the server with the hash `server`, or nullopt if
  // it does not take work for `service`.
  std::optional<Placement> PlaceAt(std::string_view service,
                                   ServerHash server,
                                   Time now) const;

  // Returns whether calls to a plain service ask for places of its servers.
  bool SharesPlaces(std::string_view service, Time now) const;
  PlaceClient& places() { return places_; }

  // Records the time from the send of a plain call to its complete answer.
  void RecordServiceTime(const std::string& service, Duration taken);
  // Returns the mean of these times; zero if there are none.
  Duration ServiceTime(std::string_view service) const;

  // Returns whether `engine` holds the adapter of `info` in a version that may
  // serve, and stores a positive version in `version`. Returns true for
  // requests of the base model itself.
  bool IsAdapterReady(std::string_view engine,
                      const RequestInfo& info,
                      Time now,
                      std::optional<std::int64_t>& version) const;

  // Returns whether this start of the server is listed and is not leaving.
  bool IsServing(const BackendServer& server) const;
  // Likewise, and whether the server wants requests at present.
  bool TakesWork(const BackendServer& server, Time now) const;

  // Records that a server wants nothing for some time. `random` is from 0 to 1.
  void PauseServer(const BackendServer& server,
                   Duration asked,
                   double random,
                   Time now);
  // Returns when the first server of `service` wants requests again, if none
  // takes work now and some wait for the end of a pause.
  std::optional<Duration> ShortestPause(std::string_view service,
                                        Time now) const;

  // Counts a request that starts to wait for an adapter at a server.
  void BeginWait(const std::string& server, Time now);

  // Counts the start and the end of a send to a server.
  void BeginSend(const std::string& server, Time now);
  void EndSend(const std::string& server);
  // Updates the health of a server with the result of a send.
  void RecordServerResult(const std::string& server,
                          BackendResult result,
                          Time now);

  // Adds a caller's request to the retry budget of `service`.
  void AddRequest(const std::string& service, Time now);
  // Returns whether the retry budget of `service` allows another send, and
  // counts the send if so.
  bool TrySpendRetry(const std::string& service, Time now);

  AgentLinks& links() { return links_; }
  const std::map<std::string, BackendHealth, std::less<>>& health() const {
    return health_;
  }

 private:
  struct Activity {
    int in_flight = 0;
    // Start times. Only those since the engine's last status are counted.
    std::vector<Time> recent_sends;
    std::vector<Time> recent_waits;
  };

  RetryBudget& BudgetOf(const std::string& service);
  Duration PauseOf(const BackendServer& server, Time now) const;
  // Returns the servers of `service` that take work now.
  std::vector<const BackendServer*> ServersTakingWork(std::string_view service,
                                                      Time now) const;
  // Returns the time between two events of a running generation at an engine,
  // in milliseconds; 0 if unknown.
  double EventIntervalMs(const BackendServer& server, Time now) const;
  std::vector<PlainCandidate> PlainCandidates(
      std::span<const BackendServer* const> servers,
      const std::set<std::string>& tried,
      std::uint64_t random,
      Time now) const;
  EngineCandidate MakeCandidate(const BackendServer& server,
                                const RequestInfo& info,
                                const EnginePace& pace,
                                const std::set<std::string>& tried,
                                Time now) const;

  const Options options_;
  AgentLinks& links_;
  PlaceClient places_;
  std::optional<RouteTable> table_;
  Time config_confirmed_;
  Time backends_confirmed_;
  BackendDirectory directory_;
  std::map<AdapterName, std::int64_t> versions_;
  std::map<std::string, BackendHealth, std::less<>> health_;
  std::map<std::string, BackendPause, std::less<>> pauses_;
  std::map<std::string, Activity, std::less<>> activity_;
  std::map<std::string, RetryBudget, std::less<>> budgets_;
  // Moving averages for plain services.
  std::map<std::string, Duration, std::less<>> service_times_;
  std::map<std::string, PauseMonitor, std::less<>> late_pauses_;  // By service.
  std::map<std::string, PaceEstimator, std::less<>> paces_;       // By service.
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_FLEET_H_
