#include "amaranthcove/adapter_agent/adapter_plan.h"

#include <array>

#include "amaranthcove/adapter_agent/demand_table.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Action = AdapterOrder::Action;

const Time kStart = Time(std::chrono::hours(1));
constexpr EngineCapacity kCapacity = {3, 70'000};

WantedAdapter MakeWanted(std::string adapter,
                         int waiting,
                         int running,
                         std::int64_t version = 0) {
  WantedAdapter wanted;
  wanted.target = {"base", std::move(adapter), version};
  wanted.waiting = waiting;
  wanted.running = running;
  wanted.waiting_since = kStart;
  return wanted;
}

EngineReport MakeReport(std::initializer_list<const char*> resident) {
  EngineReport report;
  report.models = {"base"};
  for (const char* adapter : resident) {
    report.resident.push_back({"base", adapter, 1});
  }
  return report;
}

}  // namespace

TEST_GROUP(AdapterPlan) {
  LastUseTimes last_uses_;
  PendingUnloads unloading_;
  const std::array<AgentModel, 1> models_ = {{{"base", 65'000}}};

  std::optional<AdapterOrder> Next(const EngineReport& report,
                                   std::span<const WantedAdapter> wanted) {
    return NextOrder(report, kCapacity, models_, wanted, last_uses_,
                     unloading_);
  }
};

// Guards against evicting an adapter that requests use or wait for because it
// is the least recently used one.
TEST(AdapterPlan, AdaptersInUseAreNeverEvicted) {
  const EngineReport report = MakeReport({"a", "b", "c"});
  last_uses_[{"base", "a"}] = kStart;
  last_uses_[{"base", "b"}] = kStart + seconds(1);
  last_uses_[{"base", "c"}] = kStart + seconds(2);
  std::array wanted = {MakeWanted("d", 1, 0), MakeWanted("a", 0, 1),
                       MakeWanted("b", 1, 0), MakeWanted("c", 0, 0)};
  const auto order = Next(report, wanted);
  CHECK(order.has_value());
  CHECK(order->action == Action::kUnload);
  CHECK("c" == order->target.adapter);
  wanted[3] = MakeWanted("c", 0, 2);
  CHECK(!Next(report, wanted).has_value());
}

// Guards against repeating an unload order while the engine waits for the runs
// of the adapter, and against unloading more adapters than places are needed.
TEST(AdapterPlan, WaitsForPendingUnloads) {
  const EngineReport report = MakeReport({"a", "b", "c"});
  unloading_ = {{"base", "a"}};
  const std::array one = {MakeWanted("d", 1, 0)};
  CHECK(!Next(report, one).has_value());
  const std::array two = {MakeWanted("d", 1, 0), MakeWanted("e", 1, 0)};
  CHECK("b" == Next(report, two)->target.adapter);
}

// Guards against an order that exceeds the adapter places of an engine, which
// crashes it. Adapters that are still loading take places too.
TEST(AdapterPlan, LoadingAdaptersTakePlaces) {
  EngineReport report = MakeReport({"a", "b"});
  report.loading = {{"base", "c", 1}};
  const std::array wanted = {MakeWanted("d", 1, 0), MakeWanted("a", 0, 1),
                             MakeWanted("b", 0, 1)};
  CHECK(!Next(report, wanted).has_value());
  CHECK_EQUAL(0, FreePlaces(report, kCapacity, wanted));
}

// Guards against loading adapters for less urgent requests before those for
// urgent ones, or those of younger requests before those of older ones.
TEST(AdapterPlan, LoadsByRankThenByWaitingTime) {
  const EngineReport report = MakeReport({});
  std::array wanted = {MakeWanted("patient", 5, 0), MakeWanted("young", 1, 0),
                       MakeWanted("old", 1, 0)};
  wanted[0].rank = 4;
  wanted[1].waiting_since = kStart + milliseconds(5);
  CHECK("old" == Next(report, wanted)->target.adapter);
}

// Guards against a cold engine that first loads adapters of single requests
// while many requests wait for a popular adapter. Occurs after a restart of all
// machines.
TEST(AdapterPlan, AdapterWithMoreWaitingRequestsLoadsFirst) {
  const EngineReport report = MakeReport({});
  std::array wanted = {MakeWanted("rare", 1, 0), MakeWanted("popular", 9, 0)};
  wanted[1].waiting_since = kStart + milliseconds(50);
  CHECK("popular" == Next(report, wanted)->target.adapter);
}

// Guards against engines that each keep four loads in progress while the weight
// store divides its rate among 48 engines. Occurs after a cold restart of all
// engines.
TEST(AdapterPlan, SlowLoadsLowerTheConcurrentLoadLimit) {
  CHECK_EQUAL(4, ConcurrentLoadLimit(25));
  CHECK_EQUAL(4, ConcurrentLoadLimit(270));
  CHECK_EQUAL(2, ConcurrentLoadLimit(560));
  CHECK_EQUAL(1, ConcurrentLoadLimit(5000));
  EngineReport report = MakeReport({});
  report.loading = {{"base", "x", 1}, {"base", "y", 1}};
  const std::array wanted = {MakeWanted("z", 1, 0)};
  CHECK(Next(report, wanted).has_value());
  CHECK(
      !NextOrder(report, kCapacity, models_, wanted, last_uses_, unloading_, 2)
           .has_value());
}

// Guards against an expected wait that leaves out the queued loads, so that
// routers send further loads to an engine with a long queue.
TEST(AdapterPlan, LoadWaitIncludesQueuedLoads) {
  EngineReport report = MakeReport({});
  DOUBLES_EQUAL(250, LoadWaitMs(report, {}, 250), 1);
  report.loading = {
      {"base", "w", 1}, {"base", "x", 1}, {"base", "y", 1}, {"base", "z", 1}};
  std::array wanted = {MakeWanted("a", 1, 0), MakeWanted("b", 1, 0),
                       MakeWanted("c", 1, 0), MakeWanted("d", 1, 0)};
  DOUBLES_EQUAL(250 * (1 + 5 / 4.0), LoadWaitMs(report, wanted, 250), 1);
  for (WantedAdapter& late : wanted) {
    late.rank = 1;
  }
  DOUBLES_EQUAL(250 * (1 + 2 / 4.0), LoadWaitMs(report, wanted, 250), 1);
}

// Guards against requests for a new version that wait forever because an older
// one is resident, and against needless orders when the resident version
// serves.
TEST(AdapterPlan, ReplacesOlderVersions) {
  const EngineReport report = MakeReport({"a", "b", "c"});
  const std::array newer = {MakeWanted("a", 1, 0, 2)};
  CHECK(*Next(report, newer) ==
        (AdapterOrder{Action::kLoad, {"base", "a", 2}}));
  const std::array same = {MakeWanted("a", 1, 0, 1)};
  CHECK(!Next(report, same).has_value());
}

// Guards against an engine that restarted without a model and never gets one,
// and against orders for adapters before its model is loaded.
TEST(AdapterPlan, EngineWithoutModelLoadsModelFirst) {
  EngineReport report;
  const std::array wanted = {MakeWanted("a", 1, 0)};
  CHECK(*Next(report, wanted) ==
        (AdapterOrder{Action::kLoad, {"base", "", 0}}));
  CHECK(Next(report, {}).has_value());
  report.ordering = true;
  CHECK(!Next(report, wanted).has_value());
  const std::array<AgentModel, 1> too_large = {{{"base", 80'000}}};
  report.ordering = false;
  CHECK(!NextOrder(report, kCapacity, too_large, wanted, last_uses_, unloading_)
             .has_value());
}

TEST_GROUP(DemandTable) {
  DemandTable table_;
  const Address router_a_ = {"10.0.0.1", 7000};
  const Address router_b_ = {"10.0.0.2", 7000};

  static RouterDemand MakeDemand(std::int64_t sequence, WantedAdapter use) {
    RouterDemand demand;
    demand.incarnation = 1;
    demand.sequence = sequence;
    demand.uses = {std::move(use)};
    demand.capacity = kCapacity;
    return demand;
  }
};

// Guards against a reordered datagram that replaces a newer demand, and against
// rejecting the demands of a restarted router because its sequence starts anew.
TEST(DemandTable, RejectsStaleDemandsOfTheSameIncarnation) {
  CHECK(table_.Put(router_a_, MakeDemand(5, MakeWanted("a", 1, 0)), kStart));
  CHECK(!table_.Put(router_a_, MakeDemand(4, MakeWanted("b", 1, 0)), kStart));
  CHECK("a" == table_.Wanted()[0].target.adapter);
  RouterDemand restarted = MakeDemand(1, MakeWanted("c", 1, 0));
  restarted.incarnation = 2;
  CHECK(table_.Put(router_a_, restarted, kStart));
  CHECK("c" == table_.Wanted()[0].target.adapter);
}

// Guards against the demand of one router replacing that of another.
TEST(DemandTable, SumsDemandsOverRouters) {
  WantedAdapter urgent = MakeWanted("a", 2, 0, 3);
  WantedAdapter patient = MakeWanted("a", 1, 4);
  patient.rank = 4;
  table_.Put(router_a_, MakeDemand(1, patient), kStart);
  table_.Put(router_b_, MakeDemand(1, urgent), kStart + seconds(1));
  const auto wanted = table_.Wanted();
  CHECK_EQUAL(1, static_cast<int>(wanted.size()));
  CHECK_EQUAL(3, wanted[0].waiting);
  CHECK_EQUAL(4, wanted[0].running);
  CHECK_EQUAL(0, wanted[0].rank);
  CHECK_EQUAL(3, static_cast<int>(wanted[0].target.version));
  CHECK(wanted[0].waiting_since == kStart);
}

// Guards against adapters that stay resident because of a router that no longer
// runs.
TEST(DemandTable, UnrepeatedDemandsExpire) {
  table_.Put(router_a_, MakeDemand(1, MakeWanted("a", 0, 1)), kStart);
  table_.Expire(kStart + DemandTable::kDemandLifetime);
  CHECK(table_.Wanted().empty());
  CHECK(table_.Routers().empty());
}

}  // namespace amaranthcove
