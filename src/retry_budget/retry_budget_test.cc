#include "amaranthcove/retry_budget/retry_budget.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RetryBudgetLimits kLimits = {0.2, 112, seconds(10)};
const Time kStart = Time(std::chrono::hours(1));

}  // namespace

TEST_GROUP(RetryBudget){};

// Guards against shares that add up to more retries than the limit of the
// deployment when requests are distributed unevenly and all of them fail.
TEST(RetryBudget, SharesOfUnevenInstancesKeepTheLimit) {
  constexpr int kInstances = 10;
  std::vector<RetryBudget> budgets(kInstances, RetryBudget(kLimits));
  int requests = 0;
  int retries = 0;
  for (int ms = 0; ms < 9900; ms += 10) {
    const Time now = kStart + milliseconds(ms);
    for (int i = 0; i < kInstances; ++i) {
      const int load = i == 0 ? 8 : 1;
      for (int n = 0; n < load; ++n) {
        budgets[i].AddRequest(now);
        ++requests;
        retries += budgets[i].TrySpend(kInstances, now) ? 1 : 0;
      }
    }
  }
  CHECK(retries <= kLimits.ratio * requests + kLimits.extra);
  CHECK(retries > 0.5 * (kLimits.ratio * requests + kLimits.extra));
}

// Guards against counting retries that are older than the window.
TEST(RetryBudget, RecoversAfterTheWindow) {
  RetryBudget budget(kLimits);
  while (budget.TrySpend(10, kStart)) {
  }
  CHECK(!budget.TrySpend(10, kStart + seconds(9)));
  CHECK(budget.TrySpend(10, kStart + seconds(12)));
}

// Guards against shares of less than one retry in a large deployment, with
// which no instance could retry at all.
TEST(RetryBudget, ManyInstancesHaveAMinimum) {
  RetryBudget budget(kLimits);
  for (int i = 0; i < 10; ++i) {
    budget.AddRequest(kStart);
  }
  CHECK(budget.TrySpend(1000, kStart));
}

}  // namespace amaranthcove
