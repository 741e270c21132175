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
      AdjustWindow(limiter_, now_);
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
  DOUBLES_EQUAL(1, limiter_.scale, 0.3);
}

// Guards against a window that stays as narrow as first worked out although the
// streams are on time, and against one that stays wide while they are late.
TEST(PromptLimiter, WindowFollowsThePauses) {
  Run(2, 40, 0.4);
  Run(5, 40, 0.02);
  CHECK(limiter_.limited);
  CHECK(limiter_.scale > 2);
  const double wide = limiter_.scale;
  Run(2, 40, 0.3);
  CHECK(limiter_.scale < wide);
  Run(20, 40, 0.3);
  CHECK(limiter_.limited);
  DOUBLES_EQUAL(1, limiter_.scale, 1e-9);
  // Some late pauses neither widen nor narrow it.
  Run(5, 40, 0.1);
  DOUBLES_EQUAL(1, limiter_.scale, 1e-9);
}

// Guards against a limit that outlives its cause by half a minute: prompts
// waited at idle engines after a burst.
TEST(PromptLimiter, LimitEndsAfterTheLoad) {
  Run(2, 40, 0.4);
  CHECK(limiter_.limited);
  Run(12, 0, 0);
  CHECK(!limiter_.limited);
  // What was seen before does not bring it back.
  Run(1, 10, 0);
  CHECK(!limiter_.limited);
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
