#include "amaranthcove/quota/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "amaranthcove/quota/quota_decision.h"

namespace amaranthcove {

namespace {

// Time constant of the moving average of what callers ask.
constexpr double kAskedAverageS = 0.5;
// Reports that follow each other sooner are averaged together.
constexpr Duration kMinAveraged = std::chrono::milliseconds(10);

// What callers ask of a router that is silent for longer does not count.
constexpr Duration kAskedLifetime = std::chrono::seconds(1);
// A router that has been silent for longer has ended or knows the limits anew.
constexpr Duration kReservedFor = std::chrono::seconds(15);

// A router may come back after a long cut and goes on with its totals.
constexpr Duration kReporterLifetime = std::chrono::seconds(60);

// The bucket is overdrawn by at most the refill of this time, so that use that
// was reported late does not stop a workspace for long.
constexpr double kMaxDebtS = 3;

// Below this share of the burst a workspace is near its limit.
constexpr double kNearLimitShare = 0.5;

constexpr std::size_t kMaxWorkspaces = 4096;

}  // namespace

void QuotaLedger::Put(const Address& router,
                      Incarnation incarnation,
                      std::span<const QuotaReport> reports,
                      Time now) {
  for (const QuotaReport& report : reports) {
    const bool is_valid = std::isfinite(report.use) &&
                          std::isfinite(report.asked) &&
                          std::isfinite(report.limits.rate_per_s) &&
                          std::isfinite(report.limits.burst) &&
                          std::isfinite(report.level.value_or(0));
    if (!is_valid || (workspaces_.size() >= kMaxWorkspaces &&
                      !workspaces_.contains(report.workspace))) {
      continue;
    }
    const auto [account, is_new] = workspaces_.try_emplace(report.workspace);
    if (is_new) {
      account->second.created = now;
      account->second.refilled = now;
    }
    PutReport(account->second, router, incarnation, report, now);
  }
}

void QuotaLedger::PutReport(Account& account,
                            const Address& router,
                            Incarnation incarnation,
                            const QuotaReport& report,
                            Time now) {
  account.level = Level(account, now);
  account.refilled = now;
  if (report.limits_version >= account.limits_version) {
    account.limits_version = report.limits_version;
    account.limits = report.limits;
  }
  const bool is_warming_up = now - account.created < kWarmUp;
  if (is_warming_up && !account.level_is_known) {
    // Without a router that knows the level, all have just started.
    account.level = report.level.value_or(account.limits.burst);
    account.level_is_known = report.level.has_value();
  }
  const auto [found, is_new] = account.reporters.try_emplace(router);
  Reporter& reporter = found->second;
  double used = report.use - reporter.use;
  if (is_new && is_warming_up) {
    used = 0;  // The level of other routers includes it.
  } else if (is_new || reporter.incarnation != incarnation) {
    used = std::min(report.use, account.limits.burst);
  }
  if (is_new || reporter.incarnation != incarnation) {
    reporter = {};
    reporter.incarnation = incarnation;
    reporter.averaged_asked = report.asked;
    reporter.averaged = now;
  }
  account.level =
      std::clamp(account.level - used, -kMaxDebtS * account.limits.rate_per_s,
                 account.limits.burst);
  reporter.use = report.use;
  reporter.asked = report.asked;
  reporter.reported = now;
  const Duration elapsed = now - reporter.averaged;
  if (elapsed >= kMinAveraged) {
    const double seconds = ToSeconds(elapsed);
    const double latest = (report.asked - reporter.averaged_asked) / seconds;
    reporter.asked_per_s += (1 - std::exp(-seconds / kAskedAverageS)) *
                            (latest - reporter.asked_per_s);
    reporter.averaged_asked = report.asked;
    reporter.averaged = now;
  }
}

double QuotaLedger::ReservedShare(const Account& account, Time now) {
  const auto silent = std::count_if(
      account.reporters.begin(), account.reporters.end(),
      [now](const auto& item) {
        const Duration silence = now - item.second.reported;
        return silence >= kAskedLifetime && silence < kReservedFor;
      });
  return static_cast<double>(silent) * EqualShare(account.reporters.size());
}

double QuotaLedger::Level(const Account& account, Time now) {
  const double rate_per_s =
      account.limits.rate_per_s * (1 - ReservedShare(account, now));
  return std::min(
      account.limits.burst,
      account.level + rate_per_s * ToSeconds(now - account.refilled));
}

double QuotaLedger::AskedPerSecond(const Account& account, Time now) {
  double asked_per_s = 0;
  for (const auto& [router, reporter] : account.reporters) {
    if (now - reporter.reported < kAskedLifetime) {
      asked_per_s += reporter.asked_per_s;
    }
  }
  return asked_per_s;
}

std::vector<LedgerView> QuotaLedger::ViewsFor(const Address& router,
                                              Time now) const {
  std::vector<LedgerView> views;
  for (const auto& [workspace, account] : workspaces_) {
    const auto reporter = account.reporters.find(router);
    if (reporter == account.reporters.end() ||
        now - account.created < kWarmUp) {
      continue;
    }
    LedgerView view;
    view.workspace = workspace;
    view.level = Level(account, now);
    view.asked_per_s = AskedPerSecond(account, now);
    view.own_asked_per_s = reporter->second.asked_per_s;
    view.counted_use = reporter->second.use;
    views.push_back(view);
  }
  return views;
}

bool QuotaLedger::IsNearLimit(Time now) const {
  return std::any_of(
      workspaces_.begin(), workspaces_.end(), [now](const auto& item) {
        const Account& account = item.second;
        return account.limits.rate_per_s > 0 &&
               (Level(account, now) < kNearLimitShare * account.limits.burst ||
                AskedPerSecond(account, now) > account.limits.rate_per_s);
      });
}

void QuotaLedger::Expire(Time now) {
  for (auto& [workspace, account] : workspaces_) {
    std::erase_if(account.reporters, [now](const auto& item) {
      return now - item.second.reported >= kReporterLifetime;
    });
  }
  std::erase_if(workspaces_,
                [](const auto& item) { return item.second.reporters.empty(); });
}

}  // namespace amaranthcove
