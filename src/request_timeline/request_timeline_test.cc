#include "amaranthcove/request_timeline/request_timeline.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr std::string_view kLog =
    "something else\n"
    " 0.1 side-1 2026-04-14T00:33:40.000Z WARN  adapter_agent event=start "
    "instance=side-1 engine=10.0.0.7:80\n"
    " 0.1 side-2 2026-04-14T00:33:40.000Z WARN  adapter_agent event=start "
    "instance=side-2 engine=10.0.0.8:80\n"
    " 0.2 front-1 2026-04-14T00:33:40.100Z WARN  router event=backend_changed "
    "server=e7 change=added service=care address=10.0.0.7:80\n"
    " 9.1 side-2 2026-04-14T00:33:49.200Z INFO  adapter_agent event=order "
    "action=load adapter=silk answer=accepted\n"
    " 9.4 front-1 2026-04-14T00:33:49.400Z INFO  router event=request_end "
    "request=a1 server=e7 adapter=silk candidates=46 expected_ms=44 "
    "outcome=broken_off status=200 not_run=0 waited_ms=260 total_ms=500 "
    "limit_ms=5000\n"
    " 9.3 front-1 2026-04-14T00:33:49.399Z INFO  router event=send_failed "
    "request=a1 server=e7 end=broken status=200\n"
    " 9.0 side-1 2026-04-14T00:33:49.000Z INFO  adapter_agent event=order "
    "action=load adapter=silk answer=accepted\n"
    " 9.0 side-1 2026-04-14T00:33:49.001Z INFO  adapter_agent event=order "
    "action=load adapter=other answer=accepted\n"
    " 9.3 side-1 2026-04-14T00:33:49.390Z WARN  adapter_agent "
    "event=engine_lost engine=10.0.0.7:80\n";

std::vector<LogEvent> Log() {
  std::istringstream stream{std::string(kLog)};
  return ReadLog(stream);
}

}  // namespace

TEST_GROUP(RequestTimeline){};

// Guards against log lines that are parsed wrongly or rejected, and against
// other lines that are accepted.
TEST(RequestTimeline, ReadsLogLines) {
  const auto event = ParseLogLine(
      "  2.5 front-1 2026-04-14T00:33:44.581Z INFO  router event=request_end "
      "request=a1 adapter=\"\" reason=\"said \\\"no\\\" = 1\" status=503");
  CHECK("front-1" == event->process);
  CHECK("router" == event->component);
  CHECK(event->Field("adapter").empty());
  CHECK("said \"no\" = 1" == event->Field("reason"));
  CHECK("503" == event->Field("status"));
  CHECK_EQUAL(581, static_cast<int>(event->time_ms % 1000));
  // The output of a process itself has no process name before the time.
  CHECK(ParseLogLine("2026-04-14T00:33:44.581Z WARN  router event=start")
            ->process.empty());
  for (const char* other : {"", " event=", "front-1 event=start a=b",
                            "2026-04-14T00:33:44.581Z INFO router text"}) {
    CHECK(!ParseLogLine(other).has_value());
  }
}

// Guards against a timeline that leaves out the cause of a failure, which
// another process logged, contains events of other servers, or is out of order.
TEST(RequestTimeline, IncludesRelatedEventsOfOtherProcesses) {
  const RequestTimeline timeline = BuildRequestTimeline(Log(), "a1");
  std::vector<std::string> actual;
  actual.reserve(timeline.events.size());
  for (const LogEvent& event : timeline.events) {
    actual.push_back(event.process + " " + std::string(event.Field("event")));
  }
  const std::vector<std::string> expected = {
      "side-1 order", "side-1 engine_lost", "front-1 send_failed",
      "front-1 request_end"};
  CHECK(expected == actual);
  CHECK_EQUAL(1, static_cast<int>(timeline.summaries.size()));
  STRCMP_CONTAINS("Broke off within its answer after 500 ms",
                  timeline.summaries[0].c_str());
}

// Guards against events or summaries for a request that the log does not
// contain.
TEST(RequestTimeline, UnknownRequestIsEmpty) {
  CHECK(BuildRequestTimeline(Log(), "a2").events.empty());
  CHECK(BuildRequestTimeline(Log(), "a2").summaries.empty());
}

}  // namespace amaranthcove
