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

// Returns the choice for a request that is late after 600 ms.
int Choose(std::span<const EngineCandidate> engines) {
  RequestGoal goal;
  goal.target_latency_ms = 600;
  return static_cast<int>(*ChooseEngine(engines, kPriorPace, goal));
}

}  // namespace

TEST_GROUP(ChooseEngine){};

// Guards against loading an adapter again while an engine that holds it has
// capacity, and against sending all requests of a popular adapter to one
// engine. Queued prompts delay the first event; running requests hardly do.
TEST(ChooseEngine, SpreadsAPopularAdapterOnlyUnderLoad) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 30, 0),
                        MakeEngine(AdapterPlace::kAbsent, 2, 1)};
  CHECK_EQUAL(0, Choose(engines));
  engines[0].queued = 14;
  CHECK_EQUAL(1, Choose(engines));
}

// Guards against long queues at the engines that hold an adapter. They arise if
// only requests in excess of the batch size count as queued: 20 and more
// requests waited where a load takes 250 ms.
TEST(ChooseEngine, WaitingPromptsCostMoreThanALoad) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 25, 0),
                        MakeEngine(AdapterPlace::kAbsent, 25, 7)};
  engines[0].queued = 20;
  CHECK_EQUAL(1, Choose(engines));
}

// Guards against queues at an engine that holds an adapter but has become slow,
// and against loading the adapter elsewhere because its engine is slightly
// slow.
TEST(ChooseEngine, SlowEnginesCostMore) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 3, 0),
                        MakeEngine(AdapterPlace::kAbsent, 8, 7)};
  engines[0].slowness = 8;
  CHECK_EQUAL(1, Choose(engines));
  engines[0].slowness = 2;
  CHECK_EQUAL(0, Choose(engines));
  engines[0].queued = 12;
  CHECK_EQUAL(1, Choose(engines));
}

// Guards against computing slowness relative to too few engines, and against a
// reference that slow engines or unknown intervals distort.
TEST(ChooseEngine, SlownessIsRelativeToTheMedian) {
  std::array few = {40.0, 0.0, 160.0};
  CHECK_EQUAL(0, static_cast<int>(MedianIntervalMs(few)));
  std::array many = {0.0, 300.0, 45.0, 40.0, 0.0, 50.0, 320.0};
  CHECK_EQUAL(50, static_cast<int>(MedianIntervalMs(many)));
  DOUBLES_EQUAL(6, Slowness(300, 50), 0.01);
  DOUBLES_EQUAL(1, Slowness(0, 50), 0.01);
  DOUBLES_EQUAL(1, Slowness(300, 0), 0.01);
}

// Guards against routers that all send the requests of a popular adapter to the
// same one of the ten engines that hold it, because all routers have the same
// status of the engines.
TEST(ChooseEngine, EqualEnginesShareTheRequests) {
  std::vector<EngineCandidate> engines(
      10, MakeEngine(AdapterPlace::kResident, 5, 3));
  std::map<std::size_t, int> chosen;
  std::uint64_t state = 1;
  for (int request = 0; request < 1000; ++request) {
    for (EngineCandidate& engine : engines) {
      state = state * 6364136223846793005U + 1442695040888963407U;
      engine.jitter = static_cast<double>(state >> 40U) / (1U << 24U);
    }
    ++chosen[*ChooseEngine(engines)];
  }
  CHECK_EQUAL(10, static_cast<int>(chosen.size()));
  for (const auto& [engine, count] : chosen) {
    CHECK(count > 60 && count < 140);
  }
}

// Guards against placement by the number of requests only: two long prompts
// delay the next request by more than six short ones.
TEST(ChooseEngine, LongPromptsCountByTheirLength) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 4, 0),
                        MakeEngine(AdapterPlace::kResident, 8, 1)};
  engines[0].unread_prompt_tokens = 2 * 4000;
  engines[1].unread_prompt_tokens = 6 * 400;
  CHECK_EQUAL(1, Choose(engines));
}

// Guards against a constant that fits one kind of engine: the same unread
// prompts are worth a load at engines that read slowly, and not at fast ones.
TEST(ChooseEngine, TheChoiceFollowsThePaceOfTheEngines) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 4, 0),
                        MakeEngine(AdapterPlace::kAbsent, 4, 1)};
  engines[0].unread_prompt_tokens = 6000;
  RequestGoal goal;
  goal.target_latency_ms = 600;
  EnginePace fast = kPriorPace;
  fast.prompt_token_ms = 0.02;
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines, fast, goal)));
  EnginePace slow = kPriorPace;
  slow.prompt_token_ms = 0.09;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines, slow, goal)));
}

// Guards against loads from the weight store while another engine keeps a copy.
TEST(ChooseEngine, AbsentAdapterGoesToAnEngineThatHasHeldIt) {
  std::array engines = {MakeEngine(AdapterPlace::kAbsent, 3, 0),
                        MakeEngine(AdapterPlace::kAbsent, 9, 5)};
  CHECK_EQUAL(0, Choose(engines));
  engines[1].held = true;
  CHECK_EQUAL(1, Choose(engines));
}

// Guards against traffic between data centres that no caller gains from, and
// against a queue that is kept for the sake of traffic.
TEST(ChooseEngine, PrefersTheSameDataCentreUnlessItIsBusier) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 4, 0),
                        MakeEngine(AdapterPlace::kResident, 4, 1)};
  engines[0].same_data_centre = false;
  CHECK_EQUAL(1, Choose(engines));
  engines[1].unread_prompt_tokens = 4000;
  CHECK_EQUAL(0, Choose(engines));
}

TEST_GROUP(NeedsAdmission){};

// Guards against a round trip to the agent for each request of a calm engine,
// and against sending more to a busy one: other routers may do the same.
TEST(NeedsAdmission, OnlyBusyEnginesAreAsked) {
  RequestGoal goal;
  goal.target_gap_ms = 300;
  EngineCandidate engine = MakeEngine(AdapterPlace::kResident, 4, 0);
  CHECK(!NeedsAdmission(engine, kPriorPace, goal));  // No agent that answers.
  engine.requests = 4;
  engine.unread_prompt_tokens = 0;
  engine.limits_prompts = true;
  CHECK(!NeedsAdmission(engine, kPriorPace, goal));
  engine.unread_prompt_tokens = 3000;
  CHECK(NeedsAdmission(engine, kPriorPace, goal));
  engine.limits_prompts = false;
  CHECK(!NeedsAdmission(engine, kPriorPace, goal));
  engine.requests = 60;
  CHECK(NeedsAdmission(engine, kPriorPace, goal));
}

// Guards against jitter that outweighs a load or a queue.
TEST(ChooseEngine, JitterDoesNotOutweighALoadOrAQueue) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 5, 0),
                        MakeEngine(AdapterPlace::kAbsent, 5, 1)};
  engines[0].jitter = 1;
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines)));
  engines[1] = MakeEngine(AdapterPlace::kResident, 5, 1);
  engines[0].jitter = 0;
  engines[0].queued = 4;
  engines[1].jitter = 1;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against cold loads on engines that happen to be idle, while the
// preferred engine is likely to have the adapter in its memory.
TEST(ChooseEngine, AbsentAdapterGoesToItsPreferredEngine) {
  const std::array engines = {MakeEngine(AdapterPlace::kAbsent, 0, 4),
                              MakeEngine(AdapterPlace::kAbsent, 9, 0)};
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against sending the cold adapters of all routers to one idle engine
// when the preferred engines are lost (for instance 14 of 54 engines). The
// choice must differ between adapters.
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
      // Engine 7 is idle; the others have some work.
      engines.push_back(
          MakeEngine(AdapterPlace::kAbsent, i == 7 ? 0 : 12, ranks[i]));
      engines.back().avoided = ranks[i] < 2;  // The preferred ones are lost.
    }
    ++chosen[*ChooseEngine(engines)];
  }
  CHECK(chosen[7] < 100);
  CHECK(chosen.size() > 30);
}

// Guards against waiting for an adapter place at an engine whose adapters are
// all in use.
TEST(ChooseEngine, AvoidsEnginesWithoutAFreePlace) {
  std::array engines = {MakeEngine(AdapterPlace::kAbsent, 5, 2),
                        MakeEngine(AdapterPlace::kAbsent, 5, 3)};
  engines[0].free_places = 0;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
  // The preferred engine is likely to hold the adapter in its memory.
  engines[0].affinity_rank = 0;
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines)));
}

// Guards against refusing requests while a failing engine is the only one left,
// and against choosing a failing engine while there are others.
TEST(ChooseEngine, AvoidedEnginesAreTheLastResort) {
  std::array engines = {MakeEngine(AdapterPlace::kResident, 0, 0),
                        MakeEngine(AdapterPlace::kUnknown, 60, 1)};
  engines[0].avoided = true;
  CHECK_EQUAL(1, static_cast<int>(*ChooseEngine(engines)));
  engines[1].tried = true;
  CHECK_EQUAL(0, static_cast<int>(*ChooseEngine(engines)));
  CHECK(!ChooseEngine({}).has_value());
}

// Guards against an order of preference that changes for all engines when one
// of them leaves, which would make most adapters cold at once.
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

// Guards against unnecessary traffic between data centres, and against queueing
// in the own data centre while another one is idle.
TEST(ChoosePlainServer, PrefersTheOwnDataCentreUntilItIsBusy) {
  std::array<PlainCandidate, 2> servers;
  servers[0].slots = servers[1].slots = 6;
  servers[1].same_data_centre = false;
  servers[0].in_flight = 1;
  CHECK_EQUAL(0, static_cast<int>(*ChoosePlainServer(servers)));
  servers[0].in_flight = 4;
  CHECK_EQUAL(1, static_cast<int>(*ChoosePlainServer(servers)));
}

// Guards against sending a call again to the server where it has just failed.
TEST(ChoosePlainServer, TriedServersAreTheLastResort) {
  std::array<PlainCandidate, 2> servers;
  servers[0].tried = true;
  servers[1].in_flight = 5;
  CHECK_EQUAL(1, static_cast<int>(*ChoosePlainServer(servers)));
  servers[1].tried = true;
  CHECK_EQUAL(0, static_cast<int>(*ChoosePlainServer(servers)));
}

}  // namespace amaranthcove
