#include "amaranthcove/adapter_agent/engine_pace.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

const Time kStart = Time(std::chrono::hours(1));

// A report of two runs that have made `events` events each.
EngineReport MakeReport(std::int64_t events) {
  EngineReport report;
  report.running = 2;
  report.runs = {{"a", events}, {"b", events}};
  return report;
}

}  // namespace

TEST_GROUP(EnginePace) {
  EnginePace pace_;
  Time now_ = kStart;

  // Reports every 100 ms for a second; each run makes `events` between two.
  void ReportOneSecond(std::int64_t events, int queued = 0) {
    for (int i = 0; i < 10; ++i) {
      now_ += milliseconds(100);
      events_ += events;
      EngineReport report = MakeReport(events_);
      report.queued = queued;
      pace_.Observe(report, now_);
    }
  }

  std::int64_t events_ = 0;
};

// Guards against a speed that mixes up the number of runs with their pace.
TEST(EnginePace, MeasuresTheTimeBetweenEventsOfARun) {
  ReportOneSecond(2);
  DOUBLES_EQUAL(50, pace_.EventIntervalMs(now_), 1);
}

// Guards against taking an engine for slow that reads prompts: its runs pause
// meanwhile.
TEST(EnginePace, TimesWithWaitingPromptsDoNotCount) {
  ReportOneSecond(2);
  ReportOneSecond(0, 5);
  DOUBLES_EQUAL(50, pace_.EventIntervalMs(now_), 1);
}

// Guards against a slow engine that is taken for sound by what it was before,
// and against one that is never tried again.
TEST(EnginePace, FollowsChangesAndForgets) {
  ReportOneSecond(4);
  for (int second = 0; second < 6; ++second) {
    ReportOneSecond(1);
  }
  DOUBLES_EQUAL(100, pace_.EventIntervalMs(now_), 15);
  DOUBLES_EQUAL(0, pace_.EventIntervalMs(now_ + std::chrono::seconds(10)),
                0.01);
}

// Guards against a speed made up from one event, from runs that began between
// two reports, or from reports far apart.
TEST(EnginePace, NeedsEnoughEvents) {
  pace_.Observe(MakeReport(10), kStart);
  pace_.Observe(MakeReport(11), kStart + milliseconds(100));
  DOUBLES_EQUAL(0, pace_.EventIntervalMs(kStart + milliseconds(100)), 0.01);
  pace_.Observe(MakeReport(99), kStart + std::chrono::seconds(5));
  DOUBLES_EQUAL(0, pace_.EventIntervalMs(kStart + std::chrono::seconds(5)),
                0.01);
}

}  // namespace amaranthcove
