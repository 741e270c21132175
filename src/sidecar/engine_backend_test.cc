#include "amaranthcove/sidecar/engine_backend.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/net/http_server.h"

namespace amaranthcove {

namespace {

using Json = nlohmann::json;

// Bounds a test whose event never comes; it decides no verdict otherwise.
constexpr Duration kGiveUp = std::chrono::seconds(20);

class CountingObserver final : public WorkObserver {
 public:
  void OnHead(const AttemptId&, int, std::string_view) override {}
  void OnData(const AttemptId&, std::string_view) override {}
  void OnEnd(const AttemptId&, const WorkEnd&) override {}
  void OnRefused(const AttemptId&, const WorkRefusal&) override {}
  void OnSuspect(const wire::Suspect&) override {}
  void OnSuperseded() override { ++superseded; }

  int superseded = 0;
};

void SendJson(HttpResponder& responder, int status, const Json& body) {
  responder.Send({status, {{"Content-Type", "application/json"}}, body.dump()});
}

}  // namespace

// An engine that holds the first load command until the second has come.
TEST_GROUP(EngineBackendFencing) {
  EventLoop loop_;
  std::unique_ptr<HttpServer> engine_;
  std::unique_ptr<HttpClient> http_ = HttpClient::Create(loop_);
  CountingObserver observer_;
  std::unique_ptr<EngineBackend> backend_;
  std::unique_ptr<HttpResponder> first_load_;
  std::vector<std::int64_t> fences_;
  // Added to the second command's number in the rejection of the first.
  std::int64_t above_second_ = 0;

  void setup() override {
    auto engine = HttpServer::Listen(
        loop_, {"127.0.0.1", 0}, {},
        [this](const HttpRequest& request,
               std::unique_ptr<HttpResponder> responder) {
          if (request.path == "/v1/state") {
            SendJson(*responder, 200,
                     {{"boot_id", "7"},
                      {"base_model", "base-1"},
                      {"batch_size", 8},
                      {"slots", Json::array({nullptr, nullptr})},
                      {"running", Json::array()},
                      {"queued", 0},
                      {"fence", 0}});
          } else if (request.path == "/v1/adapters/load") {
            OnLoad(Json::parse(request.body), std::move(responder));
          }
        });
    CHECK(engine.has_value());
    engine_ = std::move(*engine);
    EngineBackendSettings settings;
    settings.engine = engine_->local_address();
    settings.base_model = "base-1";
    backend_ =
        std::make_unique<EngineBackend>(loop_, *http_, observer_, settings, 1);
    backend_->Start();
    CHECK(RunUntil([this] { return backend_->ready(); }));
    Submit(1, "team/a@1");
    Submit(2, "team/b@1");
  }

  void teardown() override {
    backend_.reset();
    first_load_.reset();
  }

  void OnLoad(const Json& command, std::unique_ptr<HttpResponder> responder) {
    fences_.push_back(command["fence"].get<std::int64_t>());
    if (fences_.size() == 1) {
      first_load_ = std::move(responder);
      return;
    }
    if (fences_.size() == 2) {
      SendJson(*first_load_, 409,
               {{"error", {{"code", "stale_fence"}}},
                {"fence", fences_[1] + above_second_}});
    }
    SendJson(*responder, 200,
             {{"boot_id", "7"}, {"slot", command["slot"]}, {"load_ms", 0}});
  }

  void Submit(std::int64_t number, const std::string& model) {
    Work work;
    work.attempt = {"entry-1", 1, number};
    work.request.model = model;
    work.request.path = "/v1/completions";
    work.request.urgent = true;
    work.arrival = loop_.Now();
    work.deadline = work.arrival + kGiveUp;
    backend_->Submit(std::move(work));
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const Time limit = SteadyNow() + kGiveUp;
    while (!condition() && SteadyNow() < limit) {
      loop_.RunOnce(std::chrono::milliseconds(20));
    }
    return condition();
  }
};

// Guards against a sidecar that takes its own later command, which overtook an
// earlier one, for a successor and stops working.
TEST(EngineBackendFencing, RepeatsALoadThatItsOwnCommandOvertook) {
  CHECK(RunUntil([this] { return fences_.size() == 3; }));
  CHECK(fences_[2] > fences_[1]);
  CHECK_EQUAL(0, observer_.superseded);
}

// Guards against a sidecar that goes on beside its successor.
TEST(EngineBackendFencing, LeavesWhenTheNumberIsNotItsOwn) {
  above_second_ = 1000;
  CHECK(RunUntil([this] { return observer_.superseded > 0; }));
  CHECK_EQUAL(2U, fences_.size());
}

}  // namespace amaranthcove
