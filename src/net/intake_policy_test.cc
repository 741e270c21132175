#include "src/net/intake_policy.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace amaranthcove::internal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time(std::chrono::hours(1));
constexpr std::size_t kLargeBytes = 4U << 20;
const IntakeLimits kLimits;

IntakeState MakeIncomplete(std::size_t held, std::size_t length, Time began) {
  IntakeState state;
  state.held = held;
  state.length = length;
  state.is_incomplete = true;
  state.began = began;
  state.progress = held;
  state.progress_since = began;
  return state;
}

}  // namespace

TEST_GROUP(IntakePolicy){};

// Guards against a crowd whose large bodies are gathered at the same time: what
// is granted stays within the budget, the rest waits, and small requests pass.
TEST(IntakePolicy, LargeBodiesAreReadWithinTheBudget) {
  std::vector<IntakeState> crowd;
  crowd.reserve(91);
  for (int i = 0; i < 90; ++i) {
    crowd.push_back(MakeIncomplete(kSmallRequestBytes + 1, kLargeBytes,
                                   kStart + milliseconds(i)));
  }
  crowd.push_back(MakeIncomplete(900, 900, kStart + milliseconds(95)));
  const auto actions = DecideIntake(crowd, kLimits, kStart + seconds(1));
  std::size_t granted_bytes = 0;
  for (std::size_t i = 0; i < 90; ++i) {
    granted_bytes += crowd[i].granted ? kCopiesOfRequest * kLargeBytes : 0;
    CHECK(actions[i] ==
          (crowd[i].granted ? IntakeAction::kRead : IntakeAction::kPause));
  }
  CHECK(crowd[0].granted);
  CHECK(granted_bytes > 0 && granted_bytes <= kLimits.budget);
  CHECK(actions[90] == IntakeAction::kRead);
}

// Guards against refusing the largest legal request where the budget is smaller
// than what it takes.
TEST(IntakePolicy, OneLargeRequestIsAlwaysRead) {
  IntakeLimits limits;
  limits.budget = 1U << 20;
  std::vector<IntakeState> one = {
      MakeIncomplete(kSmallRequestBytes + 1, kLargeBytes, kStart)};
  CHECK(DecideIntake(one, limits, kStart)[0] == IntakeAction::kRead);
  CHECK(one[0].granted);
}

// Guards against clients that stop just short of the end and keep the budget
// from those that go on, and against closing a slow client that is alone.
TEST(IntakePolicy, StandingBodiesGiveWayToWaitingOnes) {
  IntakeLimits limits;
  limits.budget = kCopiesOfRequest * kLargeBytes;
  std::vector<IntakeState> crowd = {
      MakeIncomplete(kLargeBytes, kLargeBytes, kStart)};
  DecideIntake(crowd, limits, kStart);
  crowd[0].progress = 0;
  CHECK(DecideIntake(crowd, limits, kStart + seconds(5))[0] ==
        IntakeAction::kRead);
  crowd.push_back(
      MakeIncomplete(kSmallRequestBytes + 1, kLargeBytes, kStart + seconds(5)));
  const auto actions = DecideIntake(crowd, limits, kStart + seconds(6));
  CHECK(actions[0] == IntakeAction::kTooSlow);
  CHECK(actions[1] == IntakeAction::kRead);
  CHECK(crowd[1].granted);
}

// Guards against requests that wait for a grant without an end, and against
// requests that trickle in without an end.
TEST(IntakePolicy, WaitingAndSendingEnd) {
  IntakeLimits limits;
  limits.budget = kCopiesOfRequest * kLargeBytes;
  std::vector<IntakeState> crowd = {
      MakeIncomplete(kLargeBytes, kLargeBytes, kStart),
      MakeIncomplete(kSmallRequestBytes + 1, kLargeBytes, kStart)};
  DecideIntake(crowd, limits, kStart);
  crowd[1].paused_since = kStart;
  crowd[0].progress_since = kStart + limits.max_pause;
  CHECK(DecideIntake(crowd, limits, kStart + limits.max_pause)[1] ==
        IntakeAction::kRefuse);
  CHECK(DecideIntake(crowd, limits, kStart + limits.max_duration)[0] ==
        IntakeAction::kTooSlow);
}

// Guards against very many small requests that exceed the budget together:
// those that have not got on for longest are refused, and complete ones never.
TEST(IntakePolicy, SmallRequestsStayWithinTheBudget) {
  IntakeLimits limits;
  limits.budget = 1U << 20;
  std::vector<IntakeState> crowd;
  crowd.reserve(100);
  for (int i = 0; i < 100; ++i) {
    crowd.push_back(
        MakeIncomplete(32U << 10, 40'000, kStart + milliseconds(99 - i)));
  }
  crowd[99].is_incomplete = false;
  const auto actions = DecideIntake(crowd, limits, kStart + seconds(1));
  std::size_t held = 0;
  for (std::size_t i = 0; i < crowd.size(); ++i) {
    held += actions[i] == IntakeAction::kRead ? crowd[i].held : 0;
  }
  CHECK(held <= limits.budget);
  CHECK(actions[0] == IntakeAction::kRead);
  CHECK(actions[98] == IntakeAction::kRefuse);
  CHECK(actions[99] == IntakeAction::kRead);
}

// Guards against a length that is read from a body or from part of a name.
TEST(IntakePolicy, ReadsTheStatedLength) {
  const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
  CHECK_EQUAL(17U, *StatedLength(start + "content-LENGTH:  17\r\n\r\nxx"));
  CHECK(!StatedLength(start + "Content-Length: 17\r\n").has_value());
  CHECK(!StatedLength(start + "X-Content-Length: 17\r\n\r\n").has_value());
  CHECK(!StatedLength(start + "\r\nContent-Length: 17\r\n\r\n").has_value());
  CHECK(!StatedLength(start + "Content-Length: x\r\n\r\n").has_value());
  CHECK(!StatedLength(start + "Content-Length: 99999999999999999999\r\n\r\n")
             .has_value());
}

}  // namespace amaranthcove::internal
