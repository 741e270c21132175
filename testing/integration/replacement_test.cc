#include "testing/integration/fleet_fixture.h"
#include "testing/integration/relay.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::testing {

TEST_GROUP(Replacement) {
  FleetFixture fleet_;
};

// Guards against an entry that never uses a sidecar again after the sidecar was
// stopped gracefully and restarted with the same name and listed address. In
// the second round the connections to the old process are silenced, so that the
// entry does not see them close.
TEST(Replacement, RestartedSidecarIsUsedAgain) {
  const Address engine = fleet_.AddEngine().address();
  FleetFixture::SidecarNode* node =
      &fleet_.AddEngineSidecar("engine-1", engine, false);
  Relay relay(fleet_.loop(), node->sidecar->peer_address());
  fleet_.PutInstance(*node, relay.address());
  FleetFixture::EntryNode& entry = fleet_.AddEntry("entry-1");
  CHECK(fleet_.WaitReady());
  const auto completes = [&] {
    return fleet_
               .Call(entry.address(), "POST", "/v1/completions",
                     CompletionBody("atelier/wool@1", "p", 3))
               .response.status == 200;
  };
  CHECK(completes());
  for (const bool silent : {false, true}) {
    node->sidecar->Leave();
    CHECK(fleet_.RunUntil([&] { return !completes(); }));
    if (silent) {
      relay.DropAllTraffic();
    }
    fleet_.Kill(*node);
    node = &fleet_.AddEngineSidecar("engine-1", engine, false);
    relay.set_target(node->sidecar->peer_address());
    fleet_.PutInstance(*node, relay.address());
    CHECK(fleet_.RunUntil(completes));
  }
}

}  // namespace amaranthcove::testing
