#include "amaranthcove/adapter_agent/prompt_limiter.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

const Time kStart = Time(std::chrono::hours(1));

Address RouterOf(int number) {
  return {"10.0.0." + std::to_string(number), 7000};
}

}  // namespace

TEST_GROUP(PromptLimiter) {
  PromptLimiter limiter_;
  Time now_ = kStart;

  // Lets time pass in which streams pause `long_per_s` times a second for long,
  // a share of `late` of them for too long, as seen by 30 routers.
  void Run(double seconds, int long_per_s, double late) {
    constexpr int kRouters = 30;
    for (int i = 0; i < static_cast<int>(seconds * 10); ++i) {
      now_ += milliseconds(100);
      pauses_ += long_per_s / 10.0;
      late_ += long_per_s / 10.0 * late;
      for (; pauses_ >= 1; pauses_ -= 1) {
        const bool is_late = late_ >= 1;
        late_ -= is_late ? 1 : 0;
        AddPauses(limiter_, RouterOf(++router_ % kRouters),
                  {1, is_late ? 1 : 0}, kRouters, now_);
      }
      IsLimited(limiter_, now_);
    }
  }

 private:
  int router_ = 0;
  double pauses_ = 0;
  double late_ = 0;
};

// Load: an engine that reads all the time, whose streams pause for long but not
// for too long. Guards against holding its prompts back: in a day of uneven
// engines requests waited seconds for engines that had half of their places
// free, since others were slow.
TEST(PromptLimiter, EnginesWhoseStreamsAreOnTimeAreNotLimited) {
  Run(30, 40, 0.05);
  CHECK(!limiter_.limited);
}

// Load: a slow engine that reads all the time. Guards against streams that stay
// late because its prompts are not held back.
TEST(PromptLimiter, LatePausesAreFoundWithinSeconds) {
  Run(2, 40, 0.4);
  CHECK(limiter_.limited);
}

// Load: a calm minute at an engine whose few long pauses are mostly too long.
// Guards against streams that are late until many have been.
TEST(PromptLimiter, FewPausesAreEnoughIfMostAreLate) {
  Run(5, 2, 0.6);
  CHECK(limiter_.limited);
}

// Guards against a limit that is forgotten between two bursts, so that the
// streams of each burst are late until it is found again.
TEST(PromptLimiter, CalmChangesNothing) {
  Run(2, 40, 0.4);
  Run(20, 0, 0);
  CHECK(limiter_.limited);
}

// Guards against a limit without end.
TEST(PromptLimiter, LimitEndsLongAfterTheLastLatePause) {
  Run(2, 40, 0.4);
  Run(31, 0, 0);
  CHECK(!limiter_.limited);
  // What was seen before does not bring it back.
  Run(1, 10, 0);
  CHECK(!limiter_.limited);
}

// Load: a service whose engines all pause their streams for too long, and one
// with a few slow engines among many. Guards against streams that are late
// until each engine has shown it, and against holding back the prompts of
// engines whose own streams are on time.
TEST(PromptLimiter, EvidenceOfTheServiceCounts) {
  AddServiceEvidence(limiter_, 2, 30, now_);
  CHECK(!IsLimited(limiter_, now_));
  AddServiceEvidence(limiter_, 8, 30, now_);
  CHECK(IsLimited(limiter_, now_));
  Run(31, 0, 0);
  CHECK(!IsLimited(limiter_, now_));
}

// Guards against one router behind a bad link that holds back the prompts of
// all routers.
TEST(PromptLimiter, OneRouterInDoubtIsNotEnough) {
  for (int i = 0; i < 100; ++i) {
    AddPauses(limiter_, RouterOf(1), {10, 10}, 30, kStart);
  }
  CHECK(!limiter_.limited);
  AddPauses(limiter_, RouterOf(1), {10, 10}, 1, kStart);
  CHECK(limiter_.limited);
}

// Guards against counts that go backwards, as of a router that has restarted.
TEST(PromptLimiter, NegativeCountsAreIgnored) {
  AddPauses(limiter_, RouterOf(1), {-5, -5}, 1, kStart);
  CHECK(limiter_.evidence.empty());
}

}  // namespace amaranthcove
