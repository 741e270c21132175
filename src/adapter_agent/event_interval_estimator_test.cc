#include "amaranthcove/adapter_agent/event_interval_estimator.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

const Time kStart = Time(std::chrono::hours(1));

// Returns a report of two runs that have generated `events` events each.
EngineReport MakeReport(std::int64_t events) {
  EngineReport report;
  report.running = 2;
  report.runs = {{"a", events}, {"b", events}};
  return report;
}

}  // namespace

TEST_GROUP(EventIntervalEstimator) {
  EventIntervalEstimator estimator_;
  Time now_ = kStart;

  // Reports every 100 ms for a second; each run generates `events` events
  // between two reports.
  void ReportOneSecond(std::int64_t events, int queued = 0) {
    for (int i = 0; i < 10; ++i) {
      now_ += milliseconds(100);
      events_ += events;
      EngineReport report = MakeReport(events_);
      report.queued = queued;
      estimator_.Observe(report, now_);
    }
  }

  std::int64_t events_ = 0;
};

// Guards against an interval that depends on the number of runs.
TEST(EventIntervalEstimator, MeasuresIntervalPerRun) {
  ReportOneSecond(2);
  DOUBLES_EQUAL(50, estimator_.EventIntervalMs(now_), 1);
}

// Guards against an engine that looks slow because its runs pause during the
// prefill of prompts.
TEST(EventIntervalEstimator, IgnoresIntervalsWithWaitingPrompts) {
  ReportOneSecond(2);
  ReportOneSecond(0, 5);
  DOUBLES_EQUAL(50, estimator_.EventIntervalMs(now_), 1);
}

// Guards against a slow engine that looks healthy because of old measurements,
// and against old measurements that keep requests away from an engine forever.
TEST(EventIntervalEstimator, AdaptsToChangesAndExpires) {
  ReportOneSecond(4);
  for (int second = 0; second < 6; ++second) {
    ReportOneSecond(1);
  }
  DOUBLES_EQUAL(100, estimator_.EventIntervalMs(now_), 15);
  DOUBLES_EQUAL(0, estimator_.EventIntervalMs(now_ + std::chrono::seconds(10)),
                0.01);
}

// Guards against an estimate from a single event, from runs that began between
// two reports, or from reports that are far apart.
TEST(EventIntervalEstimator, NeedsEnoughEvents) {
  estimator_.Observe(MakeReport(10), kStart);
  estimator_.Observe(MakeReport(11), kStart + milliseconds(100));
  DOUBLES_EQUAL(0, estimator_.EventIntervalMs(kStart + milliseconds(100)),
                0.01);
  estimator_.Observe(MakeReport(99), kStart + std::chrono::seconds(5));
  DOUBLES_EQUAL(0, estimator_.EventIntervalMs(kStart + std::chrono::seconds(5)),
                0.01);
}

}  // namespace amaranthcove
