#include "amaranthcove/policy/queue.h"

#include <vector>

#include "amaranthcove/policy/eviction.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow{std::chrono::hours(1)};

TEST_GROUP(Eviction){};

// Guards against evicting an adapter that is in use (guarantee 2) or loading.
TEST(Eviction, NeverEvictsPinnedOrLoadingSlots) {
  std::vector<Slot> slots = {{.adapter = 1, .pins = 1},
                             {.adapter = 2, .loading = true}};
  CHECK_FALSE(ChooseVictim(slots, {}).has_value());
  slots.push_back({.adapter = 3, .rate = 9, .queued_urgent = 7});
  CHECK_EQUAL(2, *ChooseVictim(slots, {}));
}

// Guards against evicting adapters that are used often or that requests wait
// for.
TEST(Eviction, ChoosesEmptySlotOrLowestValue) {
  std::vector<Slot> slots = {{.adapter = 1, .rate = 0.01, .queued_urgent = 1},
                             {.adapter = 2, .rate = 0.02},
                             {.adapter = 3, .rate = 0.5}};
  CHECK_EQUAL(1, *ChooseVictim(slots, {}));
  slots.push_back({});
  CHECK_EQUAL(3, *ChooseVictim(slots, {}));
}

// Guards against patient requests that replace a frequently used adapter by a
// rarely used one.
TEST(Eviction, PatientLoadMustOutweighItsVictim) {
  const Slot hot{.adapter = 1, .rate = 1};
  CHECK_FALSE(IsPatientLoadWorthwhile(4, 0, hot, {}));
  CHECK(IsPatientLoadWorthwhile(40, 0, hot, {}));
  CHECK(IsPatientLoadWorthwhile(1, 0, {}, {}));
}

TEST_GROUP(Queue) {
  std::vector<Slot> slots =
      std::vector<Slot>{{.adapter = 1}, {.adapter = 2}, {}, {}};
  std::vector<WaitingRequest> requests;
  EngineView engine{.batch_places = 8};
  PopularityTable popularity;
  QueueSettings settings;

  void Add(AdapterKey adapter, bool urgent, Duration age = Duration(0)) {
    const Time arrival = kNow - age;
    const Duration deadline = urgent ? seconds(10) : seconds(600);
    requests.push_back({.adapter = adapter,
                        .arrival = arrival,
                        .deadline = arrival + deadline,
                        .urgent = urgent});
  }

  Step Next() {
    engine.slots = slots;
    return NextStep(requests, engine, popularity, settings, kNow);
  }
};

// Guards against starting a request after its deadline.
TEST(Queue, RefusesExpiredRequests) {
  Add(1, true);
  Add(1, true, seconds(10));
  const Step step = Next();
  CHECK(step.kind == StepKind::kRefuse);
  CHECK_EQUAL(1, step.request);
}

// Guards against urgent requests that wait for patient requests or for loads of
// other adapters.
TEST(Queue, StartsUrgentResidentRequestsByDeadline) {
  Add(1, false, seconds(200));
  Add(9, true, seconds(2));
  Add(2, true);
  Add(1, true, seconds(1));
  Step step = Next();
  CHECK(step.kind == StepKind::kStart);
  CHECK_EQUAL(3, step.request);
  CHECK_EQUAL(0, step.slot);
  requests = {requests[0], requests[1]};
  requests[0].adapter = 8;
  step = Next();
  CHECK(step.kind == StepKind::kLoad);
  CHECK_EQUAL(9, step.adapter);
  CHECK_EQUAL(2, step.slot);
  CHECK(step.urgent);
}

// Guards against patient requests that fill the batch places that urgent
// requests need, and against starvation of patient requests.
TEST(Queue, PatientRequestsLeaveReservedPlacesUntilPromoted) {
  engine.urgent_rate = 3;
  engine.running = 6;
  Add(1, false);
  const Step held = Next();
  CHECK(held.kind == StepKind::kHold);
  CHECK(held.hold_until == PromotionTime(requests[0]));
  requests.clear();
  Add(1, false, seconds(300));
  CHECK(Next().kind == StepKind::kStart);
}

// Guards against a patient request that pins the last slot into which the
// adapter of an urgent request could be loaded.
TEST(Queue, PatientRequestDoesNotPinTheLastUnpinnedSlot) {
  slots = {
      {.adapter = 1}, {.adapter = 2, .pins = 1}, {.adapter = 3, .pins = 1}};
  engine.running = 2;
  engine.urgent_rate = 3;
  Add(1, false);
  CHECK(Next().kind == StepKind::kHold);
  Add(2, false);
  CHECK_EQUAL(1, Next().request);
  engine.urgent_rate = 0;
  requests.pop_back();
  CHECK(Next().kind == StepKind::kStart);
}

// Guards against loads for single patient requests while the batch is full, and
// against patient loads into the last unpinned slot.
TEST(Queue, PatientLoadsAreGrouped) {
  engine.running = 8;
  Add(9, false);
  CHECK(Next().kind == StepKind::kHold);
  Add(9, false);
  Add(9, false);
  Add(9, false);
  CHECK(Next().kind == StepKind::kLoad);
  engine.urgent_rate = 3;
  slots = {{.adapter = 1, .pins = 2}, {.adapter = 2, .pins = 6}, {}};
  CHECK(Next().kind == StepKind::kHold);
  slots.push_back({});
  CHECK(Next().kind == StepKind::kLoad);
}

// Guards against loads that exceed the budget, and against a hold without an
// end time.
TEST(Queue, HoldsUntilTheBudgetAllowsALoad) {
  Add(9, true);
  engine.urgent_load_at = kNow + seconds(2);
  const Step step = Next();
  CHECK(step.kind == StepKind::kHold);
  CHECK(step.hold_until == kNow + seconds(2));
}

// Guards against a second load of an adapter that is already loading.
TEST(Queue, WaitsForALoadInFlight) {
  slots[2] = {.adapter = 9, .loading = true};
  Add(9, true);
  CHECK(Next().kind == StepKind::kHold);
}

// Guards against a request that waits forever because requests for frequently
// used adapters keep all slots in use.
TEST(Queue, DrainsASlotForABlockedRequest) {
  slots = {{.adapter = 1, .pins = 3, .rate = 2},
           {.adapter = 2, .pins = 1, .rate = 1}};
  engine.running = 4;
  Add(9, true, seconds(1));
  Add(2, true);
  CHECK(Next().kind == StepKind::kHold);
  requests[1].adapter = 1;
  CHECK(Next().kind == StepKind::kStart);
}

// Guards against running other requests at the same time as a suspect that must
// run alone (6.7), and against a suspect that waits forever.
TEST(Queue, SuspectsRunAlone) {
  Add(1, true, seconds(1));
  Add(2, true);
  requests[0].run_alone = true;
  engine.running = 2;
  CHECK(Next().kind == StepKind::kHold);
  engine.running = 0;
  CHECK_EQUAL(0, Next().request);
  engine.alone_running = true;
  engine.running = 1;
  CHECK(Next().kind == StepKind::kHold);
}

}  // namespace amaranthcove::policy
