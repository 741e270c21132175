#include "amaranthcove/backend_choice/even_load.h"

#include <array>
#include <map>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "testing/policy_bench/even_load_replay.h"

namespace amaranthcove {

using policy_bench::EvenLoadResult;
using policy_bench::EvenLoadScenario;
using policy_bench::ReplayEvenLoad;

TEST_GROUP(EvenLoad){
    // Returns how often each offer is chosen for 4000 requests.
    static std::map<std::size_t, int> Spread(std::vector<ServerOffer> offers){
        std::mt19937_64 random(1);
std::uniform_real_distribution<double> unit(0, 1);
std::map<std::size_t, int> chosen;
for (int i = 0; i < 4000; ++i) {
  for (ServerOffer& offer : offers) {
    offer.jitter = unit(random);
  }
  ++chosen[*ChooseEvenly(offers)];
}
return chosen;
}  // namespace amaranthcove
}
;

// Guards against a spread that does not even the costs out: two servers that
// are 40 and 10 ms above the cheapest one, requests of 10 ms, and as many
// arrivals as fill them to 60 ms.
TEST(EvenLoad, SharesFollowTheRoomBelowTheLevel) {
  const std::vector<ServerOffer> offers = {
      {0, 10, 4, 0}, {10, 10, 4, 0}, {40, 10, 4, 0}};
  // 13 requests fill to 60 ms: 6 + 5 + 2.
  const std::map<std::size_t, int> chosen = Spread(offers);
  DOUBLES_EQUAL(4000 * 6 / 13.0, chosen.at(0), 150);
  DOUBLES_EQUAL(4000 * 5 / 13.0, chosen.at(1), 150);
  DOUBLES_EQUAL(4000 * 2 / 13.0, chosen.at(2), 150);
}

// Guards against sending requests to expensive servers while cheap ones take
// all that is expected, and against ignoring that a slow server fills sooner.
TEST(EvenLoad, ExpensiveServersAreLeftOut) {
  const std::map<std::size_t, int> chosen =
      Spread({{0, 10, 2, 0}, {0, 30, 1, 0}, {300, 10, 0, 0}});
  CHECK_EQUAL(2, static_cast<int>(chosen.size()));
  DOUBLES_EQUAL(3000, chosen.at(0), 150);
}

// Guards against a router without others that spreads its requests for nothing.
TEST(EvenLoad, WithoutArrivalsTheCheapestIsChosen) {
  const std::map<std::size_t, int> chosen =
      Spread({{0, 10, 0, 0}, {10, 10, 0, 0}});
  CHECK_EQUAL(1, static_cast<int>(chosen.size()));
  CHECK(!ChooseEvenly({}).has_value());
}

// Guards against values without an upper bound: no jitter, and many arrivals.
TEST(EvenLoad, OddValuesChooseSomething) {
  const std::array offers = {ServerOffer{1e9, 1, 1e9, 0},
                             ServerOffer{0, 1e-3, 0, 1}};
  CHECK(ChooseEvenly(offers).has_value());
}

// Load: many routers that choose by the same reports, a quarter of the engines
// at half the pace, and a burst to 0.8 of what all can serve. Guards against
// engines that are overrun in turns while others idle.
TEST(EvenLoad, OldReportsDoNotOverrunEngines) {
  for (const int routers : {10, 49, 300}) {
    for (const double report_ms : {250.0, 1000.0}) {
      EvenLoadScenario scenario;
      scenario.routers = routers;
      scenario.report_ms = report_ms;
      scenario.slowness = 2;
      scenario.expects_arrivals = false;
      const EvenLoadResult without = ReplayEvenLoad(scenario);
      scenario.expects_arrivals = true;
      const EvenLoadResult with = ReplayEvenLoad(scenario);
      CHECK(with.overload_ratio < without.overload_ratio);
      CHECK(with.late_share < 0.01);
      CHECK(without.late_share > 0.05);
    }
  }
}

// Guards against a spread that makes fresh reports or a single router worse.
TEST(EvenLoad, FreshReportsStayAsGood) {
  for (const int routers : {1, 49}) {
    EvenLoadScenario scenario;
    scenario.routers = routers;
    scenario.report_ms = 50;
    scenario.expects_arrivals = false;
    const EvenLoadResult without = ReplayEvenLoad(scenario);
    scenario.expects_arrivals = true;
    const EvenLoadResult with = ReplayEvenLoad(scenario);
    CHECK(with.overload_ratio < without.overload_ratio * 1.02);
    CHECK(with.late_share < 0.01);
  }
}

}  // namespace amaranthcove
