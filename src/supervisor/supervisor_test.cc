#include "amaranthcove/supervisor/supervisor.h"

#include <map>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {
namespace {

using std::chrono::milliseconds;

const Error kBroken{ErrorCode::kUnavailable, "broken"};

Time At(int ms) {
  return Time(milliseconds(ms));
}

}  // namespace

TEST_GROUP(Supervisor) {
  std::string events;
  std::map<std::string, std::vector<FailureHandle>> handles;
  std::map<std::string, bool> fail_start;
  int changes = 0;

  ChildSpec Child(const std::string& name) {
    const RestartPolicy policy{milliseconds(10), milliseconds(25), 3,
                               milliseconds(1000)};
    return {name,
            [this, name](const FailureHandle& handle) -> Status {
              events += "+" + name;
              handles[name].push_back(handle);
              if (fail_start[name]) {
                return tl::unexpected<Error>(kBroken);
              }
              return {};
            },
            [this, name] { events += "-" + name; }, policy};
  }

  Supervisor::Callbacks Callbacks() {
    return {[this] { ++changes; },
            [this](const Error& error) { events += "!" + error.message; },
            nullptr};
  }

  void Expect(const char* expected) {
    STRCMP_EQUAL(expected, events.c_str());
    events.clear();
  }
};

// Guards against a component outliving one that it depends on, and against a
// failed start that leaves earlier components running.
TEST(Supervisor, StartsInOrderAndStopsInReverse) {
  Supervisor supervisor(Callbacks());
  for (const char* name : {"a", "b", "c"}) {
    supervisor.Add(Child(name));
  }
  CHECK(supervisor.Start().has_value());
  supervisor.Stop();
  supervisor.Stop();
  Expect("+a+b+c-c-b-a");
  fail_start["b"] = true;
  STRCMP_EQUAL("b: broken", supervisor.Start().error().message.c_str());
  Expect("+a+b-a");
}

// Guards against restarts without a delay, and against a failure report from an
// earlier run stopping the current one.
TEST(Supervisor, RestartsWithBackoffAndIgnoresOldReports) {
  Supervisor supervisor(Callbacks());
  supervisor.Add(Child("a"));
  supervisor.Add(Child("b"));
  CHECK(supervisor.Start().has_value());
  handles["a"].back().Fail(kBroken);
  handles["a"].back().Fail(kBroken);
  CHECK_EQUAL(1, changes);
  CHECK(supervisor.NextTick() == Time::min());
  Expect("+a+b");
  supervisor.Tick(At(0));
  CHECK(supervisor.NextTick() == At(10));
  supervisor.Tick(At(9));
  Expect("-a");
  supervisor.Tick(At(10));
  handles["a"].front().Fail(kBroken);
  supervisor.Tick(At(11));
  Expect("+a");
  CHECK(!supervisor.NextTick());
}

// Guards against endless restarts of a failing component, and against failures
// outside the window being counted.
TEST(Supervisor, GivesUpAfterTooManyFailures) {
  Supervisor supervisor(Callbacks());
  supervisor.Add(Child("a"));
  supervisor.Add(Child("b"));
  CHECK(supervisor.Start().has_value());
  handles["b"].back().Fail(kBroken);
  fail_start["b"] = true;
  for (const int ms : {0, 10, 30, 55}) {
    supervisor.Tick(At(ms));
  }
  Expect("+a+b-b+b+b+b-a!b failed too often: broken");
  const std::vector<Time> failures = {At(0), At(1), At(2), At(1000), At(2500)};
  const RestartPolicy policy = Child("a").policy;
  CHECK(NextRestart(policy, failures) == At(2510));
  CHECK(NextRestart(policy, std::span(failures).first(4)) == At(1025));
  CHECK(!NextRestart({milliseconds(1), milliseconds(1), 3, milliseconds(5000)},
                     failures));
}

}  // namespace amaranthcove
