#include "amaranthcove/backend_choice/backend_choice.h"

#include <array>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

EngineCandidate MakeEngine(AdapterPlace place, int running, std::size_t rank) {
  EngineCandidate engine;
  engine.place = place;
  engine.running = running;
  engine.affinity_rank = rank;
  engine.batch_size = 64;
  return engine;
}

}  // namespace

TEST_GROUP(ChooseEngine){};

// Guards against loading an adapter again while an engine that holds it has
// room, and against piling all requests of a popular adapter on one engine.
// What delays a first event are the prompts that wait, not the running
// requests.
TEST(ChooseEngine, SpreadsAPopularAdapterOnlyUnderLoad) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 30, 0),
                        MakeEngine(AdapterPlace::kAbsent, 2, 1)};
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines)));
  engines[0].queued = 10;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against long queues at the engines that hold an adapter, from routers
// that count only requests beyond the batch as waiting (20 and more waited
// where a load takes 250 ms).
TEST(ChooseEngine, WaitingPromptsCostMoreThanALoad) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 25, 0),
                        MakeEngine(AdapterPlace::kAbsent, 25, 7)};
  engines[0].queued = 20;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against queues at an engine that has become slow and still holds an
// adapter, and against preferring any load to an engine that is a little slow.
TEST(ChooseEngine, SlowEnginesCostMore) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 3, 0),
                        MakeEngine(AdapterPlace::kAbsent, 8, 7)};
  engines[0].slowness = 8;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
  engines[0].slowness = 2;
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines)));
  engines[0].queued = 12;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against a standard of speed taken from a few engines, or drawn by the
// slow ones and those that are not known.
TEST(ChooseEngine, SlownessIsMeasuredByTheMedian) {
  std::array few = {40.0, 0.0, 160.0};
  CHECK_EQUAL(0, static_cast<int>(UsualIntervalMs(few)));
  std::array many = {0.0, 300.0, 45.0, 40.0, 0.0, 50.0, 320.0};
  CHECK_EQUAL(50, static_cast<int>(UsualIntervalMs(many)));
  DOUBLES_EQUAL(6, Slowness(300, 50), 0.01);
  DOUBLES_EQUAL(1, Slowness(0, 50), 0.01);
  DOUBLES_EQUAL(1, Slowness(300, 0), 0.01);
}

// Guards against the requests for a popular adapter that all routers send to
// one of the ten engines holding it, because their words of the agents are the
// same.
TEST(ChooseEngine, EqualEnginesShareTheRequests) {
  std::vector<EngineCandidate> engines(
      10, MakeEngine(AdapterPlace::kResident, 5, 3));
  std::map<std::size_t, int> chosen;
  std::uint64_t state = 1;
  for (int request = 0; request < 1000; ++request) {
    for (EngineCandidate& engine : engines) {
      state = state * 6364136223846793005U + 1442695040888963407U;
      engine.draw = static_cast<double>(state >> 40U) / (1U << 24U);
    }
    ++chosen[*ChooseEngine(engines)];
  }
  CHECK_EQUAL(10, static_cast<int>(chosen.size()));
  for (const auto& [engine, count] : chosen) {
    CHECK(count > 60 && count < 140);
  }
}

// Guards against a draw that outweighs a load or a queue.
TEST(ChooseEngine, TheDrawDecidesNothingElse) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 5, 0),
                        MakeEngine(AdapterPlace::kAbsent, 5, 1)};
  engines[0].draw = 1;
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines)));
  engines[1] = MakeEngine(AdapterPlace::kResident, 5, 1);
  engines[0].draw = 0;
  engines[0].queued = 4;
  engines[1].draw = 1;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against cold loads on engines that are idle by chance.
TEST(ChooseEngine, AbsentAdapterGoesToItsPreferredEngine) {
  const std::array engines = {MakeEngine(AdapterPlace::kAbsent, 0, 4),
                              MakeEngine(AdapterPlace::kAbsent, 9, 0)};
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against one idle engine that gets the cold adapters of all routers at
// once (14 of 54 engines lost): the choice differs between adapters.
TEST(ChooseEngine, ColdAdaptersSpreadOverEngines) {
  std::vector<std::string> names;
  std::vector<std::string_view> views;
  names.reserve(40);
  for (int n = 0; n < 40; ++n) {
    names.push_back("engine-" + std::to_string(n));
  }
  views.assign(names.begin(), names.end());
  std::map<std::size_t, int> chosen;
  std::vector<std::size_t> ranks(names.size());
  for (int n = 0; n < 400; ++n) {
    RankByAffinity("adapter-" + std::to_string(n), views, ranks);
    std::vector<EngineCandidate> engines;
    for (std::size_t i = 0; i < names.size(); ++i) {
      // Engine 7 looks idle; the others have some work.
      engines.push_back(
          MakeEngine(AdapterPlace::kAbsent, i == 7 ? 0 : 12, ranks[i]));
      engines.back().avoided = ranks[i] < 2;  // The preferred ones are lost.
    }
    ++chosen[*ChooseEngine(engines)];
  }
  CHECK(chosen[7] < 100);
  CHECK(chosen.size() > 30);
}

// Guards against waiting for a place where all adapters are in use.
TEST(ChooseEngine, AvoidsEnginesWithoutAFreePlace) {
  std::array engines = {MakeEngine(AdapterPlace::kAbsent, 5, 2),
                        MakeEngine(AdapterPlace::kAbsent, 5, 3)};
  engines[0].free_places = 0;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
  // The preferred engine is likely to hold the adapter in its memory.
  engines[0].affinity_rank = 0;
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against refusing while a failing engine is the only one left, and
// against preferring it to others.
TEST(ChooseEngine, AvoidedEnginesAreTheLastResort) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 0, 0),
                        MakeEngine(AdapterPlace::kUnknown, 60, 1)};
  engines[0].avoided = true;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
  engines[1].tried = true;
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines)));
  CHECK(!ChooseEngine({}).has_value());
}

// Guards against an order of preference that is reshuffled when one engine
// leaves, which would make most adapters cold at once.
TEST(ChooseEngine, AffinitySurvivesTheLossOfAnEngine) {
  const std::vector<std::string_view> nine = {"a", "b", "c", "d", "e",
                                              "f", "g", "h", "i"};
  const std::vector<std::string_view> eight(nine.begin(), nine.end() - 1);
  std::vector<std::size_t> ranks(nine.size());
  std::map<std::size_t, int> adapters_of_engine;
  for (int n = 0; n < 900; ++n) {
    const std::string adapter = "adapter-" + std::to_string(n);
    RankByAffinity(adapter, nine, ranks);
    std::size_t first = 0;
    while (ranks[first] != 0) {
      ++first;
    }
    ++adapters_of_engine[first];
    if (first + 1 < nine.size()) {
      RankByAffinity(adapter, eight, std::span(ranks).first(eight.size()));
      CHECK_EQUAL(0, static_cast<int>(ranks[first]));
    }
  }
  for (const auto& [engine, count] : adapters_of_engine) {
    CHECK(count > 60 && count < 140);
  }
}

TEST_GROUP(ChoosePlainServer){};

// Guards against needless traffic between data centres, and against queueing in
// the own one while another is idle.
TEST(ChoosePlainServer, PrefersTheOwnDataCentreUntilItIsBusy) {
  std::array<PlainCandidate, 2> servers;
  servers[0].slots = servers[1].slots = 6;
  servers[1].same_data_centre = false;
  servers[0].in_flight = 1;
  CHECK_EQUAL(0, static_cast<int>(*ChoosePlainServer(servers)));
  servers[0].in_flight = 4;
  CHECK_EQUAL(1, static_cast<int>(*ChoosePlainServer(servers)));
}

// Guards against repeating a call at the server that has just failed it.
TEST(ChoosePlainServer, TriedServersAreTheLastResort) {
  std::array<PlainCandidate, 2> servers;
  servers[0].tried = true;
  servers[1].in_flight = 5;
  CHECK_EQUAL(1, static_cast<int>(*ChoosePlainServer(servers)));
  servers[1].tried = true;
  CHECK_EQUAL(0, static_cast<int>(*ChoosePlainServer(servers)));
}

}  // namespace amaranthcove
