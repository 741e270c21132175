#include "amaranthcove/engine_cost/engine_cost.h"

#include "amaranthcove/engine_cost/pace_estimator.h"
#include "amaranthcove/engine_cost/pause_monitor.h"
#include "amaranthcove/engine_cost/stream_pause.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time(std::chrono::hours(1));

}  // namespace

TEST_GROUP(EngineCost){};

// Guards against placing a long prompt as if it were like any other: it delays
// its own first event, and that of every prompt behind it, by its length.
TEST(EngineCost, PromptsDelayByTheirLength) {
  const EnginePace pace = {0.05, 50, 30};
  EngineWork work;
  DOUBLES_EQUAL(100, FirstEventMs(pace, work, 1000), 0.01);
  work.unread_prompt_tokens = 9000;
  DOUBLES_EQUAL(550, FirstEventMs(pace, work, 1000), 0.01);
  work.slowness = 2;
  DOUBLES_EQUAL(1100, FirstEventMs(pace, work, 1000), 0.01);
}

// Guards against a window that lets the streams of a slow engine pause for
// longer than their limit.
TEST(EngineCost, WindowKeepsPausesWithinTheLimit) {
  const EnginePace pace = {0.05, 50, 30};
  RequestGoal goal;
  CHECK_EQUAL(0, static_cast<int>(PromptWindow(pace, 1, goal)));
  goal.target_gap_ms = 300;
  for (const double slowness : {0.8, 1.0, 1.3, 2.0}) {
    EngineWork work;
    work.slowness = slowness;
    const auto window = static_cast<double>(PromptWindow(pace, slowness, goal));
    CHECK(window > 0);
    CHECK(PauseMs(pace, work, window) <= goal.target_gap_ms);
  }
}

// Guards against placement by prompts that the engine has read since its agent
// told of them.
TEST(EngineCost, UnreadPromptsAreReadAsTimePasses) {
  const EnginePace pace = {0.05, 50, 30};
  DOUBLES_EQUAL(2000, TokensLeft(4000, pace, milliseconds(100)), 0.01);
  DOUBLES_EQUAL(0, TokensLeft(4000, pace, seconds(1)), 0.01);
}

// Guards against an expectation near a limit that is taken for safe.
TEST(EngineCost, LateProbabilityGrowsTowardsTheLimit) {
  DOUBLES_EQUAL(0, LateProbability(100, 800), 0.01);
  CHECK(LateProbability(600, 800) > 0.1);
  DOUBLES_EQUAL(1, LateProbability(800, 800), 0.01);
  DOUBLES_EQUAL(0, LateProbability(800, 0), 0.01);
}

TEST_GROUP(PaceEstimator) {
  PaceEstimator estimator_;

  // Adds requests of several sizes to an engine with this pace.
  void Serve(const EnginePace& pace, int count, Time& now) {
    for (int i = 0; i < count; ++i) {
      now += milliseconds(50);
      const double tokens = 300.0 * (1 + i % 6);
      estimator_.Observe(
          tokens, pace.first_event_ms + pace.prompt_token_ms * tokens, 1, now);
    }
  }
};

// Guards against placement by the constants of another kind of engine: an
// engine of half the speed must be known as such within seconds.
TEST(PaceEstimator, LearnsThePaceOfTheEngines) {
  for (const double token_ms : {0.02, 0.05, 0.11}) {
    estimator_ = PaceEstimator();
    Time now = kStart;
    Serve({token_ms, 40, 30}, 100, now);
    const EnginePace pace = estimator_.Pace(33);
    DOUBLES_EQUAL(token_ms, pace.prompt_token_ms, 0.2 * token_ms);
    DOUBLES_EQUAL(33, pace.event_interval_ms, 0.01);
  }
}

// Guards against a few requests at a faulty engine that change the estimate for
// the whole service.
TEST(PaceEstimator, FaultyEnginesHardlyChangeTheEstimate) {
  Time now = kStart;
  Serve({0.05, 40, 30}, 100, now);
  for (int i = 0; i < 5; ++i) {
    estimator_.Observe(600, 8000, 1, now);
  }
  const EnginePace pace = estimator_.Pace(0);
  CHECK(FirstEventMs(pace, {}, 1000) < 1.5 * (40 + 0.05 * 1000));
}

// Guards against an estimate from requests of one size only, which fix no line,
// and against none at all.
TEST(PaceEstimator, FallsBackToThePrior) {
  DOUBLES_EQUAL(kPriorPace.prompt_token_ms, estimator_.Pace(0).prompt_token_ms,
                1e-6);
  DOUBLES_EQUAL(kPriorPace.event_interval_ms,
                estimator_.Pace(0).event_interval_ms, 1e-6);
  for (int i = 0; i < 50; ++i) {
    estimator_.Observe(500, 90, 1, kStart);
  }
  const EnginePace pace = estimator_.Pace(0);
  CHECK(pace.prompt_token_ms > 0);
  CHECK(pace.first_event_ms >= 0);
  DOUBLES_EQUAL(90, pace.first_event_ms + 500 * pace.prompt_token_ms, 20);
}

TEST_GROUP(PauseMonitor) {
  PauseMonitor monitor_;
};

// Guards against holding prompts back at engines whose streams never pause for
// too long, whatever they read: their longest pauses end below the limit.
TEST(PauseMonitor, LongPausesWithinTheLimitAreNotLate) {
  for (int i = 0; i < 500; ++i) {
    monitor_.Observe(milliseconds(290), milliseconds(400),
                     kStart + milliseconds(10 * i));
  }
  CHECK(!monitor_.has_late_pauses());
}

// Guards against streams that stay late because prompts are not held back, and
// against letting prompts go as soon as holding them back has worked.
TEST(PauseMonitor, LatePausesAreFoundAndRemembered) {
  Time now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(10);
    monitor_.Observe(milliseconds(i % 3 == 0 ? 340 : 200), milliseconds(300),
                     now);
  }
  CHECK(monitor_.has_late_pauses());
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    monitor_.Observe(milliseconds(200), milliseconds(300), now);
  }
  CHECK(monitor_.has_late_pauses());
  for (int i = 0; i < 400; ++i) {
    now += seconds(1);
    monitor_.Observe(milliseconds(200), milliseconds(300), now);
  }
  CHECK(!monitor_.has_late_pauses());
}

// Guards against taking frozen processes and lost packets for the work of
// prompts, and against counting the usual steps of the engine.
TEST(PauseMonitor, FaultsAndShortPausesDoNotCount) {
  for (int i = 0; i < 100; ++i) {
    CHECK(!monitor_.Observe(seconds(2), milliseconds(300), kStart));
    CHECK(!monitor_.Observe(milliseconds(40), milliseconds(300), kStart));
    CHECK(!monitor_.Observe(milliseconds(340), Duration::zero(), kStart));
  }
  CHECK(!monitor_.has_late_pauses());
}

TEST_GROUP(ClassifyPause){};

// Guards against taking frozen processes and lost packets for the work of
// prompts, and against counting the usual steps of the engine.
TEST(ClassifyPause, FaultsAndShortPausesDoNotCount) {
  const Duration limit = milliseconds(300);
  CHECK(ClassifyPause(milliseconds(40), limit) == StreamPause::kUsual);
  CHECK(ClassifyPause(milliseconds(200), limit) == StreamPause::kLong);
  CHECK(ClassifyPause(milliseconds(300), limit) == StreamPause::kLong);
  CHECK(ClassifyPause(milliseconds(340), limit) == StreamPause::kLate);
  CHECK(ClassifyPause(seconds(2), limit) == StreamPause::kUsual);
  CHECK(ClassifyPause(milliseconds(340), Duration::zero()) ==
        StreamPause::kUsual);
}

// Guards against queues at full engines that look short because only their
// prompts count: 24 requests beyond a batch of 24 wait as long as one request
// takes.
TEST(EngineCost, RequestsBeyondTheBatchWaitForOthersToEnd) {
  EnginePace pace;
  pace.request_ms = 600;
  EngineWork work;
  work.batch_size = 24;
  const double idle_ms = FirstEventMs(pace, work, 600);
  work.excess_requests = 24;
  work.unread_prompt_tokens = 24 * 100;
  DOUBLES_EQUAL(600, FirstEventMs(pace, work, 600) - idle_ms, 1);
  // Reading that takes longer hides the wait for a place.
  work.unread_prompt_tokens = 24 * 1000;
  DOUBLES_EQUAL(960, FirstEventMs(pace, work, 600) - idle_ms, 1);
}

// Guards against an estimate that does not follow engines that slow down under
// load, and against one odd request that decides it.
TEST(PaceEstimator, RequestTimesFollowTheLoad) {
  PaceEstimator estimator;
  Time now = kStart;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    estimator.ObserveEnd(1800, 2, now);
  }
  DOUBLES_EQUAL(900, estimator.Pace(0).request_ms, 50);
  estimator.ObserveEnd(60000, 1, now + milliseconds(10));
  CHECK(estimator.Pace(0).request_ms < 1100);
}

}  // namespace amaranthcove
