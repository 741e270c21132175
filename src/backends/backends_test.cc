#include "amaranthcove/backends/backend_directory.h"
#include "amaranthcove/backends/backend_health.h"
#include "amaranthcove/backends/backend_pause.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;
using Kind = BackendDirectory::Change::Kind;

BackendServer MakeServer(std::string id, bool leaving = false) {
  BackendServer server;
  server.id = std::move(id);
  server.service = "care";
  server.address = {"10.0.0.1", 80};
  server.leaving = leaving;
  server.started_at_ms = 1000;
  return server;
}

const Time kStart = Time(std::chrono::hours(1));

}  // namespace

TEST_GROUP(BackendDirectory) {
  BackendDirectory directory_;

  bool IsServing(std::string_view id) const {
    for (const BackendServer* server : directory_.Serving("care")) {
      if (server->id == id) {
        return true;
      }
    }
    return false;
  }
};

// Guards against new work for a server that has announced that it leaves, even
// if a late copy of its earlier entry arrives afterwards.
TEST(BackendDirectory, LeavingServerNeverReturns) {
  directory_.Put(MakeServer("e1"));
  CHECK(IsServing("e1"));
  const auto changes = directory_.Put(MakeServer("e1", true));
  CHECK_EQUAL(1, static_cast<int>(changes.size()));
  CHECK(changes[0].kind == Kind::kLeaving);
  directory_.Put(MakeServer("e1"));
  CHECK(!IsServing("e1"));
}

// Guards against excluding a restarted server because the earlier start with
// the same id was leaving.
TEST(BackendDirectory, RestartWithTheSameIdServesAgain) {
  directory_.Put(MakeServer("e1", true));
  BackendServer restarted = MakeServer("e1");
  restarted.started_at_ms = 2000;
  const auto changes = directory_.Put(restarted);
  CHECK(changes[0].kind == Kind::kReplaced);
  CHECK(IsServing("e1"));
}

// Guards against dropping live servers whose entries expired during an outage
// of the list, and against keeping servers that do not return.
TEST(BackendDirectory, KeepsMissingServersForTheGrace) {
  directory_.Put(MakeServer("e1"));
  directory_.Put(MakeServer("e2"));
  directory_.StartGracePeriod(kStart);
  CHECK(directory_.ReplaceAll({}, kStart).empty());
  CHECK(IsServing("e1"));
  directory_.Put(MakeServer("e1"));
  const auto changes = directory_.Expire(kStart + kReturnGracePeriod);
  CHECK_EQUAL(1, static_cast<int>(changes.size()));
  CHECK("e2" == changes[0].server.id);
  CHECK(IsServing("e1"));
}

// Guards against keeping a server that had announced that it leaves for the
// grace period.
TEST(BackendDirectory, LeavingServerHasNoGrace) {
  directory_.Put(MakeServer("e1", true));
  directory_.StartGracePeriod(kStart);
  CHECK_EQUAL(1, static_cast<int>(directory_.Remove("e1", kStart).size()));
}

// Guards against a late heartbeat that adds a server again after it has left.
TEST(BackendDirectory, LateHeartbeatOfLeftServerIsIgnored) {
  directory_.Put(MakeServer("e1", true));
  directory_.Remove("e1", kStart);
  CHECK(directory_.Put(MakeServer("e1")).empty());
  CHECK(!IsServing("e1"));
}

// Guards against sending to an engine that died with its host while its entry
// is still listed next to that of its successor at the same address.
TEST(BackendDirectory, LaterStartSupersedesTheSameAddress) {
  directory_.Put(MakeServer("old"));
  BackendServer successor = MakeServer("new");
  successor.started_at_ms = 2000;
  directory_.Put(successor);
  CHECK(!IsServing("old"));
  CHECK(IsServing("new"));
  directory_.Put(MakeServer("old"));
  CHECK(!IsServing("old"));
}

// Guards against keeping servers after their removal without an outage.
TEST(BackendDirectory, RemovalOutsideOfTheGraceIsImmediate) {
  directory_.Put(MakeServer("e1"));
  CHECK_EQUAL(1, static_cast<int>(directory_.Remove("e1", kStart).size()));
  CHECK(directory_.empty());
}

TEST_GROUP(BackendHealth) {
  BackendHealth health_;
};

// Guards against sending more requests to a server that refuses connections.
TEST(BackendHealth, UnreachableServerIsAvoidedAtOnce) {
  RecordResult(health_, BackendResult::kNotReachable, kStart);
  CHECK(IsAvoided(health_, kStart + milliseconds(499)));
  CHECK(!IsAvoided(health_, kStart + milliseconds(500)));
}

// Guards against avoiding a server of a service that fails one request in seven
// by design, and against using a server that fails most requests.
TEST(BackendHealth, AvoidsServersThatFailMostRequests) {
  for (int i = 0; i < 140; ++i) {
    RecordResult(health_,
                 i % 7 == 0 ? BackendResult::kError : BackendResult::kServed,
                 kStart);
    CHECK(!IsAvoided(health_, kStart));
  }
  for (int i = 0; i < 12; ++i) {
    RecordResult(health_, BackendResult::kError, kStart);
  }
  CHECK(IsAvoided(health_, kStart));
}

// Guards against a constant backoff for a server that stays down.
TEST(BackendHealth, BackoffGrows) {
  RecordResult(health_, BackendResult::kNotReachable, kStart);
  const Time second = health_.avoided_until;
  RecordResult(health_, BackendResult::kNotReachable, second);
  CHECK(health_.avoided_until - second == milliseconds(1000));
}

// Guards against new work for a server that has said in an answer that it
// leaves, when its entry is listed again without that, and against a later
// start of it that gets no work.
TEST(BackendDirectory, ServersThatSayTheyLeaveStayLeaving) {
  const BackendServer server = MakeServer("e1");
  directory_.Put(server);
  CHECK_EQUAL(1, static_cast<int>(directory_.MarkLeaving(server).size()));
  CHECK(directory_.MarkLeaving(server).empty());
  CHECK(!IsServing("e1"));
  CHECK(directory_.Put(server).empty());
  CHECK(!IsServing("e1"));
  BackendServer next = server;
  next.started_at_ms = 2000;
  directory_.Put(next);
  CHECK(IsServing("e1"));
  // A late answer of the earlier start.
  CHECK(directory_.MarkLeaving(server).empty());
  CHECK(IsServing("e1"));
}

TEST_GROUP(BackendPause) {
  BackendPause pause_;
};

// Guards against a server that gets requests although it wants none, and
// against a pause that is shortened by a refusal that arrives late.
TEST(BackendPause, LastsAsLongAsAsked) {
  ExtendPause(pause_, std::chrono::seconds(2), 0, kStart);
  ExtendPause(pause_, std::chrono::seconds(1), 0, kStart);
  CHECK(PauseLeft(pause_, kStart) == std::chrono::seconds(2));
  CHECK(PauseLeft(pause_, kStart + std::chrono::milliseconds(1999)) >
        Duration::zero());
  CHECK(PauseLeft(pause_, kStart + std::chrono::seconds(2)) ==
        Duration::zero());
}

// Load: a server that refuses the requests of 100 routers at the same moment.
// Guards against all of them returning at the end of the pause together.
TEST(BackendPause, RoutersReturnOneAfterTheOther) {
  int soon = 0;
  for (int router = 0; router < 100; ++router) {
    BackendPause pause;
    ExtendPause(pause, std::chrono::seconds(2), router / 100.0, kStart);
    const Duration left = PauseLeft(pause, kStart);
    CHECK(left >= std::chrono::seconds(2));
    CHECK(left <= std::chrono::milliseconds(2400));
    soon += left < std::chrono::milliseconds(2100) ? 1 : 0;
  }
  CHECK(soon <= 26);
}

// Guards against an odd value that ends the use of a server.
TEST(BackendPause, OddTimesAreBounded) {
  ExtendPause(pause_, -std::chrono::hours(1), 1, kStart);
  CHECK(PauseLeft(pause_, kStart) == Duration::zero());
  ExtendPause(pause_, std::chrono::hours(10000), 1, kStart);
  CHECK(PauseLeft(pause_, kStart) <= std::chrono::minutes(6));
}

}  // namespace amaranthcove
