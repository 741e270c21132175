#include "amaranthcove/workspaces/authentication.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

RouteTable MakeTable() {
  RoutingConfig config;
  Route route;
  route.host = "desk.example";
  route.path_prefix = "/orders/";
  config.routes.push_back(route);
  Workspace large;
  large.name = "large";
  large.keys = {"k1", "k2", "shared", ""};
  large.counts_tokens = true;
  large.uncounted_tokens = 200;
  Workspace small;
  small.name = "small";
  small.keys = {"k3", "shared", std::string(kMaxKeyBytes + 1, 'k')};
  config.workspaces = {large, small};
  return RouteTable(std::move(config));
}

RequestInfo WithKey(std::string key) {
  RequestInfo info;
  info.key = std::move(key);
  return info;
}

}  // namespace

TEST_GROUP(Authentication) {
  RouteTable table_ = MakeTable();
  Route route_ = table_.config().routes[0];

  std::string WorkspaceOf(const RequestInfo& info) {
    const CallerIdentity identity = IdentifyCaller(table_, route_, info);
    CHECK_EQUAL(identity.allowed, identity.workspace != nullptr);
    return identity.workspace == nullptr ? "" : identity.workspace->name;
  }
};

// Guards against a caller that uses another workspace's key, and against keys
// that match by accident: none, a part of one, an over-long one.
TEST(Authentication, OnlyListedKeysMatch) {
  CHECK("large" == WorkspaceOf(WithKey("k1")));
  CHECK("large" == WorkspaceOf(WithKey("k2")));
  CHECK("small" == WorkspaceOf(WithKey("k3")));
  CHECK("large" == WorkspaceOf(WithKey("shared")));
  for (const char* key : {"", "k", "k11", "K1", " k1", "k1,k3", "\xFF"}) {
    CHECK_TRUE_TEXT(WorkspaceOf(WithKey(key)).empty(), key);
  }
  CHECK(WorkspaceOf(WithKey(std::string(kMaxKeyBytes + 1, 'k'))).empty());
}

// Guards against a second key field that decides who a caller is.
TEST(Authentication, KeySentTwiceNeverMatches) {
  RequestInfo info = WithKey("k1");
  info.has_malformed_key = true;
  CHECK(WorkspaceOf(info).empty());
}

// Guards against asking callers of public routes for a key, and against
// counting them as a workspace because of a key that they send.
TEST(Authentication, PublicRoutesNeedNoKey) {
  route_.is_public = true;
  const CallerIdentity identity = IdentifyCaller(table_, route_, WithKey("k1"));
  CHECK(identity.allowed);
  CHECK(identity.has_workspaces);
  CHECK(identity.workspace == nullptr);
}

// Guards against asking for keys where the configuration lists no workspaces.
TEST(Authentication, WithoutWorkspacesEveryCallerIsAllowed) {
  const RouteTable table((RoutingConfig()));
  const CallerIdentity identity = IdentifyCaller(table, route_, {});
  CHECK(identity.allowed);
  CHECK(!identity.has_workspaces);
}

// Guards against quotas that count wrongly: requests that state no tokens,
// hostile numbers, and quotas in requests.
TEST(Authentication, CostFollowsTheUnitOfTheQuota) {
  Workspace workspace = table_.config().workspaces[0];
  RequestInfo info;
  DOUBLES_EQUAL(200, QuotaCost(workspace, info), 0);
  info.has_token_usage = true;
  info.prompt_tokens = 646;
  info.max_output_tokens = 70;
  DOUBLES_EQUAL(716, QuotaCost(workspace, info), 0);
  info.max_output_tokens = -5000;
  DOUBLES_EQUAL(646, QuotaCost(workspace, info), 0);
  workspace.counts_tokens = false;
  DOUBLES_EQUAL(1, QuotaCost(workspace, info), 0);
}

// Guards against a log line from which a key can be read.
TEST(Authentication, DigestDoesNotContainTheKey) {
  const std::string digest = KeyDigest("asnmgkcuyj8pjbvk9m68", 7);
  CHECK_EQUAL(8, static_cast<int>(digest.size()));
  CHECK(digest != KeyDigest("asnmgkcuyj8pjbvk9m68", 8));
  CHECK("none" == KeyDigest("", 7));
}

}  // namespace amaranthcove
