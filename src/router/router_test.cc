#include "src/agent_link/test_status.h"
#include "src/router/fleet.h"
#include "src/router/store_feed.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

const Time kStart = Time(std::chrono::hours(1));
const AdapterName kSilk = {"base", "silk"};

RoutingConfig MakeConfig(std::int64_t version) {
  RoutingConfig config;
  config.version = version;
  ServiceSpec service;
  service.name = "care";
  service.engine.emplace();
  service.engine->adapter_places = 16;
  config.services["care"] = service;
  return config;
}

BackendServer MakeEngine(int number) {
  BackendServer server;
  server.id = "e" + std::to_string(number);
  server.service = "care";
  server.address = {"10.0.0." + std::to_string(number), 80};
  server.data_centre = "sofia-a";
  server.slots = 64;
  return server;
}

RequestInfo MakeRequestInfo() {
  RequestInfo info;
  info.model = kSilk.first;
  info.adapter = kSilk.second;
  return info;
}

std::string EncodeStatus(std::int64_t silk_version, int running) {
  agent_wire::EngineStatus status =
      MakeTestStatus(silk_version > 0 ? silk_version : -1);
  status.running = running;
  status.free_places = 8;
  return EncodeTestStatus(status);
}

}  // namespace

TEST_GROUP(Fleet) {
  AgentLinks links_{"r1", 1, [](const Address&, std::string_view) {}};
  Fleet fleet_{{"sofia-a", 7000, {0.2, 112, std::chrono::seconds(10)}}, links_};

  void setup() override {
    for (int number = 1; number <= 3; ++number) {
      fleet_.directory().Put(MakeEngine(number));
    }
    fleet_.SetConfig(MakeConfig(5));
    for (int number = 1; number <= 3; ++number) {
      const std::string status =
          EncodeStatus(number == 2 ? 4 : 0, number == 2 ? 3 : 0);
      links_.Receive({"10.0.0." + std::to_string(number), 7000}, status,
                     kStart);
    }
  }
};

// Guards against replacing the configuration with an older version.
TEST(Fleet, IgnoresConfigurationsThatAreNotNewer) {
  CHECK(!fleet_.SetConfig(MakeConfig(4)));
  CHECK(!fleet_.SetConfig(MakeConfig(5)));
  CHECK(fleet_.SetConfig(MakeConfig(9)));
  CHECK_EQUAL(9, static_cast<int>(fleet_.table().config().version));
}

// Guards against sending to an engine that lacks the adapter, or holds it in a
// version lower than the declared one.
TEST(Fleet, PlacesOnlyWhereTheDeclaredVersionIsResident) {
  const auto placement =
      fleet_.PlaceGeneration("care", MakeRequestInfo(), {}, {}, kStart);
  CHECK("e2" == placement->server.id);
  CHECK(placement->place == AdapterPlace::kResident);
  std::optional<std::int64_t> version;
  CHECK(fleet_.IsAdapterReady("e2", MakeRequestInfo(), kStart, version));
  CHECK_EQUAL(4, static_cast<int>(*version));
  CHECK(!fleet_.IsAdapterReady("e1", MakeRequestInfo(), kStart, version));
  fleet_.DeclareVersion(kSilk, 5);
  fleet_.DeclareVersion(kSilk, 3);
  CHECK(!fleet_.IsAdapterReady("e2", MakeRequestInfo(), kStart, version));
}

// Guards against new work for an engine that has announced that it leaves while
// its entry is still listed.
TEST(Fleet, LeavingEnginesGetNoWork) {
  const BackendServer before = *fleet_.directory().Find("e2");
  BackendServer leaving = before;
  leaving.leaving = true;
  fleet_.directory().Put(leaving);
  CHECK(!fleet_.IsServing(before));
  CHECK(fleet_.PlaceGeneration("care", MakeRequestInfo(), {}, {}, kStart)
            ->server.id != "e2");
}

// Guards against refusing all generations when the status of every engine has
// expired because no agent answers.
TEST(Fleet, PlacesWithoutAgents) {
  const Time later = kStart + std::chrono::seconds(10);
  const auto placement =
      fleet_.PlaceGeneration("care", MakeRequestInfo(), {}, {}, later);
  CHECK(placement.has_value());
  CHECK(placement->place == AdapterPlace::kUnknown);
}

// Guards against sending a whole burst to one engine because its status does
// not yet include the requests of the burst.
TEST(Fleet, CountsOwnSendsSinceTheLastStatus) {
  for (int i = 0; i < 40; ++i) {
    fleet_.BeginSend("e2", kStart + milliseconds(i));
  }
  CHECK(fleet_.PlaceGeneration("care", MakeRequestInfo(), {}, {}, kStart)
            ->server.id != "e2");
}

TEST_GROUP(StoreFeed){};

// Guards against a constant, high rate of retries while the store is down, and
// against delays that grow without bound.
TEST(StoreFeed, RetryDelaysGrowToABound) {
  const Duration at_once = Duration::zero();
  CHECK(StoreRetryDelay(1, at_once) == milliseconds(100));
  CHECK(StoreRetryDelay(2, at_once) == milliseconds(200));
  CHECK(StoreRetryDelay(50, at_once) == milliseconds(800));
}

// Guards against regaining contact late after the store was silent: calls to a
// silent store fail only after their whole time limit, so the full retry delay
// must not be added to it.
TEST(StoreFeed, RetryDelayExcludesTheDurationOfTheFailedCall) {
  CHECK(StoreRetryDelay(50, milliseconds(300)) == milliseconds(500));
  CHECK(StoreRetryDelay(50, milliseconds(1600)) == milliseconds(100));
}

}  // namespace amaranthcove
