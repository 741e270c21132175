#include "amaranthcove/quota/quota_accounts.h"

#include <algorithm>
#include <utility>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

// Number of agents that keep the ledger of a workspace, so that the loss of one
// forgets nothing.
constexpr std::size_t kLedgersPerWorkspace = 2;

// A router reports early when callers have asked it for this share of an equal
// part of the burst, but not more often than the interval.
constexpr double kUrgentShare = 0.25;
constexpr Duration kUrgentInterval = std::chrono::milliseconds(50);

constexpr double kSlackForCallers = 0.5;

// Bounds the size of a datagram.
constexpr std::size_t kMaxReportsToAgent = 64;

}  // namespace

QuotaLimits WithSlack(const QuotaLimits& limits, const QuotaSlack& slack) {
  const double factor = 1 + kSlackForCallers * slack.overshoot;
  return {limits.rate_per_s * factor,
          limits.burst * factor + kSlackForCallers * slack.tolerance};
}

void QuotaAccounts::SetWorkspaces(std::span<const Workspace> workspaces,
                                  std::int64_t version) {
  std::map<std::string, Account, std::less<>> accounts;
  for (const Workspace& workspace : workspaces) {
    if (workspace.quota.rate_per_s <= 0) {
      continue;
    }
    const auto known = accounts_.find(workspace.name);
    Account account;
    if (known != accounts_.end()) {
      account = std::move(known->second);
    } else {
      account.id = IdOfWorkspace(workspace.name);
      ChooseLedgers(account);
    }
    account.configured = workspace.quota;
    account.limits = WithSlack(workspace.quota, slack_);
    accounts.emplace(workspace.name, std::move(account));
  }
  accounts_ = std::move(accounts);
  version_ = version;
}

void QuotaAccounts::SetAgents(std::vector<Address> agents) {
  std::sort(agents.begin(), agents.end());
  agents.erase(std::unique(agents.begin(), agents.end()), agents.end());
  if (agents == agents_) {
    return;
  }
  agents_ = std::move(agents);
  std::erase_if(sequences_, [this](const auto& item) {
    return !std::binary_search(agents_.begin(), agents_.end(), item.first);
  });
  for (auto& [name, account] : accounts_) {
    ChooseLedgers(account);
  }
}

void QuotaAccounts::ChooseLedgers(Account& account) const {
  std::vector<std::pair<std::uint64_t, const Address*>> ranked;
  ranked.reserve(agents_.size());
  for (const Address& agent : agents_) {
    ranked.emplace_back(Hash64(FormatAddress(agent), account.id), &agent);
  }
  const std::size_t count = std::min(kLedgersPerWorkspace, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  account.ledgers.clear();
  for (std::size_t i = 0; i < count; ++i) {
    account.ledgers.push_back(*ranked[i].second);
  }
  std::erase_if(account.views, [&account](const auto& item) {
    return std::find(account.ledgers.begin(), account.ledgers.end(),
                     item.first) == account.ledgers.end();
  });
}

const QuotaView* QuotaAccounts::CurrentView(const Account& account, Time now) {
  for (const Address& agent : account.ledgers) {
    const auto view = account.views.find(agent);
    if (view != account.views.end() &&
        now - view->second.received < kViewLifetime) {
      return &view->second;
    }
  }
  return nullptr;
}

QuotaDecision QuotaAccounts::Take(std::string_view workspace,
                                  double cost,
                                  std::size_t instances,
                                  double random,
                                  Time now) {
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return {};
  }
  Account& account = found->second;
  account.asked += cost;
  account.part = RefillPart(account.part, account.configured, instances, now);
  QuotaBudget budget = {account.limits, std::nullopt, account.use, account.part,
                        instances};
  if (const QuotaView* view = CurrentView(account, now)) {
    budget.view = *view;
  }
  QuotaDecision decision = DecideQuota(budget, cost, random, now);
  decision.view_age =
      budget.view ? now - budget.view->received : -std::chrono::milliseconds(1);
  if (decision.admitted) {
    account.use += cost;
    account.part.level -= budget.view ? 0 : cost;
    ++account.counters.admitted;
  } else {
    ++account.counters.limited;
  }
  return decision;
}

bool QuotaAccounts::GiveBack(std::string_view workspace, double cost) {
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) {
    return false;
  }
  found->second.use -= cost;
  ++found->second.counters.given_back;
  return true;
}

std::vector<Address> QuotaAccounts::TakeUrgentReports(std::size_t instances,
                                                      Time now) {
  std::vector<Address> urgent;
  for (auto& [name, account] : accounts_) {
    const double equal_part =
        account.limits.burst /
        static_cast<double>(std::max<std::size_t>(instances, 1));
    if (account.asked - account.asked_at_urgent_report <
            kUrgentShare * equal_part ||
        now - account.urgent_report < kUrgentInterval) {
      continue;
    }
    account.asked_at_urgent_report = account.asked;
    account.urgent_report = now;
    urgent.insert(urgent.end(), account.ledgers.begin(), account.ledgers.end());
  }
  return urgent;
}

std::vector<QuotaReport> QuotaAccounts::ReportsFor(const Address& agent,
                                                   Time now) const {
  std::vector<QuotaReport> reports;
  for (const auto& [name, account] : accounts_) {
    if (std::find(account.ledgers.begin(), account.ledgers.end(), agent) ==
            account.ledgers.end() ||
        reports.size() >= kMaxReportsToAgent) {
      continue;
    }
    QuotaReport report;
    report.workspace = account.id;
    report.limits = account.limits;
    report.limits_version = version_;
    report.use = account.use;
    report.asked = account.asked;
    if (const QuotaView* view = CurrentView(account, now)) {
      report.level =
          std::min(account.limits.burst,
                   view->level + account.limits.rate_per_s *
                                     ToSeconds(now - view->received));
    }
    reports.push_back(report);
  }
  return reports;
}

void QuotaAccounts::OnViews(const Address& agent,
                            Incarnation incarnation,
                            std::int64_t sequence,
                            std::span<const LedgerView> views,
                            Time now) {
  AgentSequence& last = sequences_[agent];
  if (last.incarnation == incarnation && sequence <= last.sequence) {
    return;
  }
  last = {incarnation, sequence};
  for (const LedgerView& view : views) {
    for (auto& [name, account] : accounts_) {
      if (account.id == view.workspace &&
          std::find(account.ledgers.begin(), account.ledgers.end(), agent) !=
              account.ledgers.end()) {
        account.views[agent] = {now, view.level, view.asked_per_s,
                                view.own_asked_per_s, view.counted_use};
      }
    }
  }
}

std::vector<QuotaAccounts::Summary> QuotaAccounts::Summaries(Time now) const {
  std::vector<Summary> summaries;
  for (const auto& [name, account] : accounts_) {
    Summary summary;
    summary.workspace = name;
    summary.counters = account.counters;
    summary.limits = account.limits;
    summary.use = account.use;
    summary.view_age = -std::chrono::milliseconds(1);
    if (const QuotaView* view = CurrentView(account, now)) {
      summary.level = view->level;
      summary.view_age = now - view->received;
    }
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

}  // namespace amaranthcove
