#include "src/engine_client/generation.h"

#include <string>

#include "CppUTest/TestHarness.h"

using amaranthcove::internal::IsAnswerOf;

namespace {

bool Accepts(const std::string& json) {
  return IsAnswerOf(json, "team/a@1", "7");
}

}  // namespace

// Each test guards against accepting an answer that was produced by another
// model or another boot of the engine, or against rejecting a valid one.
TEST_GROUP(IsAnswerOf){};

TEST(IsAnswerOf, AcceptsTheRequestedModelAndBoot) {
  CHECK(Accepts(R"({"model":"team/a@1","boot_id":"7"})"));
  CHECK(Accepts(R"({"choices":[{"model":"x"}],"boot_id":"7","n":1.5,)"
                R"("usage":{"boot_id":"8"},"model":"team/a@1","ok":true})"));
}

TEST(IsAnswerOf, RejectsOtherAndMissingMembers) {
  CHECK_FALSE(Accepts(R"({"model":"team/b@1","boot_id":"7"})"));
  CHECK_FALSE(Accepts(R"({"model":"team/a@1","boot_id":"8"})"));
  CHECK_FALSE(Accepts(R"({"model":"team/a@1"})"));
  CHECK_FALSE(Accepts(R"({"boot_id":"7"})"));
}

TEST(IsAnswerOf, RejectsMembersOfInnerValues) {
  CHECK_FALSE(Accepts(R"({"boot_id":"7","inner":{"model":"team/a@1"}})"));
  CHECK_FALSE(Accepts(R"([{"model":"team/a@1","boot_id":"7"}])"));
  CHECK_FALSE(Accepts(R"({"boot_id":"7","model":["team/a@1"]})"));
  CHECK_FALSE(Accepts(R"({"boot_id":"7","model":{"model":"team/a@1"}})"));
}

TEST(IsAnswerOf, TakesTheLastOfRepeatedMembers) {
  CHECK_FALSE(
      Accepts(R"({"model":"team/a@1","boot_id":"7","model":"team/b@1"})"));
  CHECK_FALSE(Accepts(R"({"model":"team/a@1","boot_id":"7","model":null})"));
  CHECK(Accepts(R"({"model":3,"boot_id":"7","model":"team/a@1"})"));
}

TEST(IsAnswerOf, RejectsTextThatIsNotOneObject) {
  CHECK_FALSE(Accepts(R"({"model":"team/a@1","boot_id":"7")"));
  CHECK_FALSE(Accepts(R"({"model":"team/a@1","boot_id":"7"} x)"));
  CHECK_FALSE(Accepts(""));
  CHECK_FALSE(Accepts(R"("team/a@1")"));
}
