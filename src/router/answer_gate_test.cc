#include "src/router/answer_gate.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

TEST_GROUP(AnswerGate){};

// Guards against large answers that are all gathered at the same time, against
// one that waits for ever, and against a place that is lost with the answer
// that waited for it.
TEST(AnswerGate, PlacesPassOnInTheOrderOfAsking) {
  AnswerGate gate(1);
  std::vector<int> placed;
  const auto first = gate.Enter([&placed] { placed.push_back(1); });
  const auto second = gate.Enter([&placed] { placed.push_back(2); });
  const auto third = gate.Enter([&placed] { placed.push_back(3); });
  CHECK(gate.HasPlace(first));
  CHECK(!gate.HasPlace(second));
  CHECK(placed.empty());
  gate.Leave(second);
  gate.Leave(0);
  CHECK(placed.empty());
  gate.Leave(first);
  CHECK(placed == std::vector<int>{3});
  CHECK(gate.HasPlace(third));
  gate.Leave(third);
  CHECK(gate.HasPlace(gate.Enter([] {})));
}

}  // namespace amaranthcove
