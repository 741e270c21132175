#include "amaranthcove/attempts/attempt_ledger.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr AttemptLimits kSmallLimits{.max_records_per_entry = 5,
                                     .max_records = 8,
                                     .max_entries = 3,
                                     .max_idle = std::chrono::hours(1),
                                     .max_idle_step = std::chrono::seconds(10)};

// Applies calls to a ledger and checks the results against a model: the number
// of runs of each attempt, and the attempts that were reported as not run.
struct History {
  AttemptLedger ledger{kSmallLimits};
  Time now{};
  std::map<std::int64_t, int> runs;
  std::set<std::int64_t> queued;
  std::set<std::int64_t> running;
  std::set<std::int64_t> not_run;

  void Admit(const AttemptId& id, std::int64_t low_water_mark) {
    const AdmitResult result = ledger.Admit(id, low_water_mark, now);
    const bool live = queued.count(id.number) + running.count(id.number) != 0;
    if (result.decision == AdmitDecision::kNew) {
      RC_ASSERT(!live && runs[id.number] == 0 && not_run.count(id.number) == 0);
      queued.insert(id.number);
    }
    RC_ASSERT(!live || result.decision == AdmitDecision::kDuplicate);
    RecordReport(id, result.outcome);
  }

  void Run(const AttemptId& id) {
    const bool was_queued = queued.erase(id.number) == 1;
    RC_ASSERT(ledger.MarkRunning(id) == was_queued);
    if (was_queued) {
      running.insert(id.number);
      RC_ASSERT(++runs[id.number] == 1);
      RC_ASSERT(not_run.count(id.number) == 0U);
    }
  }

  void RecordReport(const AttemptId& id, Outcome outcome) {
    if (outcome == Outcome::kNotRun) {
      RC_ASSERT(runs[id.number] == 0);
      queued.erase(id.number);
      not_run.insert(id.number);
    }
    RC_ASSERT(outcome != Outcome::kCompleted || runs[id.number] == 1);
  }
};

}  // namespace

TEST_GROUP(AttemptLedger){};

// Guards against an attempt that runs twice, or runs after it was reported as
// "not_run". Copies of submissions and cancellations are delayed, duplicated,
// reordered and lost, the process pauses, and the bounds are reached.
TEST(AttemptLedger, RunsNoAttemptTwiceOrAfterNotRun) {
  CHECK(rc::check([] {
    using Step = std::tuple<int, std::int64_t, std::int64_t>;
    const auto steps = *rc::gen::resize(
        300, rc::gen::container<std::vector<Step>>(rc::gen::tuple(
                 rc::gen::inRange(0, 20), rc::gen::inRange<std::int64_t>(0, 8),
                 rc::gen::inRange<std::int64_t>(0, 8))));
    History history;
    std::int64_t sent = 0;
    for (const auto& [action, back, mark] : steps) {
      sent += action < 3 ? 1 : 0;
      // The incarnation changes every 8 numbers. There are 4 incarnations, one
      // more than the ledger has room for.
      const std::int64_t number = std::max<std::int64_t>(1, sent - back);
      const AttemptId id{"entry-1", 1 + number / 8 % 4, number};
      if (action < 8) {
        history.Admit(id, sent - 4 * mark);
      } else if (action < 12) {
        history.RecordReport(id, history.ledger.Cancel(id, history.now));
      } else if (action < 15) {
        history.Run(id);
      } else if (action < 19) {
        RC_ASSERT(history.ledger.Finish(id, Outcome::kCompleted, history.now) ==
                  (history.running.erase(id.number) == 1U));
      } else {
        history.now += std::chrono::hours(2);
      }
      RC_ASSERT(history.ledger.records() <= kSmallLimits.max_records);
      RC_ASSERT(history.ledger.entries() <= kSmallLimits.max_entries);
      RC_ASSERT(history.ledger.live() ==
                history.queued.size() + history.running.size());
    }
  }));
}

// Guards against refusing all attempts, and against reporting `not_run` for an
// attempt that ran and whose record was dropped.
TEST(AttemptLedger, AdmitsNewAttemptsAboveTheMark) {
  AttemptLedger ledger(kSmallLimits);
  for (std::int64_t number = 1; number <= 20; ++number) {
    const AttemptId id{"entry-1", 1, number};
    CHECK(ledger.Admit(id, 1, Time()).decision == AdmitDecision::kNew);
    CHECK(ledger.MarkRunning(id));
    CHECK(ledger.Finish(id, Outcome::kCompleted, Time()));
  }
  const AdmitResult last = ledger.Admit({"entry-1", 1, 20}, 1, Time());
  CHECK(last.decision == AdmitDecision::kDuplicate);
  CHECK(last.outcome == Outcome::kCompleted);
  const AdmitResult forgotten = ledger.Admit({"entry-1", 1, 2}, 1, Time());
  CHECK(forgotten.decision == AdmitDecision::kRefused);
  CHECK(forgotten.outcome == Outcome::kUnknown);
}

// Guards against idle entry incarnations that are never dropped, and against
// dropping an incarnation that has live attempts.
TEST(AttemptLedger, DropsIdleEntriesWithoutLiveAttempts) {
  AttemptLedger ledger(kSmallLimits);
  ledger.Cancel({"entry-1", 1, 1}, Time());
  ledger.Admit({"entry-2", 1, 1}, 1, Time());
  for (int step = 0; step <= 361; ++step) {
    ledger.Expire(Time() + step * kSmallLimits.max_idle_step);
  }
  CHECK_EQUAL(1U, ledger.entries());
  CHECK_EQUAL(1U, ledger.live());
}

}  // namespace amaranthcove
