#include "amaranthcove/log/event_log.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

TEST_GROUP(EventLog){};

// Guards against values that add fields or end the line.
TEST(EventLog, QuotesValues) {
  CHECK("plain-7" == LogfmtValue("plain-7"));
  CHECK("\"\"" == LogfmtValue(""));
  CHECK("\"a b=\\\"c\\\\\"" == LogfmtValue("a b=\"c\\"));
}

// Guards against a flood of routine lines that hides refusals, and against a
// volume that grows with the load.
TEST(EventLog, RoutineLinesAreDroppedBeforeWarnings) {
  const Logging logging(LogLevel::kInfo);
  EventLog log("event_log_test", {5, 3});
  const Time start = Time(std::chrono::hours(1));
  log.SetNow(start);
  for (int i = 0; i < 10; ++i) {
    log.Write(LogLevel::kInfo, "routine", {});
  }
  CHECK_EQUAL(7, static_cast<int>(log.dropped()));
  log.Write(LogLevel::kWarn, "refusal", {{"request", "r1"}});
  log.Write(LogLevel::kWarn, "refusal", {{"request", "r2"}});
  CHECK_EQUAL(7, static_cast<int>(log.dropped()));
  log.Write(LogLevel::kWarn, "refusal", {{"request", "r3"}});
  CHECK_EQUAL(8, static_cast<int>(log.dropped()));
  log.SetNow(start + std::chrono::seconds(1));
  log.Write(LogLevel::kInfo, "routine", {});
  CHECK_EQUAL(8, static_cast<int>(log.dropped()));
}

}  // namespace amaranthcove
