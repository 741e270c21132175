#include "testing/integration/fleet_fixture.h"
#include "testing/integration/relay.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace amaranthcove::testing {

namespace {

using Node = FleetFixture::EntryNode;

// Returns kAtelierDocument with `version` added to the versions of wool.
std::string DocumentWithWoolVersion(int version) {
  std::string text = kAtelierDocument;
  const std::string line = "[adapter wool]\nversions = 1";
  return text.replace(text.find(line), line.size(),
                      line + ", " + std::to_string(version));
}

constexpr char kBadDocument[] = "[service]\nteam = atelier\ncolour = red\n";

}  // namespace

// Tests entries and sidecars during edits of documents and outages. While a
// test waits, it checks after every step of the loop that no entry's document
// revision has decreased.
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

  bool KnowsInstance(const Node& node, const std::string& instance) {
    return Dump(node)["instances"].contains(instance);
  }

  bool ReadsPlatform(const Node& node) {
    return Dump(node)["reads_platform"];
  }

  std::int64_t CountReaders() {
    return std::count_if(nodes_.begin(), nodes_.end(), [&](const Node* node) {
      return ReadsPlatform(*node);
    });
  }

  bool NoRevisionDecreased() {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node* node) {
      const std::int64_t revision = Revision(*node);
      std::int64_t& highest = highest_[node->context->self.incarnation];
      const bool decreased = revision < highest;
      highest = std::max(highest, revision);
      return !decreased;
    });
  }

  // Runs the loop until `condition` holds. Fails the test if a revision
  // decreases meanwhile or if the condition does not hold in time.
  void WaitUntil(const std::function<bool()>& condition) {
    bool decreased = false;
    const bool held = fleet_.RunUntil([&] {
      decreased = decreased || !NoRevisionDecreased();
      return decreased || condition();
    });
    CHECK_FALSE_TEXT(decreased, "a revision decreased");
    CHECK_TEXT(held, "the condition did not hold within the time limit");
  }

  void WaitForRevision(std::int64_t revision, const char* member = "revision") {
    WaitUntil([&] {
      return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node* node) {
        return Revision(*node, member) == revision;
      });
    });
  }

  Node& AddNode(const std::string& instance,
                const std::vector<Address>& platforms = {},
                const std::vector<Address>& peers = {}, bool listed = true) {
    Node& node = fleet_.AddEntry(instance, platforms, peers, listed);
    nodes_.push_back(&node);
    return node;
  }

  void AddFiveEntries() {
    for (const char* name :
         {"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}) {
      AddNode(name);
    }
    WaitForRevision(1);
    // Every entry is linked to the other four, and only the two readers still
    // read the platform.
    WaitUntil([&] {
      return CountReaders() == 2 &&
             std::all_of(nodes_.begin(), nodes_.end(), [&](const Node* node) {
               return Dump(*node)["mesh"]["links"].size() >= 4 &&
                      KnowsInstance(*node, "entry-5");
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

  void PutDocumentOn(const FleetFixture::Server& platform,
                     const std::string& text, std::int64_t revision) {
    fleet_.Control(
        platform.address(),
        {{"put_documents",
          {{{"team", "atelier"}, {"text", text}, {"revision", revision}}}}});
  }

  Address PeerAddress(const Node& node) {
    return *ParseAddress(node.context->self.peer_address);
  }

  void CallBooking(const Node& node) {
    fleet_.Call(node.address(), "GET", "/s/atelier/booking/orders");
  }
};

// Guards against entries that do not read the platform missing an edit: because
// the text of an announced revision is never requested, because two edits are
// made at once, or because an invalid edit precedes a valid one.
TEST(Configuration, EditsReachNonReaders) {
  AddFiveEntries();
  fleet_.Control(fleet_.platform().address(),
                 {{"put_documents",
                   {{{"team", "atelier"}, {"text", DocumentWithWoolVersion(2)}},
                    {{"team", "joinery"}, {"text", kBadDocument}}}}});
  WaitForRevision(2);
  fleet_.PutDocument("atelier", kBadDocument);
  WaitForRevision(4, "newest_revision");
  fleet_.PutDocument("atelier", DocumentWithWoolVersion(3));
  WaitForRevision(5);
  CHECK_EQUAL(2, CountReaders());
  for (const Node* node : nodes_) {
    const nlohmann::json dump = Dump(*node);
    CHECK_EQUAL(3, dump["documents"]["joinery"]["newest_revision"].get<int>());
    CHECK(ReadsPlatform(*node) || dump["mesh"]["texts_requested"] > 0);
    CHECK_EQUAL(0, dump["mesh"]["fetches"].get<int>());
  }
}

// Guards against a removed document that stays in use, and against the document
// being ignored as outdated when it is published again.
TEST(Configuration, RemovedDocumentIsGoneUntilItReturns) {
  AddFiveEntries();
  fleet_.Control(fleet_.platform().address(),
                 {{"remove_documents", {"atelier"}}});
  WaitForRevision(2);
  for (const Node* node : nodes_) {
    CHECK(Dump(*node)["documents"]["atelier"]["removed"].get<bool>());
  }
  fleet_.PutDocument("atelier", kAtelierDocument);
  WaitForRevision(3);
}

// Guards against a stale platform replica that makes an entry return to an old
// revision, or whose answers are taken as confirmation that the entry's
// documents are current.
TEST(Configuration, StaleReplicaNeitherRevertsNorConfirms) {
  FleetFixture::Server& replica = fleet_.AddPlatform();
  PutDocumentOn(replica, kAtelierDocument, 1);
  Node& first = AddNode("entry-1");
  // Brings the replica's instance list to the same revision as that of the
  // first platform.
  const nlohmann::json listed = fleet_.InstanceListEntry(first);
  fleet_.Control(replica.address(), {{"put_instances", {listed, listed}}});
  SetMode(replica, "stale");
  fleet_.PutDocument("atelier", DocumentWithWoolVersion(2));
  WaitForRevision(2);
  Node& second = AddNode("entry-2", {replica.address()}, {PeerAddress(first)});
  bool confirmed = false;
  const auto seems_current = [&] {
    return Revision(second) > 1 && Dump(second)["platform_current"].get<bool>();
  };
  WaitUntil([&] {
    confirmed = confirmed || seems_current();
    return Dump(second)["counters"]["platform_calls"] >= 4 &&
           Revision(second) == 2 && Dump(first)["platform_current"].get<bool>();
  });
  fleet_.PutDocument("atelier", DocumentWithWoolVersion(3));
  WaitUntil([&] {
    confirmed = confirmed || seems_current();
    return Revision(second) == 3 &&
           !Dump(second)["mesh"]["platform_age_ms"].is_null();
  });
  CHECK_FALSE(confirmed);
}

// Guards against an entry that gets no documents and instances because the
// platform is down when it starts; it must get them from a configured peer.
// Also guards against peers that do not learn the address of a restarted entry.
TEST(Configuration, EntryStartsFromPeerDuringPlatformOutage) {
  Node& first = AddNode("entry-1");
  Node& second = AddNode("entry-2");
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  WaitForRevision(1);
  WaitUntil([&] {
    return KnowsInstance(first, "desk-1") && KnowsInstance(first, "entry-2");
  });
  const std::string contact = first.context->self.peer_address;
  Kill(second);
  SetMode(fleet_.platform(), "down");
  Node& again = AddNode("entry-2", {}, {*ParseAddress(contact)}, false);
  Node& third = AddNode("entry-3", {}, {*ParseAddress(contact)}, false);
  WaitForRevision(1);
  WaitUntil([&] {
    return KnowsInstance(again, desk.instance) &&
           KnowsInstance(third, desk.instance) &&
           Dump(first)["instances"]["entry-2"]["address"] ==
               again.context->self.peer_address;
  });
  CHECK_EQUAL(200,
              fleet_.Call(third.address(), "GET", "/s/atelier/booking/orders")
                  .response.status);
}

// Guards against an entry that cannot reach the platform, but reaches other
// entries, and misses edits, new instances or instances that are gone.
TEST(Configuration, EntryWithoutPlatformIsUpdatedByPeers) {
  FleetFixture::Server& dead = fleet_.AddPlatform();
  SetMode(dead, "down");
  Node& first = AddNode("entry-1");
  Node& second = AddNode("entry-2", {dead.address()});
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  WaitForRevision(1);
  WaitUntil([&] { return KnowsInstance(second, "desk-1"); });
  fleet_.PutDocument("atelier", DocumentWithWoolVersion(2));
  WaitForRevision(2);
  fleet_.PutInstance(desk, desk.sidecar->peer_address(), "gone");
  WaitUntil([&] {
    return !Dump(second)["instances"]["desk-1"]["live"].get<bool>() &&
           !Dump(first)["instances"]["desk-1"]["live"].get<bool>();
  });
  CHECK(!Dump(second)["platform_current"].get<bool>());
}

// Guards against edits that no entry reads while the readers are cut off from
// the platform, and against entries that keep reading after the readers have
// recovered.
TEST(Configuration, NonReaderReadsWhileReadersAreCutOff) {
  std::vector<FleetFixture::Server*> platforms;
  nlohmann::json instances = nlohmann::json::array();
  for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
    platforms.push_back(&fleet_.AddPlatform());
    PutDocumentOn(*platforms.back(), kAtelierDocument, 1);
    instances.push_back(
        fleet_.InstanceListEntry(AddNode(name, {platforms.back()->address()})));
  }
  for (const FleetFixture::Server* platform : platforms) {
    fleet_.Control(platform->address(), {{"put_instances", instances}});
  }
  WaitUntil([&] { return CountReaders() == 2; });
  const auto other =
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](Node* node) { return !ReadsPlatform(*node); });
  const auto set_modes = [&](const char* mode) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i] != *other) {
        SetMode(*platforms[i], mode);
      }
    }
  };
  set_modes("down");
  WaitUntil([&] { return ReadsPlatform(**other); });
  for (const FleetFixture::Server* platform : platforms) {
    PutDocumentOn(*platform, DocumentWithWoolVersion(2), 2);
  }
  WaitForRevision(2);
  set_modes("up");
  WaitUntil([&] { return !ReadsPlatform(**other); });
}

// Guards against an entry that gets an edit neither from the platform nor from
// other entries and keeps the old document although a sidecar has the new one.
// The entry has no configured peers and reads a replica that lacks the edit.
TEST(Configuration, IsolatedEntryIsUpdatedBySidecar) {
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  FleetFixture::Server& replica = fleet_.AddPlatform();
  PutDocumentOn(replica, kAtelierDocument, 1);
  fleet_.Control(replica.address(),
                 {{"put_instances",
                   {fleet_.InstanceListEntry(desk, desk.sidecar->peer_address(),
                                             "live")}}});
  Node& first = AddNode("entry-1");
  Node& isolated = AddNode("entry-2", {replica.address()}, {}, false);
  WaitForRevision(1);
  WaitUntil([&] {
    return KnowsInstance(first, "desk-1") && KnowsInstance(isolated, "desk-1");
  });
  fleet_.PutDocument("atelier", DocumentWithWoolVersion(2));
  WaitUntil([&] { return Revision(first) == 2; });
  CHECK_EQUAL(1, Revision(isolated));
  CallBooking(first);
  WaitUntil([&] {
    return desk.sidecar->Dump(
               fleet_.loop().Now())["documents"]["atelier"]["revision"] == 2;
  });
  CallBooking(isolated);
  WaitForRevision(2);
}

// Guards against new work for a leaving sidecar from an entry whose platform
// replica still lists it as live. The sidecar learns from another entry that it
// is leaving and must notify the entries that are connected to it.
TEST(Configuration, IsolatedEntryIsNotifiedByLeavingSidecar) {
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  FleetFixture::Server& replica = fleet_.AddPlatform();
  PutDocumentOn(replica, kAtelierDocument, 1);
  fleet_.Control(replica.address(),
                 {{"put_instances",
                   {fleet_.InstanceListEntry(desk, desk.sidecar->peer_address(),
                                             "live")}}});
  Node& first = AddNode("entry-1");
  Node& isolated = AddNode("entry-2", {replica.address()}, {}, false);
  WaitForRevision(1);
  WaitUntil([&] {
    return KnowsInstance(first, "desk-1") && KnowsInstance(isolated, "desk-1");
  });
  CallBooking(isolated);
  fleet_.PutInstance(desk, desk.sidecar->peer_address(), "leaving");
  WaitUntil([&] {
    return Dump(isolated)["instances"]["desk-1"]["said_leaving"].get<bool>();
  });
  CHECK(!Dump(isolated)["instances"]["desk-1"]["live"].get<bool>());
  // An outdated "live" state on the instance list does not make it live again.
  fleet_.PutInstance(desk, desk.sidecar->peer_address(), "live");
  fleet_.PutDocument("atelier", DocumentWithWoolVersion(2));
  WaitUntil([&] { return Revision(first) == 2; });
  CHECK(!Dump(first)["instances"]["desk-1"]["live"].get<bool>());
}

// Guards against a leaving notice that is lost because the sidecar was
// unreachable when its state on the instance list changed to leaving.
TEST(Configuration, LeavingNoticeIsRepeatedUntilItArrives) {
  FleetFixture::SidecarNode& desk =
      fleet_.AddPlainSidecar("desk-1", fleet_.AddPlainService().address());
  Relay relay(fleet_.loop(), desk.sidecar->peer_address());
  relay.set_refusing(true);
  fleet_.PutInstance(desk, relay.address(), "leaving");
  AddNode("entry-1");
  WaitUntil([&] { return relay.accepted() >= 2; });
  CHECK(!desk.sidecar->leaving());
  relay.set_refusing(false);
  WaitUntil([&] { return desk.sidecar->leaving(); });
}

// Guards against a replacement sidecar that stays unused because the previous
// process announced that it was leaving.
TEST(Configuration, ReplacedSidecarIsUsedAtItsNewAddress) {
  const Address service = fleet_.AddPlainService().address();
  FleetFixture::SidecarNode& old = fleet_.AddPlainSidecar("desk-1", service);
  Node& entry = AddNode("entry-1");
  WaitForRevision(1);
  WaitUntil([&] { return KnowsInstance(entry, "desk-1"); });
  CallBooking(entry);
  old.sidecar->Leave();
  WaitUntil([&] {
    return Dump(entry)["instances"]["desk-1"]["said_leaving"].get<bool>();
  });
  FleetFixture::SidecarNode& next = fleet_.AddPlainSidecar("desk-1", service);
  WaitUntil(
      [&] { return Dump(entry)["instances"]["desk-1"]["live"].get<bool>(); });
  CHECK_EQUAL(200,
              fleet_.Call(entry.address(), "GET", "/s/atelier/booking/orders")
                  .response.status);
  CHECK_EQUAL(1U, next.sidecar->counters().submitted);
}

// Guards against entries that use a leaving entry as a reader or peer until its
// state on the instance list changes.
TEST(Configuration, LeavingEntryDropsOutOfReaders) {
  AddFiveEntries();
  Node& leaving = **std::find_if(nodes_.begin(), nodes_.end(), [&](Node* node) {
    return ReadsPlatform(*node);
  });
  leaving.entry->Leave();
  WaitUntil([&] {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node* node) {
      return node == &leaving ||
             !Dump(*node)["instances"][leaving.context->self.instance]["live"]
                  .get<bool>();
    });
  });
  WaitUntil([&] { return CountReaders() == 3; });
  Kill(leaving);
  fleet_.PutDocument("atelier", DocumentWithWoolVersion(2));
  WaitForRevision(2);
}

}  // namespace amaranthcove::testing
