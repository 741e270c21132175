#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/net/http_server.h"
#include "testing/standins/engine.h"
#include "testing/standins/expected_answer.h"
#include "testing/standins/http_util.h"
#include "testing/standins/plain_service.h"
#include "testing/standins/platform.h"
#include "testing/standins/weight_store.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::standins {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);
constexpr const char* kModel = "team/adapter@1";

struct Answer {
  HttpCallEnd end = HttpCallEnd::kBroken;
  HttpResponse response;
  Json body;
};

}  // namespace

TEST_GROUP(StandIns) {
  EventLoop loop;
  std::unique_ptr<HttpClient> client = HttpClient::Create(loop);
  std::unique_ptr<StandIn> stand_in;
  std::unique_ptr<HttpServer> server;

  void Serve(std::unique_ptr<StandIn> served) {
    stand_in = std::move(served);
    auto listening = HttpServer::Listen(
        loop, {"127.0.0.1", 0}, HttpServer::Options(),
        [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
          stand_in->Handle(std::move(request), std::move(responder));
        });
    CHECK(listening.has_value());
    server = std::move(*listening);
  }

  void ServeEngine(const EngineSettings& base = EngineSettings()) {
    EngineSettings settings = base;
    settings.step = std::chrono::milliseconds(1);
    Serve(std::make_unique<Engine>(loop, *client, settings));
  }

  void RunUntil(const std::function<bool()>& done) {
    const Time deadline = SteadyNow() + kTimeout;
    while (!done()) {
      CHECK_TEXT(SteadyNow() < deadline,
                 "the condition did not hold within the time limit");
      loop.RunOnce(std::chrono::milliseconds(20));
    }
  }

  std::shared_ptr<std::optional<Answer>> StartFetch(HttpRequest request) {
    auto answer = std::make_shared<std::optional<Answer>>();
    client->Fetch(server->local_address(), std::move(request),
                  SteadyNow() + kTimeout,
                  [answer](HttpCallEnd end, HttpResponse response) {
                    Json body = Json::parse(response.body, nullptr, false);
                    *answer = Answer{end, std::move(response), std::move(body)};
                  });
    return answer;
  }

  Answer Fetch(HttpRequest request) {
    const auto answer = StartFetch(std::move(request));
    RunUntil([&answer] { return answer->has_value(); });
    return std::move(**answer);
  }

  Answer Get(const std::string& path) {
    return Fetch({"GET", path, {}, ""});
  }

  Answer Post(const std::string& path, const Json& body) {
    return Fetch({"POST", path, {}, body.dump()});
  }

  Answer LoadModel() {
    return Post("/v1/adapters/load",
                {{"model", kModel}, {"slot", 0}, {"fence", 5}});
  }

  HttpRequest Completion(const std::string& prompt, bool stream) {
    const Json body = {{"model", kModel},
                       {"prompt", prompt},
                       {"max_tokens", 20},
                       {"stream", stream}};
    return {"POST",
            "/v1/completions",
            {{"x-stream-id", "s" + prompt}},
            body.dump()};
  }

  void teardown() override {
    server.reset();
    stand_in.reset();
    client.reset();
    for (int i = 0; i < 20; ++i) {
      loop.RunOnce(Duration::zero());
    }
  }
};

// Guards against ExpectedAnswer, from which tests compute the answer of a
// completion, differing from the text that the engine generates.
TEST(StandIns, EngineGeneratesExpectedAnswer) {
  ServeEngine();
  CHECK_EQUAL(404, Fetch(Completion("a", false)).response.status);
  CHECK_EQUAL(200, LoadModel().response.status);
  const Answer answer = Fetch(Completion("a", false));
  CHECK(answer.body["choices"][0]["text"] == ExpectedAnswer(kModel, "a", 20));
  CHECK(answer.body["model"] == kModel);
  const Json entry = Get("/_log").body["entries"][0];
  CHECK(entry["end"] == "completed");
  CHECK(entry["tokens"] == 20);
}

// Guards against a resumed stream whose events differ from the original ones or
// do not begin at the requested number.
TEST(StandIns, EngineResumesStreams) {
  ServeEngine();
  LoadModel();
  const Answer whole = Fetch(Completion("a", true));
  const Answer again = Get("/v1/streams/sa?from=0");
  CHECK(whole.response.body.ends_with("data: [DONE]\n\n"));
  CHECK(whole.response.body == again.response.body);
  const Answer rest = Get("/v1/streams/sa?from=19");
  CHECK(rest.response.body.starts_with("id: 19\n"));
}

// Guards against an engine that answers the resumption of a request without
// `stream` with events instead of JSON, which a sidecar must treat as a wrong
// answer.
TEST(StandIns, EngineResumesJsonAnswers) {
  ServeEngine();
  LoadModel();
  const auto first = StartFetch(Completion("a", false));
  const Answer resumed = [this] {
    for (;;) {
      Answer answer = Get("/v1/streams/sa?from=0");
      if (answer.response.status != 404) {
        return answer;
      }
    }
  }();
  CHECK(resumed.body["choices"][0]["text"] == ExpectedAnswer(kModel, "a", 20));
  const Answer again = Get("/v1/streams/sa?from=0");
  CHECK(resumed.body == again.body);
  RunUntil([&first] { return first->has_value(); });
}

// Guards against an engine that accepts a command with a lower fencing number
// than one it has seen, or a request for another boot id.
TEST(StandIns, EngineRejectsStaleFencingNumberAndBootId) {
  ServeEngine();
  LoadModel();
  const Answer stale = Post("/v1/adapters/unload", {{"slot", 0}, {"fence", 4}});
  CHECK_EQUAL(409, stale.response.status);
  CHECK(stale.body["fence"] == 5);
  HttpRequest request = Completion("a", false);
  request.headers.push_back({"x-boot-id", "other"});
  CHECK_EQUAL(412, Fetch(request).response.status);
}

// Guards against a simulated crash that keeps connections, loaded adapters or
// the boot id.
TEST(StandIns, CrashResetsEngine) {
  EngineSettings settings;
  settings.restart_time = Duration::zero();
  ServeEngine(settings);
  LoadModel();
  const std::string boot_id = Get("/v1/state").body["boot_id"];
  const auto other = StartFetch(Completion("a", true));
  CHECK(Fetch(Completion("CRASH", false)).end == HttpCallEnd::kBroken);
  RunUntil([&other] { return other->has_value(); });
  const Json state = Get("/v1/state").body;
  CHECK(state["boot_id"] != boot_id);
  CHECK(state["slots"][0].is_null());
}

// Guards against a weight store that starts loads above its rate or accepts
// requests above its queue limit.
TEST(StandIns, WeightStoreLimitsLoads) {
  WeightStoreSettings settings;
  settings.loads_per_s = 0.0001;
  settings.burst = 1;
  settings.queue_limit = 1;
  settings.load_time = std::chrono::milliseconds(1);
  Serve(std::make_unique<WeightStore>(loop, settings));
  CHECK_EQUAL(200, Get("/v1/weights/team/adapter/1").response.status);
  const auto waiting =
      StartFetch({"GET", "/v1/weights/team/adapter/2", {}, ""});
  RunUntil([this] { return Get("/_stats").body["waiting"] == 1; });
  CHECK_EQUAL(429, Get("/v1/weights/team/adapter/3").response.status);
  CHECK_FALSE(waiting->has_value());
}

// Guards against a request that is not counted as an execution because its
// answer was lost.
TEST(StandIns, LostAnswersCountAsExecutions) {
  Serve(std::make_unique<PlainService>(loop, PlainServiceSettings()));
  Post("/_control", {{"lose_next_answers", 1}});
  const HttpRequest order = {"POST", "/orders", {{"X-Operation-Id", "op"}}, ""};
  CHECK(Fetch(order).end == HttpCallEnd::kBroken);
  CHECK_EQUAL(200, Fetch(order).response.status);
  CHECK(Get("/_executions").body["operations"]["op"] == 2);
}

// Guards against a watch that is not answered when a document changes, a stale
// mode that shows a later change and a down mode that answers.
TEST(StandIns, PlatformAnswersWatches) {
  Serve(std::make_unique<Platform>(loop, PlatformSettings()));
  const auto watch =
      StartFetch({"GET", "/v1/documents?after=0&wait_ms=19000", {}, ""});
  RunUntil([this] { return Get("/_stats").body["pending_watches"] == 1; });
  const Json put = {{"put_documents", {{{"team", "t"}, {"text", "x"}}}}};
  Post("/_control", put);
  RunUntil([&watch] { return watch->has_value(); });
  CHECK((*watch)->body["documents"][0]["team"] == "t");
  CHECK(Get("/v1/documents/t").body["text"] == "x");
  Post("/_control", {{"mode", "stale"}});
  Post("/_control", put);
  CHECK(Get("/v1/documents?after=0").body["revision"] == 1);
  Post("/_control", {{"mode", "up"}});
  CHECK(Get("/v1/documents?after=0").body["revision"] == 2);
  Post("/_control", {{"mode", "down"}});
  CHECK(Get("/v1/documents?after=0").end == HttpCallEnd::kBroken);
}

// Guards against a platform that does not count pending watches against its
// call limit.
TEST(StandIns, PlatformCountsPendingWatches) {
  PlatformSettings settings;
  settings.calls_per_s = 1;
  Serve(std::make_unique<Platform>(loop, settings));
  const auto watch =
      StartFetch({"GET", "/v1/instances?after=0&wait_ms=19000", {}, ""});
  RunUntil([this] { return Get("/_stats").body["pending_watches"] == 1; });
  CHECK_EQUAL(429, Get("/v1/instances").response.status);
}

}  // namespace amaranthcove::standins
