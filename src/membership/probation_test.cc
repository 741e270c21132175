#include "amaranthcove/membership/probation.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {
constexpr Time kStart{std::chrono::hours(1)};
}  // namespace

TEST_GROUP(Probation){};

// Guards against shunning a server for one lost connect, and against trying a
// dead one at full rate or, after it recovered, too seldom.
TEST(Probation, GrowsFromSecondFailureToItsLimit) {
  ServerHealth health;
  CHECK_FALSE(OnProbation(health, kStart));
  RecordFailure(health, kStart);
  CHECK_FALSE(OnProbation(health, kStart));
  RecordFailure(health, kStart);
  CHECK(OnProbation(health, kStart + kFirstProbation - Duration(1)));
  CHECK_FALSE(OnProbation(health, kStart + kFirstProbation));
  RecordFailure(health, kStart);
  CHECK(ProbationEnd(health) == kStart + 2 * kFirstProbation);
  CHECK(ProbationLength(1000000) == kLongestProbation);
  RecordSuccess(health);
  CHECK_FALSE(OnProbation(health, kStart));
}

// Guards against new work on a server whose connections went silent.
TEST(Probation, StartsAtOnceAfterSilence) {
  ServerHealth health;
  RecordSilence(health, kStart);
  CHECK(OnProbation(health, kStart));
}

}  // namespace amaranthcove
