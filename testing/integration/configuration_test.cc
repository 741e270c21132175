#include "testing/integration/fleet_fixture.h"
#include "testing/integration/relay.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace amaranthcove::testing {

namespace {

using Node = FleetFixture::EntryNode;

// The document of the fixture with one more version of wool.
std::string Edited(int version) {
  std::string text = kAtelierDocument;
  const std::string line = "[adapter wool]\nversions = 1";
  return text.replace(text.find(line), line.size(),
                      line + ", " + std::to_string(version));
}

constexpr char kBadDocument[] = "[service]\nteam = atelier\ncolour = red\n";

}  // namespace

// Entries and sidecars under edits and outages. After every step of the loop,
// no entry's revision may have fallen.
TEST_GROUP(Configuration) {
  FleetFixture fleet_;
  std::vector<Node*> nodes_;
  std::map<Incarnation, std::int64_t> highest_;

  nlohmann::json Dump(const Node& node) {
    return node.entry->Dump(fleet_.loop().Now());
  }

  std::int64_t Revision(const Node& node, const char* member = "revision") {
    const nlohmann::json dump = Dump(node);
    return dump["documents"].contains("atelier")
               ? dump["documents"]["atelier"][member].get<std::int64_t>()
               : 0;
  }

  bool Knows(const Node& node, const std::string& instance) {
    return Dump(node)["instances"].contains(instance);
  }

  bool Reads(const Node& node) {
    return Dump(node)["reads_platform"];
  }

  std::int64_t Readers() {
    return std::count_if(nodes_.begin(), nodes_.end(),
                         [&](const Node* node) { return Reads(*node); });
  }

  bool NoneFell() {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node* node) {
      const std::int64_t revision = Revision(*node);
      std::int64_t& highest = highest_[node->context->self.incarnation];
      const bool fell = revision < highest;
      highest = std::max(highest, revision);
      return !fell;
    });
  }

  // Waits until `condition` holds, and checks revisions meanwhile.
  void Wait(const std::function<bool()>& condition) {
    bool fell = false;
    const bool held = fleet_.RunUntil([&] {
      fell = fell || !NoneFell();
      return fell || condition();
    });
    CHECK_FALSE_TEXT(fell, "a revision fell");
    CHECK_TEXT(held, "the condition never held");
  }

  void WaitForRevision(std::int64_t revision, const char* member = "revision") {
    Wait([&] {
      return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node* node) {
        return Revision(*node, member) == revision;
      });
    });
  }

  Node& Add(const std::string& instance,
            const std::vector<Address>& platforms = {},
            const std::vector<Address>& peers = {}, bool listed = true) {
    Node& node = fleet_.AddEntry(instance, platforms, peers, listed);
    nodes_.push_back(&node);
    return node;
  }

  void AddFive() {
    for (const char* name :
         {"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}) {
      Add(name);
    }
    WaitForRevision(1);
    // Every entry knows all of them and only the two readers still read.
    Wait([&] {
      return Readers() == 2 &&
             std::all_of(nodes_.begin(), nodes_.end(), [&](const Node* node) {
               return Dump(*node)["mesh"]["links"].size() >= 4 &&
                      Knows(*node, "entry-5");
             });
    });
  }

  void Kill(Node & node) {
    std::erase(nodes_, &node);
    fleet_.Kill(node);
  }

  void SetMode(const FleetFixture::Server& platform, const char* mode) {
    fleet_.Control(platform.address(), {{"mode", mode}});
  }

  void PutOn(const FleetFixture::Server& platform, const std::string& text,
             std::int64_t revision) {
    fleet_.Control(
        platform.address(),
        {{"put_documents",
          {{{"team", "atelier"}, {"text", text}, {"revision", revision}}}}});
  }

  Address PeerAddress(const Node& node) {
    return *ParseAddress(node.context->self.peer_address);
  }

  void Order(const Node& node) {
    fleet_.Call(node.address(), "GET", "/s/atelier/booking/orders");
  }
};

// Guards against texts that are announced but never fetched, against two edits
// at once of which one is lost, and against an invalid edit that hides the
// valid one after it. Entries that do not read the platform must get them all.
TEST(Configuration, EditsReachEntriesThatDoNotRead) {
  AddFive();
  fleet_.Control(fleet_.platform().address(),
                 {{"put_documents",
                   {{{"team", "atelier"}, {"text", Edited(2)}},
                    {{"team", "joinery"}, {"text", kBadDocument}}}}});
  WaitForRevision(2);
  fleet_.PutDocument("atelier", kBadDocument);
  WaitForRevision(4, "newest_revision");
  fleet_.PutDocument("atelier", Edited(3));
  WaitForRevision(5);
  CHECK_EQUAL(2, Readers());
  for (const Node* node : nodes_) {
    const nlohmann::json dump = Dump(*node);
    CHECK_EQUAL(3, dump["documents"]["joinery"]["newest_revision"].get<int>());
    CHECK(Reads(*node) || dump["mesh"]["texts_requested"] > 0);
    CHECK_EQUAL(0, dump["mesh"]["fetches"].get<int>());
  }
}

// Guards against a removed document that stays in force, and against its
// return being taken for old.
TEST(Configuration, RemovedDocumentIsGoneUntilItReturns) {
  AddFive();
  fleet_.Control(fleet_.platform().address(),
                 {{"remove_documents", {"atelier"}}});
  WaitForRevision(2);
  for (const Node* node : nodes_) {
    CHECK(Dump(*node)["documents"]["atelier"]["removed"].get<bool>());
  }
  fleet_.PutDocument("atelier", kAtelierDocument);
  WaitForRevision(3);
}

// Guards against a stale replica of the platform that takes an entry back to an
// old revision or counts as a confirmation.
TEST(Configuration, StaleReplicaNeitherRevertsNorConfirms) {
  FleetFixture::Server& replica = fleet_.AddPlatform();
  PutOn(replica, kAtelierDocument, 1);
  Node& first = Add("entry-1");
  // Its list of instances is at the revision of the first platform's.
  const nlohmann::json listed = fleet_.ListEntry(first);
  fleet_.Control(replica.address(), {{"put_instances", {listed, listed}}});
  SetMode(replica, "stale");
  fleet_.PutDocument("atelier", Edited(2));
  WaitForRevision(2);
  Node& second = Add("entry-2", {replica.address()}, {PeerAddress(first)});
  bool confirmed = false;
  const auto seems_current = [&] {
    return Revision(second) > 1 && Dump(second)["platform_current"].get<bool>();
  };
  Wait([&] {
    confirmed = confirmed || seems_current();
    return Dump(second)["counters"]["platform_calls"] >= 4 &&
           Revision(second) == 2 && Dump(first)["platform_current"].get<bool>();
  });
  fleet_.PutDocument("atelier", Edited(3));
  Wait([&] {
    confirmed = confirmed || seems_current();
    return Revision(second) == 3 &&
           !Dump(second)["mesh"]["platform_age_ms"].is_null();
  });
  CHECK_FALSE(confirmed);
}

// Guards against an entry that stays empty because the platform is down when
// it starts, and against its peers not finding a restarted one: documents and
// instances must come from a first contact.
TEST(Configuration, StartsDuringOutageFromItsPeer) {
  Node& first = Add("entry-1");
  Node& second = Add("entry-2");
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  WaitForRevision(1);
  Wait([&] { return Knows(first, "desk-1") && Knows(first, "entry-2"); });
  const std::string contact = first.context->self.peer_address;
  Kill(second);
  SetMode(fleet_.platform(), "down");
  Node& again = Add("entry-2", {}, {*ParseAddress(contact)}, false);
  Node& third = Add("entry-3", {}, {*ParseAddress(contact)}, false);
  WaitForRevision(1);
  Wait([&] {
    return Knows(again, desk.instance) && Knows(third, desk.instance) &&
           Dump(first)["instances"]["entry-2"]["address"] ==
               again.context->self.peer_address;
  });
  CHECK_EQUAL(200,
              fleet_.Call(third.address(), "GET", "/s/atelier/booking/orders")
                  .response.status);
}

// Guards against an entry that hears nothing from the platform and so misses
// edits, new instances and instances that are gone.
TEST(Configuration, CutOffFromPlatformButNotFromPeers) {
  FleetFixture::Server& dead = fleet_.AddPlatform();
  SetMode(dead, "down");
  Node& first = Add("entry-1");
  Node& second = Add("entry-2", {dead.address()});
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  WaitForRevision(1);
  Wait([&] { return Knows(second, "desk-1"); });
  fleet_.PutDocument("atelier", Edited(2));
  WaitForRevision(2);
  fleet_.List(desk, desk.sidecar->peer_address(), "gone");
  Wait([&] {
    return !Dump(second)["instances"]["desk-1"]["live"].get<bool>() &&
           !Dump(first)["instances"]["desk-1"]["live"].get<bool>();
  });
  CHECK(!Dump(second)["platform_current"].get<bool>());
}

// Guards against edits that nobody reads once the readers are cut off from the
// platform, and against entries that go on reading after the readers are back.
TEST(Configuration, OthersReadWhileReadersAreCutOff) {
  std::vector<FleetFixture::Server*> platforms;
  nlohmann::json instances = nlohmann::json::array();
  for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
    platforms.push_back(&fleet_.AddPlatform());
    PutOn(*platforms.back(), kAtelierDocument, 1);
    instances.push_back(
        fleet_.ListEntry(Add(name, {platforms.back()->address()})));
  }
  for (const FleetFixture::Server* platform : platforms) {
    fleet_.Control(platform->address(), {{"put_instances", instances}});
  }
  Wait([&] { return Readers() == 2; });
  const auto other = std::find_if(nodes_.begin(), nodes_.end(),
                                  [&](Node* node) { return !Reads(*node); });
  const auto set_modes = [&](const char* mode) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i] != *other) {
        SetMode(*platforms[i], mode);
      }
    }
  };
  set_modes("down");
  Wait([&] { return Reads(**other); });
  for (const FleetFixture::Server* platform : platforms) {
    PutOn(*platform, Edited(2), 2);
  }
  WaitForRevision(2);
  set_modes("up");
  Wait([&] { return !Reads(**other); });
}

// Guards against an entry that hears neither the platform nor other entries and
// goes on with an old document although the sidecar knows a newer one.
TEST(Configuration, CutOffFromBothHearsThroughSidecar) {
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  FleetFixture::Server& replica = fleet_.AddPlatform();
  PutOn(replica, kAtelierDocument, 1);
  fleet_.Control(
      replica.address(),
      {{"put_instances",
        {fleet_.ListEntry(desk, desk.sidecar->peer_address(), "live")}}});
  Node& first = Add("entry-1");
  Node& alone = Add("entry-2", {replica.address()}, {}, false);
  WaitForRevision(1);
  Wait([&] { return Knows(first, "desk-1") && Knows(alone, "desk-1"); });
  fleet_.PutDocument("atelier", Edited(2));
  Wait([&] { return Revision(first) == 2; });
  CHECK_EQUAL(1, Revision(alone));
  Order(first);
  Wait([&] {
    return desk.sidecar->Dump(
               fleet_.loop().Now())["documents"]["atelier"]["revision"] == 2;
  });
  Order(alone);
  WaitForRevision(2);
}

// Guards against new work for a leaving sidecar from an entry that hears
// nothing from the platform: the sidecar, told by another entry, says so.
TEST(Configuration, LeavingIsLearntThroughTheSidecar) {
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  FleetFixture::Server& replica = fleet_.AddPlatform();
  PutOn(replica, kAtelierDocument, 1);
  fleet_.Control(
      replica.address(),
      {{"put_instances",
        {fleet_.ListEntry(desk, desk.sidecar->peer_address(), "live")}}});
  Node& first = Add("entry-1");
  Node& alone = Add("entry-2", {replica.address()}, {}, false);
  WaitForRevision(1);
  Wait([&] { return Knows(first, "desk-1") && Knows(alone, "desk-1"); });
  Order(alone);
  fleet_.List(desk, desk.sidecar->peer_address(), "leaving");
  Wait([&] {
    return Dump(alone)["instances"]["desk-1"]["said_leaving"].get<bool>();
  });
  CHECK(!Dump(alone)["instances"]["desk-1"]["live"].get<bool>());
  // A list answer that lags does not bring it back.
  fleet_.List(desk, desk.sidecar->peer_address(), "live");
  fleet_.PutDocument("atelier", Edited(2));
  Wait([&] { return Revision(first) == 2; });
  CHECK(!Dump(first)["instances"]["desk-1"]["live"].get<bool>());
}

// Guards against a leaving notice that is lost because the sidecar could not be
// reached when the list called it leaving.
TEST(Configuration, LeavingNoticeIsRepeatedUntilItArrives) {
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  Relay relay(fleet_.loop(), desk.sidecar->peer_address());
  relay.set_refusing(true);
  fleet_.List(desk, relay.address(), "leaving");
  Add("entry-1");
  Wait([&] { return relay.accepted() >= 2; });
  CHECK(!desk.sidecar->leaving());
  relay.set_refusing(false);
  Wait([&] { return desk.sidecar->leaving(); });
}

// Guards against a replaced sidecar that stays unused because the process
// before it said that it is leaving.
TEST(Configuration, ReplacedSidecarIsUsedAtItsNewAddress) {
  const Address service = fleet_.AddPlainService().address();
  FleetFixture::SidecarNode& old = fleet_.AddPlainSidecar("desk-1", service);
  Node& entry = Add("entry-1");
  WaitForRevision(1);
  Wait([&] { return Knows(entry, "desk-1"); });
  Order(entry);
  old.sidecar->Leave();
  Wait([&] {
    return Dump(entry)["instances"]["desk-1"]["said_leaving"].get<bool>();
  });
  FleetFixture::SidecarNode& next = fleet_.AddPlainSidecar("desk-1", service);
  Wait([&] { return Dump(entry)["instances"]["desk-1"]["live"].get<bool>(); });
  CHECK_EQUAL(200,
              fleet_.Call(entry.address(), "GET", "/s/atelier/booking/orders")
                  .response.status);
  CHECK_EQUAL(1U, next.sidecar->counters().submitted);
}

// Guards against entries that count on a leaving one as a reader or peer until
// the list says so.
TEST(Configuration, LeavingEntryDropsOutOfReaders) {
  AddFive();
  Node& leaving = **std::find_if(nodes_.begin(), nodes_.end(),
                                 [&](Node* node) { return Reads(*node); });
  leaving.entry->Leave();
  Wait([&] {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node* node) {
      return node == &leaving ||
             !Dump(*node)["instances"][leaving.context->self.instance]["live"]
                  .get<bool>();
    });
  });
  Wait([&] { return Readers() == 3; });
  Kill(leaving);
  fleet_.PutDocument("atelier", Edited(2));
  WaitForRevision(2);
}

}  // namespace amaranthcove::testing
