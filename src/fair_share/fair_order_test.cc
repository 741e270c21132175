#include "amaranthcove/fair_share/fair_order.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

const Time kStart = Time(std::chrono::hours(1));

FairRequest Of(WorkspaceId workspace, int since_ms, double weight = 1) {
  return {false,
          0,
          {workspace, weight},
          kStart + std::chrono::milliseconds(since_ms)};
}

}  // namespace

TEST_GROUP(FairOrder){
    // Returns how many of the first `count` requests belong to `workspace`.
    static int ServedOf(WorkspaceId workspace,
                        const std::vector<FairRequest>& requests,
                        std::size_t count,
                        const std::map<WorkspaceId, double>& served = {}){
        const std::vector<std::size_t> order = FairOrder(requests, served);
return static_cast<int>(
    std::count_if(order.begin(),
                  order.begin() + static_cast<std::ptrdiff_t>(count),
                  [&](std::size_t index) {
                    return requests[index].share.workspace == workspace;
                  }));
}  // namespace amaranthcove
}
;

// Guards against a change for callers without workspaces.
TEST(FairOrder, OneWorkspaceIsServedInTheOrderOfArrival) {
  const std::vector<FairRequest> requests = {Of(0, 30), Of(0, 10), Of(0, 20)};
  const std::vector<std::size_t> order = FairOrder(requests, {{0, 7}});
  CHECK((order == std::vector<std::size_t>{1, 2, 0}));
}

// Load: one workspace sends 200 requests at once, before one request of each of
// nine others. Guards against the others waiting for the whole burst.
TEST(FairOrder, BurstOfOneWorkspaceDoesNotDelayOthers) {
  std::vector<FairRequest> requests;
  requests.reserve(209);
  for (int i = 0; i < 200; ++i) {
    requests.push_back(Of(1, i));
  }
  for (int i = 2; i <= 10; ++i) {
    requests.push_back(Of(static_cast<WorkspaceId>(i), 1000 + i));
  }
  CHECK_EQUAL(9, 10 - ServedOf(1, requests, 10));
  // With requests of its own in service, the burst comes after the others.
  CHECK_EQUAL(0, ServedOf(1, requests, 9, {{1, 18}}));
}

// Load: two workspaces with much waiting, of which one may send three times as
// much. Guards against shares that ignore what a workspace may use.
TEST(FairOrder, SharesFollowTheWeights) {
  std::vector<FairRequest> requests;
  requests.reserve(200);
  for (int i = 0; i < 100; ++i) {
    requests.push_back(Of(1, i, 1.5));
    requests.push_back(Of(2, i, 0.5));
  }
  CHECK_EQUAL(60, ServedOf(1, requests, 80));
}

// Guards against a fair share that lets less urgent or late requests overtake
// urgent ones.
TEST(FairOrder, RankAndLatenessComeBeforeTurns) {
  std::vector<FairRequest> requests = {Of(1, 0), Of(1, 1), Of(2, 2), Of(3, 3)};
  requests[2].rank = 1;
  requests[3].late = true;
  const std::vector<std::size_t> order = FairOrder(requests, {{1, 50}});
  CHECK((order == std::vector<std::size_t>{0, 1, 2, 3}));
}

// Load: one place; a workspace with a long queue and another one whose requests
// come later. Guards against serving the whole queue first because its requests
// are older, and against a memory that outlives the burst.
TEST(FairOrder, WorkspacesTakeTurnsAtASinglePlace) {
  std::vector<FairRequest> requests;
  requests.reserve(20);
  for (int i = 0; i < 10; ++i) {
    requests.push_back(Of(1, i));
    requests.push_back(Of(2, 100 + i));
  }
  RecentService recent;
  Time now = kStart + std::chrono::milliseconds(200);
  std::map<WorkspaceId, int> served;
  for (int i = 0; i < 10; ++i) {
    now += std::chrono::milliseconds(30);
    const std::size_t next = FairOrder(requests, CountsAt(recent, now))[0];
    const WorkspaceId workspace = requests[next].share.workspace;
    AddService(recent, workspace, now);
    ++served[workspace];
    requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(next));
  }
  CHECK_EQUAL(5, served[1]);
  CHECK(CountsAt(recent, now + std::chrono::seconds(10)).empty());
}

// Guards against weights that make no sense ending a process or stopping a
// workspace.
TEST(FairOrder, OddWeightsCountAsOne) {
  const std::vector<FairRequest> requests = {
      Of(1, 0, 0), Of(1, 1, std::nan("")), Of(2, 2, 1)};
  const std::vector<std::size_t> order = FairOrder(requests, {});
  CHECK((order == std::vector<std::size_t>{0, 2, 1}));
}

// Guards against a workspace without a limit that gets no share, and against
// weights that depend on the unit of the quotas.
TEST(FairOrder, WeightsFollowTheQuotas) {
  std::vector<Workspace> all(3);
  all[0].quota.rate_per_s = 30'000;
  all[1].quota.rate_per_s = 10'000;
  const ShareScale scale = ScaleOf(all);
  DOUBLES_EQUAL(1.5, ShareOf(all[0], scale).weight, 1e-9);
  DOUBLES_EQUAL(0.5, ShareOf(all[1], scale).weight, 1e-9);
  DOUBLES_EQUAL(1.5, ShareOf(all[2], scale).weight, 1e-9);
  DOUBLES_EQUAL(1, ShareOf(all[0], ScaleOf({})).weight, 1e-9);
}

}  // namespace amaranthcove
