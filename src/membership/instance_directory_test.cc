#include "amaranthcove/membership/instance_directory.h"

#include <map>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr Time kNow{std::chrono::hours(1)};

InstanceRecord Engine(const std::string& name,
                      const std::string& region = "sofia",
                      InstanceState state = InstanceState::kLive) {
  return {name,
          InstanceRole::kSidecar,
          {"127.0.0.1", 1},
          region,
          region + "-1",
          state,
          {OfferKind::kEngine, "base-1", "", ""}};
}

std::string Names(const std::vector<ServerCandidate>& servers) {
  std::string names;
  for (const ServerCandidate& server : servers) {
    names += server.instance->record.instance + " ";
  }
  return names;
}

void Apply(InstanceDirectory& directory,
           std::int64_t revision,
           const InstanceRecord& record) {
  directory.ApplyList(revision, {&record, 1});
}

}  // namespace

TEST_GROUP(InstanceDirectory) {
  InstanceDirectory directory;

  std::string Servers() const {
    return Names(directory.ServersForModel("base-1", "sofia", kNow));
  }
};

// Guards against new requests to a server that has announced that it is leaving
// while it is still live in the list, and against its next incarnation staying
// unused.
TEST(InstanceDirectory, LeavingEndsWithTheIncarnation) {
  Apply(directory, 1, Engine("e1"));
  directory.OnHello(Engine("e1"), 11);
  directory.OnLeaving("e1", 11);
  STRCMP_EQUAL("", Servers().c_str());
  Apply(directory, 2, Engine("e1"));
  STRCMP_EQUAL("", Servers().c_str());
  CHECK_EQUAL(1U,
              directory.ConnectTargets(InstanceRole::kSidecar, kNow).size());
  CHECK(directory.OnHello(Engine("e1"), 12) == HelloResult::kNewIncarnation);
  Apply(directory, 3, Engine("e1"));
  STRCMP_EQUAL("e1 ", Servers().c_str());
}

// Guards against late messages of a replaced process that take its successor
// out of service.
TEST(InstanceDirectory, IgnoresReplacedIncarnations) {
  directory.OnHello(Engine("e1"), 11);
  directory.OnHello(Engine("e1"), 12);
  CHECK(directory.OnHello(Engine("e1"), 11) == HelloResult::kPastIncarnation);
  directory.OnLeaving("e1", 11);
  STRCMP_EQUAL("e1 ", Servers().c_str());
  CHECK_EQUAL(12, directory.Find("e1")->incarnation);
}

// Guards against an outdated replica of the list that adds gone instances
// again.
TEST(InstanceDirectory, IgnoresOlderListAnswers) {
  Apply(directory, 5, Engine("e1", "sofia", InstanceState::kGone));
  Apply(directory, 4, Engine("e1"));
  CHECK_EQUAL(1, directory.stale_answers());
  directory.RemoveGone();
  Apply(directory, 4, Engine("e1"));
  STRCMP_EQUAL("", Servers().c_str());
  CHECK(directory.Find("e1") == nullptr);
}

// Guards against a repeated list answer that overrides a later `Hello`.
TEST(InstanceDirectory, RepeatedAnswerDoesNotOverrideHello) {
  const InstanceRecord gone = Engine("e1", "sofia", InstanceState::kGone);
  Apply(directory, 5, gone);
  directory.OnHello(Engine("e1"), 12);
  Apply(directory, 5, gone);
  STRCMP_EQUAL("e1 ", Servers().c_str());
}

// Guards against sending requests to servers in other regions or on probation
// while there are healthy servers in the own region.
TEST(InstanceDirectory, OrdersByRegionThenProbation) {
  for (const char* name : {"a", "b", "c"}) {
    Apply(directory, 1, Engine(name, name[0] == 'a' ? "graz" : "sofia"));
  }
  STRCMP_EQUAL("b c a ", Servers().c_str());
  directory.OnSilence("b", kNow);
  STRCMP_EQUAL("c b a ", Servers().c_str());
  directory.OnAnswer("b");
  STRCMP_EQUAL("b c a ", Servers().c_str());
}

// Guards against plain calls of one team that reach the service of another
// team.
TEST(InstanceDirectory, FindsPlainServicesByTeam) {
  InstanceRecord desk = Engine("p1");
  desk.backend = {OfferKind::kPlain, "", "team", "booking"};
  Apply(directory, 1, desk);
  const auto count = [&](const char* team, const char* service) {
    return directory.ServersForService(team, service, "sofia", kNow).size();
  };
  CHECK_EQUAL(1U, count("team", "booking"));
  CHECK_EQUAL(0U, count("other", "booking"));
  CHECK_EQUAL(0U, count("team", "stock"));
  STRCMP_EQUAL("", Servers().c_str());
}

// Guards against leaving entries being chosen as readers or peers.
TEST(InstanceDirectory, ListsLiveEntries) {
  for (const char* name : {"entry-1", "entry-2"}) {
    InstanceRecord entry = Engine(name);
    entry.role = InstanceRole::kEntry;
    entry.backend = {};
    directory.OnHello(entry, 1);
  }
  CHECK_EQUAL(2U, directory.EntriesOf("sofia-1").size());
  CHECK_EQUAL(0U, directory.EntriesOf("sofia-2").size());
  directory.OnLeaving("entry-1", 1);
  CHECK_EQUAL(1U, directory.LiveEntries().size());
}

// Guards against a peer that applies changes after a gap and never receives the
// changes in between, and against gone instances that stay in a peer's
// directory because they have been removed from all others.
TEST(InstanceDirectory, ForwardsChangesWithoutGaps) {
  Apply(directory, 1, Engine("e1"));
  Apply(directory, 2, Engine("e2"));
  InstanceDirectory peer;
  CHECK(peer.ApplyChanges(directory.ChangesAfter(1)) == ApplyResult::kGap);
  CHECK_EQUAL(0, peer.list_revision());
  CHECK(peer.ApplyChanges(directory.ChangesAfter(0)) == ApplyResult::kApplied);
  CHECK(peer.ApplyChanges(directory.ChangesAfter(0)) == ApplyResult::kUpToDate);
  CHECK_EQUAL(2U, peer.ServersForModel("base-1", "sofia", kNow).size());
  Apply(directory, 3, Engine("e1", "sofia", InstanceState::kGone));
  directory.RemoveGone(1);
  CHECK(!directory.ChangesAfter(2).complete);
  directory.RemoveGone(0);
  CHECK(directory.Find("e1") == nullptr);
  CHECK(peer.ApplyChanges(directory.ChangesAfter(2)) == ApplyResult::kApplied);
  STRCMP_EQUAL("e2 ",
               Names(peer.ServersForModel("base-1", "sofia", kNow)).c_str());
}

// Guards against a replacement at another address that stays unused because its
// predecessor was leaving, and against late messages of the predecessor.
TEST(InstanceDirectory, NewListedAddressEndsLeaving) {
  Apply(directory, 1, Engine("e1"));
  directory.OnHello(Engine("e1"), 11);
  directory.OnLeaving("e1", 11);
  InstanceRecord moved = Engine("e1");
  moved.address.port = 2;
  Apply(directory, 2, moved);
  directory.OnLeaving("e1", 11);
  STRCMP_EQUAL("e1 ", Servers().c_str());
  CHECK_EQUAL(2, directory.Find("e1")->record.address.port);
}

// Guards against returning a server whose current incarnation is leaving, and
// against a decreasing list revision, under random sequences of list answers,
// restarts, late messages and leaving notices.
TEST(InstanceDirectory, LeavingServersAreNeverCandidates) {
  CHECK(rc::check([] {
    InstanceDirectory instances;
    std::map<std::string, Incarnation> current;
    std::set<std::string> leaving;
    const int steps = *rc::gen::inRange(1, 50);
    for (int step = 0; step < steps; ++step) {
      const std::string name(1, static_cast<char>(*rc::gen::inRange('a', 'd')));
      const std::int64_t before = instances.list_revision();
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          instances.OnHello(Engine(name), ++current[name]);
          leaving.erase(name);
          break;
        case 1:
          if (current[name] > 0) {
            leaving.insert(name);
          }
          instances.OnLeaving(name, current[name]);
          break;
        case 2:
          // A late message or another connection.
          if (const Incarnation old = current[name] - *rc::gen::inRange(0, 3);
              old > 0) {
            instances.OnHello(Engine(name), old);
          }
          break;
        case 3:
          instances.OnLeaving(name, current[name] - 1);
          break;
        default: {
          const auto state =
              static_cast<InstanceState>(*rc::gen::inRange(0, 3));
          Apply(instances, *rc::gen::inRange(1, 40),
                Engine(name, "sofia", state));
        }
      }
      RC_ASSERT(instances.list_revision() >= before);
      for (const ServerCandidate& server :
           instances.ServersForModel("base-1", "sofia", kNow)) {
        RC_ASSERT(!leaving.contains(server.instance->record.instance));
      }
      for (const auto& [instance, incarnation] : current) {
        if (incarnation != 0) {
          RC_ASSERT(instances.Find(instance)->incarnation == incarnation);
        }
      }
    }
  }));
}

}  // namespace amaranthcove
