#include "testing/integration/fleet_fixture.h"
#include "testing/integration/relay.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::testing {

TEST_GROUP(Replacement) {
  FleetFixture fleet_;
};

// Guards against a sidecar that is never used again after it was stopped
// gracefully and started again under the same name and listed address, also if
// connections to the old process went silent.
TEST(Replacement, SameNameAndAddress) {
  const Address engine = fleet_.AddEngine().address();
  FleetFixture::SidecarNode* node =
      &fleet_.AddEngineSidecar("engine-1", engine, false);
  Relay relay(fleet_.loop(), node->sidecar->peer_address());
  fleet_.List(*node, relay.address());
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
      relay.SilencePresent();
    }
    fleet_.Kill(*node);
    node = &fleet_.AddEngineSidecar("engine-1", engine, false);
    relay.set_target(node->sidecar->peer_address());
    fleet_.List(*node, relay.address());
    CHECK(fleet_.RunUntil(completes));
  }
}

}  // namespace amaranthcove::testing
