#ifndef AMARANTHCOVE_QUOTA_QUOTA_LEDGER_H_
#define AMARANTHCOVE_QUOTA_QUOTA_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/workspaces/workspace.h"

namespace amaranthcove {

// What a router tells the ledgers of a workspace. Amounts are totals since the
// start of the router, so that the next report makes up for a lost one.
struct QuotaReport {
  WorkspaceId workspace = 0;
  QuotaLimits limits;
  std::int64_t limits_version = 0;  // Of the configuration.
  double use = 0;                   // May fall: what did not run is given back.
  double asked = 0;
  // The level that the router believes in, by which a new ledger starts.
  std::optional<double> level;
};

// What a ledger tells a router about a workspace.
struct LedgerView {
  WorkspaceId workspace = 0;
  double level = 0;
  double asked_per_s = 0;
  double own_asked_per_s = 0;
  double counted_use = 0;
};

// The use of quotas by all routers, as they report it: a token bucket for each
// workspace.
//
// Thread safety: none.
class QuotaLedger {
 public:
  // A ledger of a workspace is silent for this time after its first report, in
  // which all routers report to it.
  static constexpr Duration kWarmUp = std::chrono::milliseconds(600);

  // Takes in the reports of `router`, whose process is `incarnation`.
  void Put(const Address& router,
           Incarnation incarnation,
           std::span<const QuotaReport> reports,
           Time now);

  // Returns what `router` has to know of the workspaces that it has reported.
  std::vector<LedgerView> ViewsFor(const Address& router, Time now) const;

  // Returns whether a workspace is so near its limit that routers have to be
  // told often.
  bool IsNearLimit(Time now) const;

  // Forgets routers and workspaces that have not been reported for a long time.
  void Expire(Time now);

  std::size_t size() const { return workspaces_.size(); }

 private:
  struct Reporter {
    Incarnation incarnation = 0;
    double use = 0;
    double asked = 0;
    Time reported;
    // Moving average, and what it is based on.
    double asked_per_s = 0;
    double averaged_asked = 0;
    Time averaged;
  };
  struct Account {
    Time created;
    QuotaLimits limits;
    std::int64_t limits_version = 0;
    double level = 0;
    bool level_is_known = false;
    Time refilled;
    std::map<Address, Reporter> reporters;
  };

  static void PutReport(Account& account,
                        const Address& router,
                        Incarnation incarnation,
                        const QuotaReport& report,
                        Time now);
  // Returns the share of the quota that routers may use which have fallen
  // silent: they may be cut off from the ledger and serve callers.
  static double ReservedShare(const Account& account, Time now);
  // Returns the level at `now`.
  static double Level(const Account& account, Time now);
  static double AskedPerSecond(const Account& account, Time now);

  std::map<WorkspaceId, Account> workspaces_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_QUOTA_QUOTA_LEDGER_H_
