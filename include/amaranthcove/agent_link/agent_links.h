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
#include "amaranthcove/fair_share/fair_order.h"
#include "amaranthcove/quota/quota_ledger.h"
#include "amaranthcove/suspects/crash_table.h"

namespace amaranthcove {

// Identifies an adapter by the name of its model and its own name.
using AdapterName = std::pair<std::string, std::string>;

// The state of an engine in the last status from its agent.
struct EngineSnapshot {
  Time received;                 // When the status was received.
  std::int64_t incarnation = 0;  // Incarnation of the agent.
  std::int64_t sequence = 0;
  std::vector<std::string> models;
  std::map<AdapterName, std::int64_t> resident;  // Adapters and versions.
  std::map<AdapterName, std::int64_t> loading;   // Adapters and versions.
  int running = 0;
  int queued = 0;
  int free_places = 0;
  int routers = 0;
  int load_wait_ms = 0;
  // Mean time between the events of a run while no prompt waits; 0 if unknown.
  int event_interval_ms = 0;
  bool reachable = true;
  // The requests of other routers at the engine, and the tokens of their
  // prompts that it has not read yet; as of `load_received`.
  int other_requests = 0;
  int other_waiting_prompts = 0;
  int other_waiting_for_loads = 0;
  double other_arrivals_per_s = 0;
  std::int64_t other_prompt_tokens = 0;
  std::int64_t other_unread_tokens = 0;  // Without those that wait.
  // Whether the agent limits the prompts that the engine reads at a time.
  bool limits_prompts = false;
  std::int64_t load_sequence = 0;
  // No value if the agent does not report the load.
  std::optional<Time> load_received;
};

// A request that waits for an adapter.
struct WaitingRequest {
  int priority = 0;   // 0 is the most urgent.
  Time useful_until;  // The request is late if the load begins after this time.
  FairShare share{};

  bool operator==(const WaitingRequest&) const = default;
};

// Returns the rank of a waiting request; 0 is served first. Late requests rank
// after other requests of the same priority. Thread-safe.
int WaitingRank(const WaitingRequest& request, Time now);

// An engine and the address of its agent.
struct AgentEndpoint {
  std::string engine;  // Id of the engine.
  Address agent;
  // The capacity and models of the engine; `AgentLinks` sets the other fields.
  agent_wire::AdapterDemand demand_template;
  // Start time of the engine in the instance list, or 0 if unknown. Statuses
  // with another start time belong to another engine at the same address.
  std::int64_t started_at_ms = 0;
};

// A router's end of the datagram exchange with the agents of engines. Sends the
// router's demand for adapters to the agents and stores their last statuses.
//
// Each datagram contains the complete demand for one engine, including the uses
// that ended since the last datagram. It becomes due immediately when a request
// begins to wait for an adapter, after a short delay when a request begins to
// use one, and periodically otherwise. `Tick` sends the datagrams that are due.
//
// Not thread-safe.
class AgentLinks {
 public:
  // Sends a datagram to an agent.
  using Send = std::function<void(const Address& agent, std::string_view)>;

  // Snapshots that are older than this are not used.
  static constexpr Duration kSnapshotLifetime = std::chrono::milliseconds(1500);

  AgentLinks(std::string router, Incarnation incarnation, Send send)
      : router_(std::move(router)),
        incarnation_(incarnation),
        send_(std::move(send)) {}

  // Replaces the engines. Snapshots of unchanged engines are kept. Uses at
  // removed engines are kept until they end, because the engine may be added
  // again before that.
  void SetEndpoints(std::vector<AgentEndpoint> endpoints);

  // What a datagram has changed.
  struct Update {
    // The engine whose snapshot was updated by a status, if any.
    std::optional<std::string> engine;
    // Prompts that may be sent now.
    std::vector<std::int64_t> admitted;
    // Crashes that the agent reports, with their times on the local clock.
    std::vector<ServerCrash> crashes;
    // What the agent's ledger of quotas tells, if the sender is known.
    std::optional<agent_wire::QuotaViews> quotas;
    // The places that the agent has granted.
    std::optional<agent_wire::PlaceGrants> places;
  };

  // Processes a datagram from `sender`. Drops malformed datagrams, those of
  // unknown senders, and those that are not newer than the current snapshot of
  // the same incarnation of the agent.
  Update Receive(const Address& sender, std::string_view bytes, Time now);

  // Returns the snapshot of an engine, or null if there is no recent snapshot.
  // The pointer is valid until the next call that changes this object.
  const EngineSnapshot* Snapshot(std::string_view engine, Time now) const;

  // Returns whether the engine holds `adapter` or has held it since its start,
  // as far as known. An engine keeps copies of the adapters that it held last
  // and loads them from there, without the weight store.
  bool HasHeld(std::string_view engine, const AdapterName& adapter) const;

  // Add and remove requests that wait for an adapter or use it at an engine.
  // `version` is the lowest version that serves the request. The agent loads
  // adapters in the order of `WaitingRank`.
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

  // Add and remove a prompt that the engine has to read: from the send until
  // the first event.
  void AddPrompt(std::string_view engine, std::int64_t tokens, Time now);
  void RemovePrompt(std::string_view engine, std::int64_t tokens, Time now);
  // Asks the agent of `engine` to admit a prompt of a request that has `waited`
  // before, also for other engines. Returns the id by which `Update` names it.
  // The agent counts the prompt as sent once it is admitted, until a demand
  // shows otherwise.
  std::int64_t AskAdmission(std::string_view engine,
                            std::int64_t tokens,
                            const WaitingRequest& request,
                            Duration waited,
                            Time now);
  // Withdraws a prompt that was not admitted, or that is sent now.
  void WithdrawPrompt(std::string_view engine, std::int64_t id, Time now);

  // The prompt tokens that an engine may read in each period of `gap` without
  // making its streams late; 0 if there is no limit.
  struct PromptWindow {
    std::int64_t tokens = 0;
    Duration gap = Duration::zero();
  };
  void SetPromptWindow(std::string_view engine, const PromptWindow& window);

  // Counts a pause of a stream at the engine that prompts may have caused. The
  // agent is told with the next demand.
  void AddLongPause(std::string_view engine, bool is_late);

  // Sets whether this router has lately seen late pauses at the engines of the
  // service of `engine`. The agent is told at once of a change.
  void SetLatePauses(std::string_view engine, bool has_late_pauses, Time now);

  // Returns the numbers of this router's requests that wait for admission, and
  // for a load of an adapter.
  int waiting_prompts(std::string_view engine) const;
  int waiting_for_loads(std::string_view engine) const;
  // Returns the tokens of this router's prompts that the engine has to read,
  // with those that wait for admission.
  std::int64_t prompt_tokens(std::string_view engine) const;
  // Likewise, without those that wait for admission.
  std::int64_t unread_tokens(std::string_view engine) const;

  // Tells the agent of `engine` soon that a request has ended, if others may
  // wait for its place. Otherwise the agent learns it with the next demand.
  void ReportEnd(std::string_view engine, Time now);

  // Tells the agent of `engine` at once that the engine had not completed its
  // answer to a request when its connection broke.
  void ReportLost(std::string_view engine, LostRequest request, Time now);

  // Tells one of the agents at once that a request was lost in the crash `id`
  // of a plain server, which has no agent of its own. It tells all routers.
  void ReportPlainCrash(std::uint64_t id, LostRequest request, Time now);

  // Tells an agent at once that a part, which the agent has reported with a
  // crash, has not crashed the server that answers it.
  void ReportSound(const ClearedPart& cleared, Time now);

  // Removes `adapter` from the snapshot of `engine`. To be called when the
  // engine refuses a request for an adapter that its snapshot contains.
  void MarkAbsent(std::string_view engine, const AdapterName& adapter);

  // Sets where the reports on quotas to an agent come from.
  using QuotaReporter =
      std::function<std::vector<QuotaReport>(const Address& agent, Time now)>;
  void SetQuotaReporter(QuotaReporter reporter) {
    quota_reporter_ = std::move(reporter);
  }

  // Makes the demands to `agent` due at once.
  void ReportQuotas(const Address& agent, Time now);

  // Returns the agents that have sent a recent status.
  std::vector<Address> AnsweringAgents(Time now) const;

  // Sends the demands that are due at `now`.
  void Tick(Time now);

  // Returns the highest number of routers in a recent status, at least 1.
  std::size_t router_count(Time now) const;

 private:
  struct Use {
    std::vector<WaitingRequest> waiting;
    int running = 0;
    std::int64_t version = 0;  // The lowest version that serves all requests.
  };
  struct AskedPrompt {
    std::int64_t tokens = 0;
    WaitingRequest request;
    Time since;  // When it began to wait, here or at another engine.
  };
  struct Prompts {
    std::int64_t tokens = 0;       // Sent and not read.
    std::int64_t sent_tokens = 0;  // Total since the start.
    std::int64_t sent_requests = 0;
    std::int64_t long_pauses = 0;  // Totals since the start.
    std::int64_t late_pauses = 0;
    std::map<std::int64_t, AskedPrompt> asked;  // By id.
  };
  using Uses = std::map<AdapterName, Use>;
  // What an agent is told in each demand until `expires`, because a datagram
  // may be lost.
  struct LostReport {
    LostRequest request;
    Time expires;
  };
  struct PlainCrashReport {
    std::uint64_t id = 0;
    LostRequest request;
    Time expires;
  };
  struct SoundReport {
    PartId part = 0;
    Time expires;
  };
  struct Link {
    AgentEndpoint endpoint;
    std::optional<EngineSnapshot> snapshot;
    // Hashes of the adapters that the engine held last; the latest is last.
    std::vector<std::uint64_t> held;
    Time next_send;
    PromptWindow window;
    bool has_late_pauses = false;
    std::vector<LostReport> lost;
    std::vector<PlainCrashReport> plain_crashes;
    std::vector<SoundReport> sound;
  };

  Link* FindLink(std::string_view engine);
  Use* FindUse(std::string_view engine, const AdapterName& adapter);
  Use& GetOrAddUse(std::string_view engine, const AdapterName& adapter);
  // Makes the demand for `engine` due no later than `at`.
  void ScheduleSend(std::string_view engine, Time at);
  // Adds the reports on crashes to `demand` and drops those that have expired.
  // Returns whether there are any.
  static bool AddReportsTo(agent_wire::AdapterDemand& demand,
                           Link& link,
                           Time now);
  void AddPromptsTo(agent_wire::AdapterDemand& demand,
                    const std::string& engine,
                    Time now) const;
  void SendDemand(const std::string& engine, Link& link, Time now);

  const std::string router_;
  const Incarnation incarnation_;
  const Send send_;
  QuotaReporter quota_reporter_;
  std::map<std::string, Link, std::less<>> links_;
  std::map<std::string, Uses, std::less<>> uses_;        // By engine.
  std::map<std::string, Prompts, std::less<>> prompts_;  // By engine.
  std::int64_t last_prompt_id_ = 0;
  // Shared by all engines, because an agent outlives a restart of its engine
  // and would reject a sequence that starts anew.
  std::int64_t sequence_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_AGENT_LINK_AGENT_LINKS_H_
