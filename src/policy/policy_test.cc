#include "amaranthcove/policy/admission.h"
#include "amaranthcove/policy/choice.h"
#include "amaranthcove/policy/load_budget.h"
#include "amaranthcove/policy/placement.h"
#include "amaranthcove/policy/popularity.h"

#include <string>
#include <vector>

#include "amaranthcove/base/hash.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{std::chrono::hours(1)};

TEST_GROUP(Popularity){};

// Guards against rates that do not halve within the half-life.
TEST(Popularity, DecaysByHalfLife) {
  PopularityTable table;
  for (int i = 0; i < 100; ++i) {
    table.Record(7, kStart);
  }
  const double rate = table.Rate(7, kStart);
  DOUBLES_EQUAL(rate / 2, table.Rate(7, kStart + seconds(60)), rate * 0.01);
  DOUBLES_EQUAL(0, table.Rate(8, kStart), 0);
}

// Guards against a table that grows with every adapter ever used, or that
// removes a frequently used adapter because of many rarely used ones.
TEST(Popularity, IsBoundedAndKeepsHotAdapters) {
  PopularityTable table({.capacity = 1024});
  Random random{1};
  const AdapterKey hot = random.Next();
  for (int i = 0; i < 20000; ++i) {
    table.Record(random.Next(), kStart);
    if (i % 20 == 0) {
      table.Record(hot, kStart);
    }
  }
  CHECK(table.bytes() <= std::size_t{1024} * 16);
  CHECK(table.Rate(hot, kStart) > 1);
  table.Compact(kStart + std::chrono::hours(1));
  CHECK_EQUAL(0, table.size());
  CHECK(table.bytes() <= 256);
}

std::vector<PlacementServer> Servers(int count) {
  std::vector<PlacementServer> servers;
  servers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    servers.push_back({.name_hash = Hash64("engine-" + std::to_string(i))});
  }
  return servers;
}

TEST_GROUP(Placement){};

// Guards against a change of the ranking between releases. Entries of different
// releases would send the requests for one adapter to different engines.
TEST(Placement, IsStable) {
  const std::vector<PlacementServer> servers = Servers(9);
  std::uint32_t best[3] = {};
  CHECK_EQUAL(3, RankServers("vratovrazka/silk-care@4", servers, best));
  CHECK_EQUAL(1, best[0]);
}

// Guards against adapters that move to another server although their server has
// not been removed.
TEST(Placement, RemovingAServerMovesOnlyItsAdapters) {
  const std::vector<PlacementServer> all = Servers(9);
  const std::vector<PlacementServer> fewer(all.begin(), all.end() - 1);
  for (int i = 0; i < 500; ++i) {
    const std::string adapter = "team/adapter-" + std::to_string(i);
    std::uint32_t before[2] = {};
    std::uint32_t after[1] = {};
    RankServers(adapter, all, before);
    RankServers(adapter, fewer, after);
    CHECK_EQUAL(before[0] == 8 ? before[1] : before[0], after[0]);
  }
}

// Guards against shares of adapters that do not follow the weights, and against
// servers that are wrongly ruled out by the check without a logarithm.
TEST(Placement, SharesFollowWeights) {
  std::vector<PlacementServer> servers = Servers(10);
  servers[3].weight = 3;
  servers[4].weight = 0;
  servers[5].distance = Distance::kOtherRegion;
  std::vector<int> adapters(10);
  for (int i = 0; i < 10000; ++i) {
    std::uint32_t best[1] = {};
    RankServers("adapter-" + std::to_string(i), servers, best);
    ++adapters[best[0]];
  }
  CHECK(adapters[3] > 2800 && adapters[3] < 3200);
  CHECK(adapters[0] > 900 && adapters[0] < 1100);
  CHECK_EQUAL(0, adapters[4]);
  CHECK_EQUAL(0, adapters[5]);
}

// Guards against rejected requests in a region that does not have enough
// engines, and against using other regions before the own one.
TEST(Placement, OtherRegionsComeLast) {
  std::vector<PlacementServer> servers = Servers(4);
  servers[0].distance = Distance::kOtherRegion;
  servers[2].distance = Distance::kOtherRegion;
  std::uint32_t best[4] = {};
  CHECK_EQUAL(4, RankServers("a", servers, best));
  CHECK(best[0] % 2 == 1 && best[1] % 2 == 1);
}

// Guards against replicas that are repeatedly added and removed because of
// small changes of the rate.
TEST(Placement, ReplicaCountHasHysteresis) {
  const ReplicaSettings settings;
  CHECK_EQUAL(1, ReplicaCount(0, 1.0, 1, settings));
  CHECK_EQUAL(2, ReplicaCount(1.1, 1.0, 1, settings));
  CHECK_EQUAL(2, ReplicaCount(0.8, 1.0, 2, settings));
  CHECK_EQUAL(1, ReplicaCount(0.6, 1.0, 2, settings));
  CHECK_EQUAL(8, ReplicaCount(100, 1.0, 1, settings));
}

TEST_GROUP(Choice) {
  ChoiceSettings settings{.load_cost = milliseconds(500),
                          .resident_margin = milliseconds(500)};
  Random random{5};

  static Candidate Fresh(int wait_ms, Residency resident) {
    return {.expected_wait = milliseconds(wait_ms),
            .load_wait = milliseconds(500),
            .resident = resident,
            .report_age = Duration(0)};
  }
};

// Guards against loads that are caused by small differences in the expected
// wait.
TEST(Choice, StaysUnlessBetterByMoreThanALoad) {
  std::vector<Candidate> candidates = {Fresh(400, Residency::kYes),
                                       Fresh(0, Residency::kYes)};
  CHECK_EQUAL(0, ChooseServer(candidates, 1, settings, random)->index);
  candidates[0].expected_wait = milliseconds(600);
  const Choice moved = *ChooseServer(candidates, 1, settings, random);
  CHECK_EQUAL(1, moved.index);
  CHECK(moved.reason == ChoiceReason::kShorterWait);
  candidates[1].resident = Residency::kNo;
  CHECK_EQUAL(0, ChooseServer(candidates, 1, settings, random)->index);
}

// Guards against an outdated report of an idle server that attracts requests
// forever, and against new requests to servers that are leaving.
TEST(Choice, DiscountsOldReportsAndAvoidsLeavingServers) {
  std::vector<Candidate> candidates = {Fresh(700, Residency::kYes),
                                       Fresh(0, Residency::kYes)};
  candidates[1].report_age = std::chrono::minutes(5);
  CHECK_EQUAL(0, ChooseServer(candidates, 1, settings, random)->index);
  candidates[0].leaving = true;
  const Choice other = *ChooseServer(candidates, 1, settings, random);
  CHECK_EQUAL(1, other.index);
  CHECK(other.reason == ChoiceReason::kOthersLeaving);
  candidates[1].leaving = true;
  CHECK_FALSE(ChooseServer(candidates, 1, settings, random).has_value());
}

// Guards against herding. Requests sent since the last report must add to the
// expected wait, and equal alternatives must share the excess requests.
TEST(Choice, SpreadsWithoutNewReports) {
  std::vector<Candidate> candidates(9, Fresh(0, Residency::kYes));
  candidates[0].expected_wait = seconds(5);
  for (int i = 0; i < 80; ++i) {
    ++candidates[ChooseServer(candidates, 1, settings, random)->index]
          .unreported;
  }
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    CHECK(candidates[i].unreported >= 5 && candidates[i].unreported <= 15);
  }
}

TEST_GROUP(LoadBudget) {
  Random random{3};
};

// Guards against a cold start in which all engines together exceed the store's
// rate by more than `ColdStartExcess`, including the urgent borrowing.
TEST(LoadBudget, ColdStartStaysWithinStatedExcess) {
  const LoadBudgetSettings settings{.engines = 9};
  std::vector<LoadBudget> budgets;
  budgets.reserve(9);
  for (int i = 0; i < 9; ++i) {
    budgets.emplace_back(settings, kStart, random);
  }
  int loads = 0;
  for (int ms = 0; ms <= 120000; ms += 10) {
    const Time now = kStart + milliseconds(ms);
    for (LoadBudget& budget : budgets) {
      while (budget.Take(true, now)) {
        ++loads;
      }
    }
    CHECK(loads <= 3.0 * ms / 1000 + ColdStartExcess(settings));
  }
  CHECK(loads > 350);
}

// Guards against patient loads that use the tokens reserved for urgent loads,
// and against a `NextLoad` time at which the load is not allowed yet.
TEST(LoadBudget, ReservesUrgentLoadsAndPredictsNextLoad) {
  LoadBudget budget({.engines = 3}, kStart, random);
  Time now = kStart + seconds(60);
  while (budget.Take(false, now)) {
  }
  CHECK(budget.Take(true, now));
  const Time next = budget.NextLoad(false, now);
  CHECK_FALSE(budget.Take(false, next - milliseconds(1)));
  CHECK(budget.Take(false, next));
}

// Guards against load storms on a slow or overloaded store, and against a share
// by demand that stays in use after its messages have stopped.
TEST(LoadBudget, AdaptsToTheStore) {
  LoadBudget budget(
      {.engines = 3, .slow_load = milliseconds(500), .maximum_factor = 1},
      kStart, random);
  budget.OnLoaded(milliseconds(900), kStart + seconds(1));
  DOUBLES_EQUAL(0.5, budget.Rate(kStart + seconds(1)), 1e-9);
  budget.OnLoaded(milliseconds(950), kStart + seconds(1));
  DOUBLES_EQUAL(0.5, budget.Rate(kStart + seconds(1)), 1e-9);
  budget.OnRefused(seconds(4), kStart + seconds(2), random);
  CHECK_FALSE(budget.Take(true, kStart + seconds(5)));
  DOUBLES_EQUAL(0.25, budget.Rate(kStart + seconds(5)), 1e-9);
  for (int i = 0; i < 20; ++i) {
    budget.OnLoaded(milliseconds(250), kStart + seconds(9));
  }
  budget.SetShare(DemandShare(3, 4, {.engines = 3}), kStart + seconds(9));
  DOUBLES_EQUAL(1.625, budget.Rate(kStart + seconds(9)), 1e-9);
  DOUBLES_EQUAL(1.0, budget.Rate(kStart + seconds(60)), 1e-9);
}

// Guards against a store that stays idle while an engine needs more than its
// share, and against a rate that stays above the share when loads queue up.
TEST(LoadBudget, UsesSpareCapacityOfTheStore) {
  LoadBudget budget({.engines = 3}, kStart, random);
  for (int i = 0; i < 20; ++i) {
    budget.OnLoaded(milliseconds(250), kStart + seconds(1));
  }
  DOUBLES_EQUAL(2.0, budget.Rate(kStart + seconds(1)), 1e-9);
  for (int i = 0; i < 10; ++i) {
    budget.OnLoaded(milliseconds(900), kStart + seconds(2));
  }
  DOUBLES_EQUAL(1.0, budget.Rate(kStart + seconds(2)), 1e-9);
}

TEST_GROUP(Admission) {
  Random random{9};
};

// Guards against queues that grow without limit or contain requests that cannot
// meet their deadline.
TEST(Admission, LimitsQueueLengthAndWait) {
  CHECK(Admit(255, 256, seconds(1), seconds(2)) == Admission::kAdmit);
  CHECK(Admit(256, 256, seconds(1), seconds(2)) == Admission::kQueueFull);
  CHECK(Admit(0, 256, seconds(2), seconds(2)) == Admission::kDeadlineMissed);
}

// Guards against retry storms. Retries are limited to 10% of the first attempts
// plus a burst of 3.
TEST(Admission, RetryBudgetLimitsRetries) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    retries += budget.TakeRetry() ? 1 : 0;
  }
  CHECK(retries >= 100 && retries <= 103);
}

// Guards against callers and entries that all retry at the same time.
TEST(Admission, BackoffAndRetryAfterHaveJitter) {
  for (std::uint32_t retry = 0; retry < 70; ++retry) {
    CHECK(BackoffDelay(retry, {}, random) <= seconds(2));
  }
  CHECK(BackoffDelay(5, {}, random) != BackoffDelay(5, {}, random));
  const Duration after = RetryAfter(seconds(3), random);
  CHECK(after >= seconds(3) && after <= seconds(6));
}

}  // namespace amaranthcove::policy
