#include "amaranthcove/membership/probation.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {
constexpr Time kStart{std::chrono::hours(1)};
}  // namespace

TEST_GROUP(Probation){};

// Guards against avoiding a server because of a single failed connect, against
// connecting to a dead server at the full rate, and against connecting to a
// recovered server too rarely.
TEST(Probation, GrowsFromSecondFailureToItsLimit) {
  ServerHealth health;
  CHECK_FALSE(OnProbation(health, kStart));
  RecordFailure(health, kStart);
  CHECK_FALSE(OnProbation(health, kStart));
  RecordFailure(health, kStart);
  CHECK(OnProbation(health, kStart + kMinProbation - Duration(1)));
  CHECK_FALSE(OnProbation(health, kStart + kMinProbation));
  RecordFailure(health, kStart);
  CHECK(ProbationEnd(health) == kStart + 2 * kMinProbation);
  CHECK(ProbationLength(1000000) == kMaxProbation);
  RecordSuccess(health);
  CHECK_FALSE(OnProbation(health, kStart));
}

// Guards against new requests to a server that no longer sends anything on its
// connections.
TEST(Probation, StartsImmediatelyAfterSilence) {
  ServerHealth health;
  RecordSilence(health, kStart);
  CHECK(OnProbation(health, kStart));
}

}  // namespace amaranthcove
