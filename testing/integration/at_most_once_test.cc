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
  FleetFixture::SidecarNode* desk_ = nullptr;
  FleetFixture::EntryNode* first_ = nullptr;
  FleetFixture::EntryNode* second_ = nullptr;

  void setup() override {
    plain_ = &fleet_.AddPlainService();
    desk_ = &fleet_.AddPlainSidecar("desk-1", plain_->address());
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

  PendingCall Order(const FleetFixture::EntryNode& entry,
                    const std::string& key) {
    return fleet_.Call(entry.address(), "POST", kOrderPath, kOrder,
                       WithKey(key));
  }

  int Executions(const std::string& key) {
    return fleet_.Get(plain_->address(), "/_executions")["operations"].value(
        key, 0);
  }
};

// Guards against an order that runs without an operation id: a caller or the
// platform's balancer that repeats it would place it twice.
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

// Guards against a second run when the same order arrives through another entry
// while the first still runs, and again after it ended.
TEST(AtMostOnce, RepeatsThroughOtherEntryGetTheSameAnswer) {
  fleet_.Control(plain_->address(), {{"delay_ms", 300}});
  const std::string key = NewKey();
  const auto running =
      fleet_.Start(first_->address(), "POST", kOrderPath, kOrder, WithKey(key));
  CHECK(
      fleet_.RunUntil([&] { return desk_->sidecar->backend().active() == 1; }));
  const PendingCall joined = Order(*second_, key);
  CHECK(fleet_.RunUntil([&] { return running->end.has_value(); }));
  const PendingCall again = Order(*second_, key);
  CHECK_EQUAL(200, running->response.status);
  STRCMP_EQUAL(running->response.body.c_str(), joined.response.body.c_str());
  STRCMP_EQUAL(running->response.body.c_str(), again.response.body.c_str());
  CHECK_EQUAL(1, Executions(key));
}

// Guards against a second run after the answer of the first was lost between
// the backend server and its sidecar.
TEST(AtMostOnce, LostAnswerIsUnknownAndNotRepeated) {
  fleet_.Control(plain_->address(), {{"lose_next_answers", 1}});
  const std::string key = NewKey();
  for (const FleetFixture::EntryNode* entry : {first_, second_, first_}) {
    const PendingCall call = Order(*entry, key);
    STRCMP_EQUAL("unknown", call.Error("outcome").c_str());
  }
  CHECK_EQUAL(1, Executions(key));
}

// Guards against a replaced sidecar that takes an order of its predecessor,
// which may have run, for a fresh one.
TEST(AtMostOnce, ReplacedSidecarAnswersUnknown) {
  const std::string key = NewKey();
  CHECK_EQUAL(200, Order(*first_, key).response.status);
  fleet_.Kill(*desk_);
  FleetFixture::SidecarNode& replacement =
      fleet_.AddPlainSidecar("desk-1", plain_->address());
  // Both entries must use the replacement before the order is sent again.
  CHECK(fleet_.RunUntil([&] {
    const std::string fresh = NewKey();
    return !fresh.empty() && Order(*second_, fresh).response.status == 200;
  }));
  CHECK(replacement.sidecar->counters().submitted > 0);
  for (const FleetFixture::EntryNode* entry : {first_, second_}) {
    const PendingCall call = Order(*entry, key);
    STRCMP_EQUAL("unknown", call.Error("outcome").c_str());
  }
  CHECK_EQUAL(1, Executions(key));
}

// Guards against `not_run` about an order whose sidecar cannot be asked: it may
// have run through another entry.
TEST(AtMostOnce, UnreachableSidecarIsUnknown) {
  const std::string key = NewKey();
  CHECK_EQUAL(200, Order(*first_, key).response.status);
  fleet_.Kill(*desk_);
  const PendingCall call = Order(*second_, key);
  STRCMP_EQUAL("unknown", call.Error("outcome").c_str());
}

// Guards against `not_run` about an order that ran before its service was taken
// out of the document.
TEST(AtMostOnce, RemovedServiceIsUnknownForKnownOrder) {
  const std::string key = NewKey();
  CHECK_EQUAL(200, Order(*first_, key).response.status);
  std::string text = kAtelierDocument;
  text.erase(text.find("[plain booking]"));
  fleet_.PutDocument("atelier", text);
  CHECK(fleet_.RunUntil([&] {
    return first_->entry->Dump(
               fleet_.loop().Now())["documents"]["atelier"]["revision"] != 1;
  }));
  const PendingCall call = Order(*first_, key);
  STRCMP_EQUAL("unknown", call.Error("outcome").c_str());
}

// Guards against an order that runs on a leaving server after its caller was
// told that it has not, and against a lost answer there.
TEST(AtMostOnce, LeavingSidecarRetiresFreshAndReplaysOld) {
  const std::string old_key = NewKey();
  const std::string fresh_key = NewKey();
  const PendingCall placed = Order(*first_, old_key);
  // Keeps the sidecar's process alive as if it still had work.
  desk_->sidecar->Leave();
  const PendingCall replayed = Order(*second_, old_key);
  STRCMP_EQUAL(placed.response.body.c_str(), replayed.response.body.c_str());
  const PendingCall refused = Order(*second_, fresh_key);
  STRCMP_EQUAL("not_run", refused.Error("outcome").c_str());
  STRCMP_EQUAL("operation_retired", refused.Error("code").c_str());
  STRCMP_EQUAL("not_run", Order(*first_, fresh_key).Error("outcome").c_str());
  CHECK_EQUAL(0, Executions(fresh_key));
}

// Guards against another request that runs, or gets an answer that is not its
// own, under a used id.
TEST(AtMostOnce, IdBelongsToOneRequest) {
  const std::string key = NewKey();
  CHECK_EQUAL(200, Order(*first_, key).response.status);
  const PendingCall other = fleet_.Call(second_->address(), "POST", kOrderPath,
                                        R"({"item":"ash"})", WithKey(key));
  STRCMP_EQUAL("operation_mismatch", other.Error("code").c_str());
  CHECK_EQUAL(1, Executions(key));
}

// Guards against a caller that goes away: its order must run to the end, and a
// repeat finds the answer.
TEST(AtMostOnce, CallerGoneDoesNotInterruptOrder) {
  fleet_.Control(plain_->address(), {{"delay_ms", 400}});
  const std::string key = NewKey();
  const auto call =
      fleet_.Start(first_->address(), "POST", kOrderPath, kOrder, WithKey(key));
  CHECK(
      fleet_.RunUntil([&] { return desk_->sidecar->backend().active() == 1; }));
  fleet_.HangUp(call);
  CHECK_EQUAL(200, Order(*second_, key).response.status);
  CHECK_EQUAL(1, Executions(key));
}

// Guards against a dead server that blocks fresh orders on the others.
TEST(AtMostOnce, DeadServerDoesNotBlockFreshOrders) {
  fleet_.AddPlainSidecar("desk-2", plain_->address());
  CHECK(fleet_.WaitReady());
  fleet_.Kill(*desk_);
  int placed = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string key = NewKey();
    if (!key.empty() && Order(*first_, key).response.status == 200) {
      ++placed;
    }
  }
  CHECK_EQUAL(20, placed);
}

}  // namespace amaranthcove::testing
