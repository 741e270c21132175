#include "testing/integration/fleet_fixture.h"
#include "testing/integration/relay.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::testing {

namespace {

constexpr char kOrderPath[] = "/s/atelier/booking/orders";
constexpr char kOrder[] = R"({"item":"oak peg"})";

HttpHeaders WithKey(const std::string& key) {
  return {{"Idempotency-Key", key}};
}

}  // namespace

TEST_GROUP(AtMostOnce) {
  FleetFixture fleet_;
  FleetFixture::Server* plain_ = nullptr;
  FleetFixture::SidecarNode* plain_sidecar_ = nullptr;
  FleetFixture::EntryNode* first_ = nullptr;
  FleetFixture::EntryNode* second_ = nullptr;

  void setup() override {
    plain_ = &fleet_.AddPlainService();
    plain_sidecar_ = &fleet_.AddPlainSidecar("desk-1", plain_->address());
    first_ = &fleet_.AddEntry("entry-1");
    second_ = &fleet_.AddEntry("entry-2");
    CHECK(fleet_.WaitReady());
  }

  std::string NewKey() {
    const PendingCall call =
        fleet_.Call(first_->address(), "POST", "/v1/operations",
                    R"({"team":"atelier","service":"booking"})");
    return call.Json().value("operation_id", std::string());
  }

  PendingCall PlaceOrder(const FleetFixture::EntryNode& entry,
                         const std::string& key) {
    return fleet_.Call(entry.address(), "POST", kOrderPath, kOrder,
                       WithKey(key));
  }

  int Executions(const std::string& key) {
    return fleet_.Get(plain_->address(), "/_executions")["operations"].value(
        key, 0);
  }
};

// Guards against an order that runs without an issued operation id. A caller or
// the platform's load balancer may repeat such an order and place it twice.
TEST(AtMostOnce, OrderWithoutIdNeverRuns) {
  for (const char* key : {"", "b9a7e0f2-made-by-the-caller", "op1.desk-1.1"}) {
    const PendingCall call = fleet_.Call(first_->address(), "POST", kOrderPath,
                                         kOrder, WithKey(key));
    CHECK_EQUAL(428, call.response.status);
    STRCMP_EQUAL("not_run", call.Error("outcome").c_str());
    CHECK_FALSE(FindHeader(call.response.headers, "Idempotency-Key").empty());
  }
  const nlohmann::json executions =
      fleet_.Get(plain_->address(), "/_executions");
  CHECK_EQUAL(0, executions.value("total", -1));
}

// Guards against a second execution when the same order arrives through another
// entry while the first execution is running, and again after it has ended.
TEST(AtMostOnce, RepeatsThroughOtherEntryGetTheSameAnswer) {
  fleet_.Control(plain_->address(), {{"delay_ms", 300}});
  const std::string key = NewKey();
  const auto running =
      fleet_.Start(first_->address(), "POST", kOrderPath, kOrder, WithKey(key));
  CHECK(fleet_.RunUntil(
      [&] { return plain_sidecar_->sidecar->backend().active() == 1; }));
  const PendingCall joined = PlaceOrder(*second_, key);
  CHECK(fleet_.RunUntil([&] { return running->end.has_value(); }));
  const PendingCall again = PlaceOrder(*second_, key);
  CHECK_EQUAL(200, running->response.status);
  STRCMP_EQUAL(running->response.body.c_str(), joined.response.body.c_str());
  STRCMP_EQUAL(running->response.body.c_str(), again.response.body.c_str());
  CHECK_EQUAL(1, Executions(key));
}

// Guards against a second execution after the answer of the first one was lost
// between the backend server and its sidecar.
TEST(AtMostOnce, LostAnswerIsUnknownAndNotRepeated) {
  fleet_.Control(plain_->address(), {{"lose_next_answers", 1}});
  const std::string key = NewKey();
  for (const FleetFixture::EntryNode* entry : {first_, second_, first_}) {
    const PendingCall call = PlaceOrder(*entry, key);
    STRCMP_EQUAL("unknown", call.Error("outcome").c_str());
  }
  CHECK_EQUAL(1, Executions(key));
}

// Guards against a replacement sidecar that runs an order whose operation id
// belongs to the previous process, where the order may have run.
TEST(AtMostOnce, ReplacedSidecarAnswersUnknown) {
  const std::string key = NewKey();
  CHECK_EQUAL(200, PlaceOrder(*first_, key).response.status);
  fleet_.Kill(*plain_sidecar_);
  FleetFixture::SidecarNode& replacement =
      fleet_.AddPlainSidecar("desk-1", plain_->address());
  // Both entries must use the replacement before the order is sent again.
  CHECK(fleet_.RunUntil([&] {
    const std::string fresh = NewKey();
    return !fresh.empty() && PlaceOrder(*second_, fresh).response.status == 200;
  }));
  CHECK(replacement.sidecar->counters().submitted > 0);
  for (const FleetFixture::EntryNode* entry : {first_, second_}) {
    const PendingCall call = PlaceOrder(*entry, key);
    STRCMP_EQUAL("unknown", call.Error("outcome").c_str());
  }
  CHECK_EQUAL(1, Executions(key));
}

// Guards against the outcome `not_run` for an order whose sidecar is
// unreachable. The order may have run through another entry.
TEST(AtMostOnce, UnreachableSidecarIsUnknown) {
  const std::string key = NewKey();
  CHECK_EQUAL(200, PlaceOrder(*first_, key).response.status);
  fleet_.Kill(*plain_sidecar_);
  const PendingCall call = PlaceOrder(*second_, key);
  STRCMP_EQUAL("unknown", call.Error("outcome").c_str());
}

// Guards against the outcome `not_run` for an order that ran before its service
// was removed from the document.
TEST(AtMostOnce, RemovedServiceIsUnknownForKnownOrder) {
  const std::string key = NewKey();
  CHECK_EQUAL(200, PlaceOrder(*first_, key).response.status);
  std::string text = kAtelierDocument;
  text.erase(text.find("[plain booking]"));
  fleet_.PutDocument("atelier", text);
  CHECK(fleet_.RunUntil([&] {
    return first_->entry->Dump(
               fleet_.loop().Now())["documents"]["atelier"]["revision"] != 1;
  }));
  const PendingCall call = PlaceOrder(*first_, key);
  STRCMP_EQUAL("unknown", call.Error("outcome").c_str());
}

// Guards against a leaving sidecar that runs an order after its caller received
// `not_run`, and against one that loses the answer of an order that has run.
TEST(AtMostOnce, LeavingSidecarRetiresUnusedIdsAndReplaysAnswers) {
  const std::string old_key = NewKey();
  const std::string fresh_key = NewKey();
  const PendingCall placed = PlaceOrder(*first_, old_key);
  // Here `Leave` does not end the sidecar, as if it still had work.
  plain_sidecar_->sidecar->Leave();
  const PendingCall replayed = PlaceOrder(*second_, old_key);
  STRCMP_EQUAL(placed.response.body.c_str(), replayed.response.body.c_str());
  const PendingCall refused = PlaceOrder(*second_, fresh_key);
  STRCMP_EQUAL("not_run", refused.Error("outcome").c_str());
  STRCMP_EQUAL("operation_retired", refused.Error("code").c_str());
  STRCMP_EQUAL("not_run",
               PlaceOrder(*first_, fresh_key).Error("outcome").c_str());
  CHECK_EQUAL(0, Executions(fresh_key));
}

// Guards against a different request that reuses an operation id and is run or
// gets the answer of the first request.
TEST(AtMostOnce, ReusedIdForOtherRequestIsRejected) {
  const std::string key = NewKey();
  CHECK_EQUAL(200, PlaceOrder(*first_, key).response.status);
  const PendingCall other = fleet_.Call(second_->address(), "POST", kOrderPath,
                                        R"({"item":"ash"})", WithKey(key));
  STRCMP_EQUAL("operation_mismatch", other.Error("code").c_str());
  CHECK_EQUAL(1, Executions(key));
}

// Guards against an order that is interrupted when its caller disconnects. It
// must run to the end, and a repeat must get its answer.
TEST(AtMostOnce, CallerGoneDoesNotInterruptOrder) {
  fleet_.Control(plain_->address(), {{"delay_ms", 400}});
  const std::string key = NewKey();
  const auto call =
      fleet_.Start(first_->address(), "POST", kOrderPath, kOrder, WithKey(key));
  CHECK(fleet_.RunUntil(
      [&] { return plain_sidecar_->sidecar->backend().active() == 1; }));
  fleet_.Disconnect(call);
  CHECK_EQUAL(200, PlaceOrder(*second_, key).response.status);
  CHECK_EQUAL(1, Executions(key));
}

// Guards against a dead sidecar that makes new orders fail although another
// sidecar offers the service.
TEST(AtMostOnce, DeadServerDoesNotBlockFreshOrders) {
  fleet_.AddPlainSidecar("desk-2", plain_->address());
  CHECK(fleet_.WaitReady());
  fleet_.Kill(*plain_sidecar_);
  int placed = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string key = NewKey();
    if (!key.empty() && PlaceOrder(*first_, key).response.status == 200) {
      ++placed;
    }
  }
  CHECK_EQUAL(20, placed);
}

}  // namespace amaranthcove::testing
