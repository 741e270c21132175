#include "amaranthcove/quota/quota_accounts.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

const Time kStart = Time(std::chrono::hours(1));

constexpr Duration kStep = milliseconds(10);
constexpr Duration kDelay = milliseconds(4);  // Of a datagram.
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kCalmViewInterval = milliseconds(250);
constexpr Duration kViewInterval = milliseconds(100);  // Near the limit.

// The bound on the use of a workspace in any window.
constexpr double kWindowS = 8;
constexpr double kOvershoot = 1.25;
constexpr double kTolerance = 110'000;
constexpr QuotaSlack kSlack = {kOvershoot - 1, kTolerance};

// The usual short request, and a long one of which a few come.
constexpr double kShortCost = 716;
constexpr double kLongCost = 9'260;
constexpr double kLongShare = 0.02;
constexpr double kMeanCost =
    (1 - kLongShare) * kShortCost + kLongShare * kLongCost;

Workspace MakeWorkspace(std::string name, double rate_per_s) {
  Workspace workspace;
  workspace.name = std::move(name);
  workspace.quota = {rate_per_s, rate_per_s};
  workspace.counts_tokens = true;
  return workspace;
}

Address AddressOf(int number) {
  return {"10.0.0." + std::to_string(number), 7000};
}

// Routers and agents that exchange reports and views over links with a delay,
// without a network. Callers reach routers as unevenly as Zipf's law with an
// exponent of 1.
class QuotaFleet {
 public:
  QuotaFleet(int routers, int agents, std::vector<Workspace> workspaces)
      : workspaces_(std::move(workspaces)) {
    for (int i = 0; i < agents; ++i) {
      agents_.push_back({AddressOf(100 + i), {}, 1, 0, {}});
    }
    for (int i = 0; i < routers; ++i) {
      AddRouter();
    }
    usual_per_s_.assign(workspaces_.size(), 0);
  }

  void AddRouter() {
    routers_.emplace_back();
    Restart(routers_.size() - 1);
    routers_.back().address = AddressOf(static_cast<int>(routers_.size()));
  }

  // Restarts a router, which forgets all.
  void Restart(std::size_t router) {
    routers_[router].accounts = QuotaAccounts(kSlack);
    routers_[router].incarnation = ++last_incarnation_;
    routers_[router].next_report = now_;
    Configure(router);
  }

  void RestartAgent(std::size_t agent) {
    agents_[agent].ledger = {};
    agents_[agent].incarnation = ++last_incarnation_;
  }

  void SetWorkspaces(std::vector<Workspace> workspaces) {
    workspaces_ = std::move(workspaces);
    ++version_;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      Configure(i);
    }
  }

  // Sets whether a router hears nothing from agents, nor they from it.
  void SetDeaf(std::size_t router, bool deaf) { routers_[router].deaf = deaf; }
  void SetLost(std::size_t agent, bool lost) {
    agents_[agent].lost = lost;
    for (Router& router : routers_) {
      router.accounts.SetAgents(LiveAgents());
    }
  }

  void SetUsual(std::size_t workspace, double per_s) {
    usual_per_s_[workspace] = per_s;
  }

  void Run(Duration duration) {
    const Time end = now_ + duration;
    while (now_ < end) {
      now_ += kStep;
      Deliver();
      for (std::size_t workspace = 0; workspace < workspaces_.size();
           ++workspace) {
        AskFor(workspace);
      }
      SendReports();
      SendViews();
    }
  }

  // Returns the highest use of a workspace in a window since the start.
  double HighestUse(const std::string& workspace) const {
    const auto found = used_.find(workspace);
    if (found == used_.end()) {
      return 0;
    }
    double highest = 0;
    double sum = 0;
    std::size_t first = 0;
    const auto& uses = found->second;
    for (std::size_t last = 0; last < uses.size(); ++last) {
      sum += uses[last].cost;
      while (ToSeconds(uses[last].at - uses[first].at) > kWindowS) {
        sum -= uses[first++].cost;
      }
      highest = std::max(highest, sum);
    }
    return highest;
  }

  struct Asked {
    int asked = 0;
    int refused = 0;
  };
  // Returns the requests of a workspace since the last call.
  Asked TakeAsked(const std::string& workspace) {
    return std::exchange(asked_[workspace], {});
  }
  int messages() const { return messages_; }

 private:
  struct Router {
    Address address;
    QuotaAccounts accounts;
    Incarnation incarnation = 0;
    Time next_report = kStart;
    bool deaf = false;
  };
  struct Agent {
    Address address;
    QuotaLedger ledger;
    Incarnation incarnation = 0;
    std::int64_t sequence = 0;
    Time next_views;
    bool lost = false;
  };
  struct Use {
    Time at;
    double cost = 0;
  };

  std::vector<Address> LiveAgents() const {
    std::vector<Address> live;
    for (const Agent& agent : agents_) {
      if (!agent.lost) {
        live.push_back(agent.address);
      }
    }
    return live;
  }

  void Configure(std::size_t router) {
    routers_[router].accounts.SetWorkspaces(workspaces_, version_);
    routers_[router].accounts.SetAgents(LiveAgents());
  }

  std::size_t PickRouter() {
    double total = 0;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      total += 1.0 / static_cast<double>(i + 1);
    }
    double at = uniform_(random_) * total;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      at -= 1.0 / static_cast<double>(i + 1);
      if (at <= 0) {
        return i;
      }
    }
    return routers_.size() - 1;
  }

  void AskFor(std::size_t index) {
    const Workspace& workspace = workspaces_[index];
    const double mean = usual_per_s_[index] / kMeanCost * ToSeconds(kStep);
    const int count = std::poisson_distribution<int>(mean)(random_);
    for (int i = 0; i < count; ++i) {
      const double cost =
          uniform_(random_) < kLongShare ? kLongCost : kShortCost;
      Router& router = routers_[PickRouter()];
      ++asked_[workspace.name].asked;
      const QuotaDecision decision = router.accounts.Take(
          workspace.name, cost, routers_.size(), uniform_(random_), now_);
      if (decision.admitted) {
        used_[workspace.name].push_back({now_, cost});
      } else {
        CHECK(decision.retry_after > Duration::zero());
        ++asked_[workspace.name].refused;
      }
    }
  }

  void Send(std::function<void()> deliver) {
    ++messages_;
    in_flight_.push_back({now_ + kDelay, std::move(deliver)});
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.front().first <= now_) {
      const auto deliver = std::move(in_flight_.front().second);
      in_flight_.pop_front();
      deliver();
    }
  }

  void Report(Router& router, Agent& agent) {
    if (router.deaf || agent.lost) {
      return;
    }
    Send([this, &agent, address = router.address,
          incarnation = router.incarnation,
          reports = router.accounts.ReportsFor(agent.address, now_)] {
      agent.ledger.Put(address, incarnation, reports, now_);
    });
  }

  void SendReports() {
    for (Router& router : routers_) {
      const std::vector<Address> urgent =
          router.accounts.TakeUrgentReports(routers_.size(), now_);
      const bool due = now_ >= router.next_report;
      if (due) {
        router.next_report = now_ + kReportInterval;
      }
      for (Agent& agent : agents_) {
        if (due || std::find(urgent.begin(), urgent.end(), agent.address) !=
                       urgent.end()) {
          Report(router, agent);
        }
      }
    }
  }

  void SendViews() {
    for (Agent& agent : agents_) {
      if (now_ < agent.next_views || agent.lost) {
        continue;
      }
      agent.next_views =
          now_ +
          (agent.ledger.IsNearLimit(now_) ? kViewInterval : kCalmViewInterval);
      ++agent.sequence;
      for (Router& router : routers_) {
        if (!router.deaf) {
          Send([this, &router, address = agent.address,
                incarnation = agent.incarnation, sequence = agent.sequence,
                views = agent.ledger.ViewsFor(router.address, now_)] {
            router.accounts.OnViews(address, incarnation, sequence, views,
                                    now_);
          });
        }
      }
    }
  }

  Time now_ = kStart;
  std::mt19937 random_{1};
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::vector<Workspace> workspaces_;
  std::int64_t version_ = 1;
  Incarnation last_incarnation_ = 0;
  std::deque<Router> routers_;
  std::deque<Agent> agents_;
  std::vector<double> usual_per_s_;
  std::deque<std::pair<Time, std::function<void()>>> in_flight_;
  std::map<std::string, std::vector<Use>> used_;
  std::map<std::string, Asked> asked_;
  int messages_ = 0;
};

double WindowBound(double rate_per_s) {
  return (rate_per_s * kWindowS + rate_per_s) * kOvershoot + kTolerance;
}

constexpr double kLargeRate = 375'000;
constexpr double kSmallRate = 29'000;
constexpr double kUsualShare = 1 / 1.8;

}  // namespace

// The load of a customer: a large and a small workspace at their usual rate, at
// 49 routers that callers reach unevenly.
TEST_GROUP(Quota) {
  QuotaFleet fleet_{
      49,
      12,
      {MakeWorkspace("large", kLargeRate), MakeWorkspace("small", kSmallRate)}};

  void setup() override {
    // Routers and agents run for a while before traffic starts.
    fleet_.Run(std::chrono::seconds(2));
    fleet_.SetUsual(0, kUsualShare * kLargeRate);
    fleet_.SetUsual(1, kUsualShare * kSmallRate);
    fleet_.Run(std::chrono::seconds(8));
  }

  // Checks that a workspace within its quota has lost at most 1 of 100 requests
  // to it since the last check.
  void CheckServed(const std::string& workspace) {
    const QuotaFleet::Asked asked = fleet_.TakeAsked(workspace);
    CHECK(asked.asked > 0);
    const std::string text = workspace + ": " + std::to_string(asked.refused) +
                             " of " + std::to_string(asked.asked) + " refused";
    CHECK_TRUE_TEXT(asked.refused * 100 <= asked.asked, text.c_str());
  }

  void CheckBound(const std::string& workspace, double rate_per_s) {
    const std::string text = workspace + ": " +
                             std::to_string(fleet_.HighestUse(workspace)) +
                             " of " + std::to_string(WindowBound(rate_per_s));
    CHECK_TRUE_TEXT(fleet_.HighestUse(workspace) <= WindowBound(rate_per_s),
                    text.c_str());
  }

  void CheckBounds() {
    CheckBound("large", kLargeRate);
    CheckBound("small", kSmallRate);
  }
};

// Guards against refusing workspaces that stay within their quotas, as equal
// shares of uneven routers would.
TEST(Quota, WorkspacesWithinTheirQuotaAreServed) {
  fleet_.Run(std::chrono::seconds(10));
  CheckServed("large");
  CheckServed("small");
  CheckBounds();
}

// Guards against a workspace that sends nine times its usual at all routers at
// once and gets more than its quota, and against others that pay for it. Most
// of its quota is still served.
TEST(Quota, HotWorkspaceStaysWithinItsQuota) {
  fleet_.TakeAsked("large");
  fleet_.SetUsual(0, 9 * kUsualShare * kLargeRate);
  fleet_.Run(std::chrono::seconds(7));
  const QuotaFleet::Asked hot = fleet_.TakeAsked("large");
  CHECK((hot.asked - hot.refused) * kMeanCost > 0.9 * 7 * kLargeRate);
  fleet_.SetUsual(0, kUsualShare * kLargeRate);
  fleet_.Run(std::chrono::seconds(2));
  fleet_.TakeAsked("large");
  fleet_.Run(std::chrono::seconds(8));
  CheckServed("large");
  CheckServed("small");
  CheckBounds();
}

// Guards against a small workspace whose burst passes while large requests find
// no room in the share of a router.
TEST(Quota, SmallHotWorkspaceStaysWithinItsQuota) {
  fleet_.SetUsual(1, 9 * kUsualShare * kSmallRate);
  fleet_.Run(std::chrono::seconds(7));
  const QuotaFleet::Asked hot = fleet_.TakeAsked("small");
  CHECK((hot.asked - hot.refused) * kMeanCost > 0.9 * 7 * kSmallRate);
  CheckServed("large");
  CheckBounds();
}

// Guards against routers that hear nothing of the others and spend the whole
// quota each: a third of them for 10 s, while a workspace is hot.
TEST(Quota, DeafRoutersSpendTheirPartOnly) {
  for (std::size_t i = 0; i < 49; i += 3) {
    fleet_.SetDeaf(i, true);
  }
  fleet_.SetUsual(0, 9 * kUsualShare * kLargeRate);
  fleet_.Run(std::chrono::seconds(10));
  CheckBounds();
  fleet_.SetUsual(0, kUsualShare * kLargeRate);
  for (std::size_t i = 0; i < 49; i += 3) {
    fleet_.SetDeaf(i, false);
  }
  fleet_.Run(std::chrono::seconds(3));
  fleet_.TakeAsked("large");
  fleet_.TakeAsked("small");
  fleet_.Run(std::chrono::seconds(8));
  CheckServed("large");
  CheckServed("small");
  CheckBounds();
}

// Guards against routers that start anew with the whole quota, and against
// workspaces that are refused while all routers restart in turn.
TEST(Quota, RestartsInTurnNeitherAddNorTakeQuota) {
  for (std::size_t i = 0; i < 49; ++i) {
    fleet_.Restart(i);
    fleet_.Run(milliseconds(200));
  }
  CheckServed("large");
  CheckServed("small");
  fleet_.SetUsual(0, 9 * kUsualShare * kLargeRate);
  for (std::size_t i = 0; i < 49; ++i) {
    fleet_.Restart(i);
    fleet_.Run(milliseconds(150));
  }
  CheckBounds();
}

// Guards against the loss of use with the agents that keep a ledger: all agents
// but one end in turn and start again, while a workspace is hot.
TEST(Quota, LostLedgersKeepTheBound) {
  fleet_.SetUsual(0, 9 * kUsualShare * kLargeRate);
  for (std::size_t i = 0; i < 11; ++i) {
    fleet_.SetLost(i, true);
    fleet_.RestartAgent(i);
    fleet_.Run(milliseconds(700));
    fleet_.SetLost(i, false);
    fleet_.Run(milliseconds(700));
  }
  CheckBounds();
  fleet_.TakeAsked("small");
  fleet_.Run(std::chrono::seconds(3));
  CheckServed("small");
}

// Guards against a limit that is lowered far below what is being sent and takes
// effect at some routers only.
TEST(Quota, LowerLimitBindsAfterOneWindow) {
  fleet_.SetWorkspaces({MakeWorkspace("lower", kLargeRate / 4),
                        MakeWorkspace("small", kSmallRate)});
  fleet_.SetUsual(0, kUsualShare * kLargeRate);
  fleet_.Run(std::chrono::seconds(12));
  CheckBound("lower", kLargeRate / 4);
  CheckServed("small");
}

// Guards against routers that are added and find the quota spent, or spend it a
// second time.
TEST(Quota, AddedRoutersShareTheQuota) {
  fleet_.TakeAsked("large");
  for (int i = 0; i < 3; ++i) {
    fleet_.AddRouter();
  }
  fleet_.Run(std::chrono::seconds(5));
  CheckServed("large");
  CheckServed("small");
  fleet_.SetUsual(0, 9 * kUsualShare * kLargeRate);
  fleet_.Run(std::chrono::seconds(7));
  CheckBounds();
}

// Guards against a request that was charged and did not run.
TEST(Quota, RefusedWorkIsGivenBack) {
  QuotaAccounts accounts;
  const std::vector<Workspace> workspaces = {MakeWorkspace("t", 1000)};
  accounts.SetWorkspaces(workspaces, 1);
  accounts.SetAgents({AddressOf(1)});
  CHECK(accounts.Take("t", 10, 4, 0.5, kStart).admitted);
  DOUBLES_EQUAL(10, accounts.ReportsFor(AddressOf(1), kStart)[0].use, 0);
  accounts.GiveBack("t", 10);
  DOUBLES_EQUAL(0, accounts.ReportsFor(AddressOf(1), kStart)[0].use, 0);
}

// Guards against numbers from the network that make a ledger useless.
TEST(Quota, OddReportsAreIgnored) {
  QuotaLedger ledger;
  QuotaReport report;
  report.workspace = 1;
  report.limits = {1000, 1000};
  report.use = std::numeric_limits<double>::quiet_NaN();
  ledger.Put(AddressOf(1), 1, std::span(&report, 1), kStart);
  CHECK_EQUAL(0, static_cast<int>(ledger.size()));
  report.use = 1e300;
  ledger.Put(AddressOf(1), 1, std::span(&report, 1), kStart);
  ledger.Put(AddressOf(2), 1, std::span(&report, 1),
             kStart + std::chrono::seconds(5));
  const auto views =
      ledger.ViewsFor(AddressOf(2), kStart + std::chrono::seconds(9));
  CHECK(views[0].level > 0);
}

}  // namespace amaranthcove
