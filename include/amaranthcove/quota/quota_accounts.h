#ifndef AMARANTHCOVE_QUOTA_QUOTA_ACCOUNTS_H_
#define AMARANTHCOVE_QUOTA_QUOTA_ACCOUNTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/quota/quota_decision.h"
#include "amaranthcove/quota/quota_ledger.h"

namespace amaranthcove {

// By how much the use of a quota may exceed it in any window, for every
// workspace.
struct QuotaSlack {
  double overshoot = 0;  // Share of the limits.
  double tolerance = 0;  // In what the quota counts, on top of it.
};

// Returns the limits by which requests are admitted: half of the slack is given
// to callers, and half is kept for what instances do not know of each other
// yet. Thread-safe.
QuotaLimits WithSlack(const QuotaLimits& limits, const QuotaSlack& slack);

// A router's part in the quotas of workspaces: admits requests, reports its use
// to the ledgers, and keeps what they tell.
//
// Thread safety: none.
class QuotaAccounts {
 public:
  // An older view is not used.
  static constexpr Duration kViewLifetime = std::chrono::milliseconds(700);

  // What a router has done for one workspace.
  struct Counters {
    std::uint64_t admitted = 0;
    std::uint64_t limited = 0;
    std::uint64_t given_back = 0;
  };

  explicit QuotaAccounts(const QuotaSlack& slack = {}) : slack_(slack) {}

  // Replaces the workspaces by those of the configuration `version`. The
  // accounts of workspaces that remain are kept.
  void SetWorkspaces(std::span<const Workspace> workspaces,
                     std::int64_t version);

  // Sets the agents that can keep ledgers, in any order.
  void SetAgents(std::vector<Address> agents);

  // Decides on a request for `cost`, and counts it if it is admitted. `random`
  // is uniformly distributed from 0 to 1; `instances` is the known number of
  // routers. Requests of unknown workspaces are admitted.
  QuotaDecision Take(std::string_view workspace,
                     double cost,
                     std::size_t instances,
                     double random,
                     Time now);

  // Gives back the cost of a request that was admitted and has not run. Returns
  // whether its workspace has a quota.
  bool GiveBack(std::string_view workspace, double cost);

  // Returns the agents that have to be told soon, because much was used since
  // the last report. Each is returned once for each such use.
  std::vector<Address> TakeUrgentReports(std::size_t instances, Time now);

  // Returns the reports to `agent`, which are sent at `now`.
  std::vector<QuotaReport> ReportsFor(const Address& agent, Time now) const;

  // Takes in the views of `agent`. Ignores those that are not newer than the
  // last ones of the same incarnation of the agent.
  void OnViews(const Address& agent,
               Incarnation incarnation,
               std::int64_t sequence,
               std::span<const LedgerView> views,
               Time now);

  // What operators see of a workspace.
  struct Summary {
    std::string workspace;
    Counters counters;
    QuotaLimits limits;
    double use = 0;
    double level = 0;        // By the last view; 0 without one.
    Duration view_age = {};  // Negative without a view.
  };
  std::vector<Summary> Summaries(Time now) const;

 private:
  struct Account {
    WorkspaceId id = 0;
    QuotaLimits configured;
    QuotaLimits limits;  // With the slack.
    double use = 0;
    double asked = 0;
    QuotaPart part;
    // The agents that keep the ledger, the preferred one first.
    std::vector<Address> ledgers;
    std::map<Address, QuotaView> views;  // By agent.
    double asked_at_urgent_report = 0;
    Time urgent_report;
    Counters counters;
  };
  struct AgentSequence {
    Incarnation incarnation = 0;
    std::int64_t sequence = 0;
  };

  void ChooseLedgers(Account& account) const;
  // Returns the view to use, or null if there is no recent one.
  static const QuotaView* CurrentView(const Account& account, Time now);

  QuotaSlack slack_;
  std::map<std::string, Account, std::less<>> accounts_;
  std::int64_t version_ = 0;
  std::vector<Address> agents_;  // Sorted.
  std::map<Address, AgentSequence> sequences_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_QUOTA_QUOTA_ACCOUNTS_H_
