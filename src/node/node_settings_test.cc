#include "amaranthcove/node/node_settings.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr std::string_view kRouterText = R"([process]
role = router
instance = r1
data_centre = sofia-a
admin_address = 127.0.0.1:0
[router]
http_address = 127.0.0.1:0
readiness_address = 127.0.0.1:0
agent_address = 127.0.0.1:0
agent_port = 7380
metadata_store = 127.0.0.1:9001
leaving_limit_ms = 2000
config_limit_ms = 3000
retry_ratio = 0.2
retry_extra = 112
retry_window_ms = 10000
stop_limit_ms = 8000
)";

constexpr std::string_view kAgentText = R"([process]
role = adapter_agent
instance = a1
data_centre = sofia-a
admin_address = 127.0.0.1:0
[adapter_agent]
agent_address = 127.0.0.1:0
engine = 127.0.0.1:9301
)";

std::string ErrorsOf(std::string_view text) {
  const auto sections = ParseIni(text);
  const auto settings = ParseNodeSettings(*sections);
  return settings ? "" : FormatIniErrors("f", settings.error());
}

}  // namespace

TEST_GROUP(NodeSettings){};

// Guards against settings of one role being read as those of another, and
// against values being stored in the wrong field.
TEST(NodeSettings, ReadsBothRoles) {
  const auto router = ParseNodeSettings(*ParseIni(kRouterText));
  CHECK(router.has_value());
  CHECK_EQUAL(7380, std::get<RouterSettings>(*router).agent_port);
  CHECK(std::get<RouterSettings>(*router).stop_limit ==
        std::chrono::seconds(8));
  CHECK(std::get<RouterSettings>(*router).config_limit ==
        std::chrono::seconds(3));
  const auto agent = ParseNodeSettings(*ParseIni(kAgentText));
  CHECK(agent.has_value());
  CHECK_EQUAL(9301, std::get<AgentSettings>(*agent).engine.port);
  CHECK(IsNodeRole(*ParseIni(kRouterText)));
  CHECK(!IsNodeRole(*ParseIni("[process]\nrole = entry\n")));
}

// Guards against a parser that stops at the first error, reports it without its
// line or ignores unknown keys and sections.
TEST(NodeSettings, ReportsEveryErrorWithItsLine) {
  std::string text(kRouterText);
  text.replace(text.find("agent_port = 7380"), 17, "agent_port = 70000");
  text += "unknown_key = 1\n[sidecar]\n";
  const std::string errors = ErrorsOf(text);
  CHECK(errors.find("f:10: [router] agent_port") != std::string::npos);
  CHECK(errors.find("unknown_key") != std::string::npos);
  CHECK(errors.find("[sidecar]") != std::string::npos);
}

// Guards against a process that starts with default addresses because the
// section of its role is missing.
TEST(NodeSettings, RoleNeedsItsSection) {
  const std::string text(kAgentText.substr(0, kAgentText.find("[adapter_")));
  CHECK(ErrorsOf(text).find("[adapter_agent] the section is missing") !=
        std::string::npos);
}

}  // namespace amaranthcove
