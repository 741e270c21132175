#include "amaranthcove/log/event_log.h"

#include <unistd.h>

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

// All tests share one `Logging`, because a process may create only one.
TEST_GROUP(EventLog){void setup()
                         override{static const Logging logging(LogLevel::kInfo);
}  // namespace amaranthcove
}
;

// Guards against values that a reader would parse as further fields.
TEST(EventLog, QuotesValues) {
  CHECK("plain-7" == LogfmtValue("plain-7"));
  CHECK("\"\"" == LogfmtValue(""));
  CHECK("\"a b=\\\"c\\\\\"" == LogfmtValue("a b=\"c\\"));
}

// Guards against many routine lines that displace refusals, and against a log
// volume that grows with the load.
TEST(EventLog, RoutineLinesAreDroppedBeforeWarnings) {
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

// Guards against a process that blocks because its log is not read, and against
// one that writes no log lines after the reader has caught up.
TEST(EventLog, FullPipeNeverBlocks) {
  int ends[2] = {};
  CHECK_EQUAL(0, pipe(ends));
  const int saved = dup(STDERR_FILENO);
  dup2(ends[1], STDERR_FILENO);
  constexpr int kLinesToFillPipe = 3000;
  const std::string text(100, 'x');
  for (int i = 0; i < kLinesToFillPipe; ++i) {
    Log(LogLevel::kWarn, "event_log_test", text);
  }
  std::string received(1 << 20, '\0');
  CHECK(read(ends[0], received.data(), received.size()) > 0);
  Log(LogLevel::kWarn, "event_log_test", "after the flood");
  dup2(saved, STDERR_FILENO);
  close(saved);
  close(ends[1]);
  std::string last(1 << 20, '\0');
  last.resize(static_cast<std::size_t>(
      std::max<ssize_t>(read(ends[0], last.data(), last.size()), 0)));
  close(ends[0]);
  CHECK(last.find("after the flood") != std::string::npos);
}

}  // namespace amaranthcove
