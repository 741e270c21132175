#include "amaranthcove/entry/call_plan.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr const char* kDocument =
    "[service]\nteam = t\nbase_model = b\nobjective = stalls\n"
    "[kind k]\nurgency = urgent\ndeadline_ms = 1000\n"
    "[adapter a]\nversions = 1\naliases = s=1\n"
    "[plain p]\nnever_repeat = POST /orders\n"
    "[plain other]\n";

}  // namespace

TEST_GROUP(CallPlan) {
  Catalogue catalogue;

  void setup() override {
    catalogue.Adopt({"t", 1, false, kDocument}, Time());
  }

  auto Plan(const std::string& method, const std::string& path,
            const std::string& body = "", const HttpHeaders& headers = {}) {
    return PlanCall({method, path, headers, body}, catalogue);
  }

  // Returns the error code of the refusal, or "" if the request is accepted.
  // Checks that a refusal has a 4xx status and outcome kNotRun.
  std::string Code(const std::string& method, const std::string& path,
                   const std::string& body = "",
                   const HttpHeaders& headers = {}) {
    const auto plan = Plan(method, path, body, headers);
    if (plan) {
      return "";
    }
    CHECK_TEXT(plan.error().outcome == Outcome::kNotRun, path.c_str());
    CHECK(plan.error().status >= 400 && plan.error().status < 500);
    return plan.error().code;
  }

  std::string ModelCode(const std::string& body,
                        const HttpHeaders& headers = {}) {
    return Code("POST", "/v1/completions", body, headers);
  }
};

// Guards against paths that reach another service because a backend server
// normalises them differently than the entry.
TEST(CallPlan, RefusesPathsThatCouldLeaveTheService) {
  for (const std::string rest : {"/../other/orders",
                                 "/x/../../other",
                                 "/..",
                                 "/.",
                                 "/./x",
                                 "/%2e%2e/other",
                                 "/%2E./other",
                                 "/.%2e",
                                 "/x%2f..%2fother",
                                 "/x%2Fy",
                                 "/..;a=b/other",
                                 "/%2e%2e;a/other",
                                 "/..\\other",
                                 "/..%5cother",
                                 "/x%00",
                                 "/x%0d%0aHost: y",
                                 "/x%7f",
                                 "/%",
                                 "/%2",
                                 "/%zz",
                                 "/x#/../y"}) {
    STRCMP_EQUAL_TEXT("bad_path", Code("GET", "/s/t/p" + rest).c_str(),
                      rest.c_str());
  }
  STRCMP_EQUAL("bad_path", Code("GET", "/s/../v1/models").c_str());
  STRCMP_EQUAL("bad_path", Code("GET", "/s/t/p/../other/x").c_str());
}

// Guards against harmless paths that are refused or modified.
TEST(CallPlan, PassesPlainPathsOnUnchanged) {
  for (const std::string rest :
       {"/", "/orders", "/a..b/c.", "/...", "/%41%20b", "/%252e", "//x",
        "/x;a=b", "/x?next=../y&p=%2f#", "/sch%C3%B6n"}) {
    const auto plan = Plan("GET", "/s/t/p" + rest);
    CHECK_TEXT(plan.has_value(), rest.c_str());
    STRCMP_EQUAL(rest.c_str(), plan->path.c_str());
    STRCMP_EQUAL("p", plan->service.c_str());
  }
  STRCMP_EQUAL("/?x=1", Plan("GET", "/s/t/p?x=1")->path.c_str());
}

// Guards against bodies that crash the process, such as deeply nested JSON, and
// malformed bodies that are accepted.
TEST(CallPlan, RefusesBadBodies) {
  const std::string deep(1 << 20, '[');
  for (const std::string& body :
       {std::string(), std::string("["), std::string("[]"), std::string("7"),
        std::string("{\"model\":\"t/s\""), std::string("{\"model\":\"t/s\"} x"),
        std::string("{\"model\":\"t/s\",\"prompt\":\"\xff\"}"),
        std::string("{\"model\":\"t/s\",\"n\":1e999}"), deep,
        "{\"model\":\"t/s\",\"x\":" + deep,
        "{\"model\":\"t/s\",\"x\":" + std::string(64, '[') +
            std::string(64, ']') + "}"}) {
    STRCMP_EQUAL_TEXT("bad_json", ModelCode(body).c_str(),
                      body.substr(0, 60).c_str());
  }
  STRCMP_EQUAL("", ModelCode("{\"model\":\"t/s\",\"x\":" +
                             std::string(63, '[') + std::string(63, ']') + "}")
                       .c_str());
  for (const char* model : {"7", "null", "{}", "[\"t/s\"]", "true", "\"s\""}) {
    STRCMP_EQUAL("bad_model",
                 ModelCode(std::string("{\"model\":") + model + "}").c_str());
  }
  STRCMP_EQUAL("bad_model", ModelCode("{}").c_str());
  STRCMP_EQUAL("bad_stream",
               ModelCode(R"({"model":"t/s","stream":"yes"})").c_str());
  STRCMP_EQUAL("method_not_allowed",
               Code("GET", "/v1/completions", "{}").c_str());
}

// Guards against invalid names that resolve to an existing model, team or
// service.
TEST(CallPlan, RefusesUnknownNames) {
  const auto model = [&](const std::string& name) {
    return ModelCode("{\"model\":\"" + name + "\"}");
  };
  for (const char* name : {"t/a@2", "t/a@01", "t/a@+1", "t/a@1@1", "t/a@",
                           "t/@1", "t/x@1", "t/nix", "t/", "t//s", "t/s/s",
                           "t/S", "t/a", "t/a@99999999999999999999"}) {
    STRCMP_EQUAL_TEXT("unknown_model", model(name).c_str(), name);
  }
  for (const char* name : {"u/s", "/s", "T/s", "../t/s"}) {
    STRCMP_EQUAL_TEXT("unknown_team", model(name).c_str(), name);
  }
  for (const char* path : {"/s/u/p/x", "/s//p/x", "/s/", "/s/T/p/x"}) {
    STRCMP_EQUAL_TEXT("unknown_team", Code("GET", path).c_str(), path);
  }
  for (const char* path :
       {"/s/t", "/s/t/", "/s/t/q/x", "/s/t//p/x", "/s/t/%70/x"}) {
    STRCMP_EQUAL_TEXT("unknown_service", Code("GET", path).c_str(), path);
  }
  for (const char* path : {"/", "", "*", "/s", "/v1/other", "/metrics"}) {
    STRCMP_EQUAL_TEXT("unknown_path", Code("GET", path).c_str(), path);
  }
}

// Guards against invalid headers that are silently replaced by a default.
TEST(CallPlan, RefusesBadHeaders) {
  const std::string body = R"({"model":"t/s"})";
  STRCMP_EQUAL("unknown_kind",
               ModelCode(body, {{"X-Request-Kind", "other"}}).c_str());
  for (const char* timeout :
       {"0", "-1", "x", "1s", "1.5", " 1", "99999999999999999999"}) {
    STRCMP_EQUAL_TEXT(
        "bad_timeout",
        ModelCode(body, {{"X-Request-Timeout-Ms", timeout}}).c_str(), timeout);
  }
}

// Guards against a caller that selects another team by a header or a body
// field.
TEST(CallPlan, TakesTheTeamFromTheNameOnly) {
  const HttpHeaders claims = {{"X-Team", "u"},
                              {"X-Amaranthcove-Team", "u"},
                              {"X-Original-URL", "/s/u/p/x"},
                              {"X-Forwarded-Prefix", "/s/u"},
                              {"Host", "u"}};
  STRCMP_EQUAL("t", Plan("GET", "/s/t/p/x", "", claims)->team.c_str());
  const auto plan =
      Plan("POST", "/v1/completions", R"({"team":"u","model":"t/s"})", claims);
  STRCMP_EQUAL("t", plan->team.c_str());
  STRCMP_EQUAL("t/a@1", plan->model.c_str());
}

// Guards against reporting `not_run` for an operation that may have run under
// an earlier service document.
TEST(CallPlan, RefusedOperationHasUnknownOutcome) {
  const HttpHeaders key = {
      {"Idempotency-Key", "op1.booking-1.123.4.0123456789abcdef"}};
  CHECK(Plan("POST", "/s/t/p/orders", "", key)->kind == CallKind::kOperation);
  const auto refused = Plan("POST", "/s/t/gone/orders", "", key);
  CHECK(!refused && refused.error().outcome == Outcome::kUnknown);
  CHECK(
      Plan("POST", "/s/t/p/orders", "", {{"Idempotency-Key", "mine"}})->kind ==
      CallKind::kNeedsOperationId);
}

}  // namespace amaranthcove
