#include "amaranthcove/relay/event_splitter.h"
#include "amaranthcove/relay/relay_policy.h"

#include <array>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

RelayProgress MakeProgress(CallKind kind, bool resumable = false) {
  RelayProgress progress;
  progress.kind = kind;
  progress.resumable = resumable;
  progress.max_attempts = 2;
  progress.may_have_run = 1;
  progress.time_left = milliseconds(3000);
  return progress;
}

constexpr std::array kAllEnds = {SendEnd::kNotSent,  SendEnd::kNotRun,
                                 SendEnd::kAnswered, SendEnd::kServerError,
                                 SendEnd::kBroken,   SendEnd::kSilent};

}  // namespace

TEST_GROUP(EventSplitter) {
  EventSplitter splitter_;
};

// Guards against passing on a partial event as if it were complete.
TEST(EventSplitter, PassesOnWholeEventsOnly) {
  CHECK(splitter_.Append("id: 1\ndata: a").empty());
  CHECK("id: 1\ndata: a\n\n" == splitter_.Append("\n\nid: 2\nda"));
  CHECK("1" == splitter_.last_id());
  CHECK("id: 2\nda" == splitter_.partial_event());
  splitter_.DropPartialEvent();
  CHECK("id: 2\ndata: b\n\n" == splitter_.Append("id: 2\ndata: b\n\n"));
  CHECK("2" == splitter_.last_id());
}

// Guards against reading an id from the data of an event, and against missing
// an id because of CRLF line ends.
TEST(EventSplitter, ReadsIdsWithAnyLineEnd) {
  splitter_.Append("id:7\r\ndata: id: 9\r\n\r\n");
  CHECK("7" == splitter_.last_id());
}

TEST_GROUP(RelayPolicy){};

// Guards against a second run of a call that must not be repeated. After a send
// that may have run, the request must end with a failure or the answer.
TEST(RelayPolicy, NonIdempotentCallIsNeverRepeatedAfterItMayHaveRun) {
  for (const CallKind kind : {CallKind::kNonIdempotent, CallKind::kStream}) {
    const RelayProgress progress = MakeProgress(kind);
    CHECK(NextStep(progress, SendEnd::kBroken, true) == RelayStep::kFail);
    CHECK(NextStep(progress, SendEnd::kSilent, true) == RelayStep::kTimeOut);
    CHECK(NextStep(progress, SendEnd::kServerError, true) ==
          RelayStep::kPassOn);
    Route route;
    CHECK(!FirstByteLimit(route, progress).has_value());
    CHECK(!PauseLimit(progress).has_value());
  }
}

// Guards against a refusal, which states that the request did not run, after an
// earlier send of the same request that may have run.
TEST(RelayPolicy, RefusesOnlyWhatCertainlyDidNotRun) {
  for (const CallKind kind :
       {CallKind::kIdempotent, CallKind::kNonIdempotent, CallKind::kStream}) {
    for (const SendEnd end : kAllEnds) {
      RelayProgress progress = MakeProgress(kind);
      CHECK(NextStep(progress, end, false) != RelayStep::kRefuse);
      progress.may_have_run = 0;
      progress.not_run = 1;
      const bool certain = end == SendEnd::kNotSent || end == SendEnd::kNotRun;
      CHECK_EQUAL(certain,
                  NextStep(progress, end, false) == RelayStep::kRefuse);
    }
  }
}

// Guards against giving up after a send that did not run. Requests of every
// kind may be sent again in that case, up to a maximum.
TEST(RelayPolicy, SendsAgainWhatDidNotRun) {
  RelayProgress progress = MakeProgress(CallKind::kNonIdempotent);
  progress.may_have_run = 0;
  progress.not_run = 1;
  CHECK(NextStep(progress, SendEnd::kNotRun, true) == RelayStep::kSendAgain);
  CHECK(NextStep(progress, SendEnd::kNotRun, false) == RelayStep::kRefuse);
  progress.not_run = 4;
  CHECK(NextStep(progress, SendEnd::kNotRun, true) == RelayStep::kRefuse);
}

// Guards against running a request at more servers than its route allows, and
// against retries without enough time to succeed.
TEST(RelayPolicy, KeepsTheLimitOfAttemptsAndTime) {
  RelayProgress progress = MakeProgress(CallKind::kIdempotent);
  CHECK(NextStep(progress, SendEnd::kBroken, true) == RelayStep::kSendAgain);
  CHECK(NextStep(progress, SendEnd::kServerError, true) ==
        RelayStep::kSendAgain);
  progress.may_have_run = 2;
  CHECK(NextStep(progress, SendEnd::kBroken, true) == RelayStep::kFail);
  CHECK(NextStep(progress, SendEnd::kServerError, true) == RelayStep::kPassOn);
  progress.may_have_run = 1;
  progress.time_left = milliseconds(10);
  CHECK(NextStep(progress, SendEnd::kBroken, true) == RelayStep::kFail);
}

// Guards against keeping callers waiting until they give up when no engine can
// serve them in time, for example while all engines load their base model.
TEST(RelayPolicy, RefusesAtOnceWhatWouldBeginTooLate) {
  Route route;
  route.target_latency = milliseconds(600);
  RelayProgress progress = MakeProgress(CallKind::kStream);
  progress.may_have_run = 0;
  CHECK(IsRefusedAtOnce(route, progress, milliseconds(2000)));
  CHECK(!IsRefusedAtOnce(route, progress, milliseconds(900)));
  progress.may_have_run = 1;
  CHECK(!IsRefusedAtOnce(route, progress, milliseconds(2000)));
}

// Guards against loading an adapter for a late retry before requests that can
// still be on time. A retry is recognised by a timeout of the caller that is
// much shorter than the route's timeout.
TEST(RelayPolicy, RetriesDoNotCountAsOnTimeAgain) {
  Route route;
  route.timeout = milliseconds(5000);
  route.target_latency = milliseconds(600);
  const Time start = Time(std::chrono::hours(1));
  CHECK(LatestLoadStart(route, milliseconds(5000), start) > start);
  CHECK(LatestLoadStart(route, std::nullopt, start) > start);
  CHECK(LatestLoadStart(route, milliseconds(3800), start) < start);
  // The timeouts of first tries differ (5.2 to 6 s of 6 s were seen).
  CHECK(LatestLoadStart(route, milliseconds(4300), start) > start);
  CHECK(HasWaitedTooLong(milliseconds(2500)));
  CHECK(!HasWaitedTooLong(milliseconds(1000)));
}

// Guards against callers that use their only retry before it can succeed, and
// against a delay that is longer than callers follow.
TEST(RelayPolicy, RetryAfterFollowsTheExpectedDelay) {
  CHECK(RetryAfter(milliseconds(0), milliseconds(5000)) == milliseconds(300));
  CHECK(RetryAfter(milliseconds(900), milliseconds(5000)) == milliseconds(900));
  CHECK(RetryAfter(milliseconds(4000), milliseconds(5000)) ==
        milliseconds(1500));
}

// Guards against an answer that was cut off but looks complete to the caller.
TEST(RelayPolicy, BegunAnswerBreaksOffVisibly) {
  RelayProgress progress = MakeProgress(CallKind::kStream);
  progress.answer_begun = true;
  CHECK(NextStep(progress, SendEnd::kBroken, true) == RelayStep::kBreakOff);
  progress.resumable = true;
  CHECK(NextStep(progress, SendEnd::kBroken, true) == RelayStep::kSendAgain);
  CHECK(NextStep(progress, SendEnd::kBroken, false) == RelayStep::kBreakOff);
}

}  // namespace amaranthcove
