// Tests `RelayCall` with a fake upstream client instead of the network.

#include "src/router/relay_call.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/agent_link/test_status.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kService = "care";

// Records the calls, whose callbacks the test invokes in place of a server.
class FakeUpstream final : public UpstreamClient {
 public:
  UpstreamCallId Start(const Address& /*server*/,
                       const HttpRequest& request,
                       Callbacks callbacks,
                       const ConnectionFilter& /*filter*/) override {
    requests.push_back(request);
    calls.push_back(std::move(callbacks));
    return calls.size();
  }
  UpstreamConnectionId ConnectionOf(UpstreamCallId call) const override {
    return call;
  }
  void Cancel(UpstreamCallId /*call*/) override {}
  void PauseReading(UpstreamCallId /*call*/) override {}
  void ResumeReading(UpstreamCallId /*call*/) override {}
  bool IsUnsent(UpstreamCallId /*call*/) const override { return false; }
  void CloseIdle(const Address& /*server*/) override {}
  Counters counters() const override { return {}; }

  std::vector<HttpRequest> requests;
  std::vector<Callbacks> calls;
};

class FakeResponder final : public HttpResponder {
 public:
  // Stores the callback for the caller's departure in `on_caller_gone`, if set.
  explicit FakeResponder(std::function<void()>* on_caller_gone = nullptr)
      : on_caller_gone_(on_caller_gone) {}

  void Send(HttpResponse /*response*/) override {}
  void Start(HttpResponse /*response*/) override {}
  void Write(std::string_view /*data*/) override {}
  void End() override {}
  void Abort() override {}
  std::size_t buffered_bytes() const override { return 0; }
  bool IsCallerGone() const override { return false; }
  void OnCallerGone(std::function<void()> callback) override {
    if (on_caller_gone_ != nullptr) {
      *on_caller_gone_ = std::move(callback);
    }
  }

 private:
  std::function<void()>* on_caller_gone_;
};

RoutingConfig MakeConfig(std::int64_t version, bool has_service) {
  RoutingConfig config;
  config.version = version;
  if (has_service) {
    ServiceSpec service;
    service.name = kService;
    service.engine.emplace();
    service.engine->batch_size = 24;
    config.services[service.name] = service;
  }
  return config;
}

Route MakeRoute() {
  Route route;
  route.name = "advice";
  route.kind = CallKind::kStream;
  route.services = {{std::string(kService), 1}};
  return route;
}

RequestInfo MakeRequestInfo() {
  RequestInfo info;
  info.attempt_id = "a1";
  info.model = "base";
  info.adapter = "silk";
  return info;
}

RequestInfo MakePromptInfo() {
  RequestInfo info = MakeRequestInfo();
  info.prompt_tokens = 900;
  info.prompt_parts = {"first", "deadly"};
  return info;
}

// Returns a route whose requests may wait for some seconds.
Route MakeStreamRoute() {
  Route route = MakeRoute();
  route.target_latency = std::chrono::seconds(2);
  route.target_gap = std::chrono::milliseconds(300);
  return route;
}

BackendServer MakeEngine() {
  BackendServer server;
  server.id = "e1";
  server.service = kService;
  server.address = {"10.0.0.1", 80};
  server.slots = 24;
  return server;
}

}  // namespace

TEST_GROUP(RelayCall) {
  EventLoop loop_;
  FakeUpstream upstream_;
  EventLog log_{"router", {}};
  std::vector<agent_wire::AdapterDemand> demands_;
  AgentLinks links_{"r1", 1, [this](const Address&, std::string_view bytes) {
                      demands_.push_back(DecodeDatagram(bytes)->demand);
                    }};
  Fleet fleet_{{"dc", 7000, {0.2, 112, std::chrono::seconds(10)}}, links_};
  CrashTable crashes_;
  CrashChecker crash_checker_{loop_, [](std::uint64_t, const LostRequest&) {}};
  AnswerGate answers_{2};
  RelayCall::Environment environment_{
      loop_,    upstream_, fleet_,
      log_,     crashes_,  crash_checker_,
      answers_, [] {},     [](const auto&, const auto&, Time) {}};

  void setup() override {
    fleet_.directory().Put(MakeEngine());
    fleet_.SetConfig(MakeConfig(1, true));
  }

  // Runs the loop for `duration`.
  void RunFor(Duration duration) {
    const Time end = SteadyNow() + duration;
    while (SteadyNow() < end) {
      loop_.RunOnce(milliseconds(10));
    }
  }

  // Returns the adapter uses in the demand that is sent to the agent at `now`.
  std::vector<agent_wire::AdapterUse> SentUses(Time now) {
    demands_.clear();
    links_.Tick(now);
    CHECK_EQUAL(1, static_cast<int>(demands_.size()));
    return demands_[0].uses;
  }

  // Delivers the load of the other routers at the engine, whose agent limits
  // the prompts that it reads.
  void ReportLoad(std::int64_t sequence, std::int64_t tokens,
                  std::vector<std::int64_t> admitted) {
    agent_wire::AgentDatagram datagram;
    agent_wire::EngineLoad load;
    load.sequence = sequence;
    load.incarnation = 1;
    load.prompt_tokens = tokens;
    load.limits_prompts = true;
    load.admitted = std::move(admitted);
    datagram.__set_load(load);
    links_.Receive({"10.0.0.1", 7000}, EncodeDatagram(datagram), loop_.Now());
  }

  // Makes `parts` together the cause of three crashes.
  void AddCrashes(const std::vector<std::string>& parts, Time now) {
    for (int i = 0; i < 3; ++i) {
      ServerCrash crash;
      crash.id = static_cast<std::uint64_t>(i);
      crash.at = now - std::chrono::seconds(3 - i);
      crash.requests = {{static_cast<std::uint64_t>(i), {}}};
      for (const std::string& part : parts) {
        crash.requests[0].parts.push_back(HashPart(part));
      }
      crashes_.Put({"10.0.0.1", 7000}, crash, now);
    }
  }

  // Delivers a status in which the engine holds the adapter.
  void ReportResident(Time now) {
    links_.Receive({"10.0.0.1", 7000}, EncodeTestStatus(MakeTestStatus(0)),
                   now);
  }
};

// Guards against an adapter that is never evicted because the end of its use is
// not counted. The service is removed from the configuration while a request
// uses the adapter, and configured again after the request ended.
TEST(RelayCall, UseEndsEvenIfItsServiceWasRemoved) {
  const Time now = loop_.Now();
  ReportResident(now);
  RelayCall call(environment_, {}, MakeRequestInfo(), MakeRoute(),
                 CallerIdentity(), std::make_unique<FakeResponder>());
  int done = 0;
  call.Start(now, [&done](const RelayResult&) { ++done; });
  CHECK_EQUAL(1, static_cast<int>(upstream_.calls.size()));
  CHECK_EQUAL(1, SentUses(now + std::chrono::seconds(1))[0].running);
  fleet_.SetConfig(MakeConfig(2, false));
  upstream_.calls[0].on_head({200, {}, ""});
  upstream_.calls[0].on_end(UpstreamEnd::kComplete);
  CHECK_EQUAL(1, done);
  fleet_.SetConfig(MakeConfig(3, true));
  // The end of the use is sent once; after that, the use is no longer listed.
  CHECK_EQUAL(0, SentUses(now + std::chrono::seconds(2))[0].running);
  CHECK(SentUses(now + std::chrono::seconds(3)).empty());
}

// Guards against prompts that are sent to an engine that reads too many
// already, and against requests that wait for ever: the request is sent when
// the agent admits it, once.
TEST(RelayCall, BusyEnginesGetAPromptWhenTheirAgentAdmitsIt) {
  const Time now = loop_.Now();
  ReportResident(now);
  ReportLoad(1, 30'000, {});
  RelayCall call(environment_, {}, MakePromptInfo(), MakeStreamRoute(),
                 CallerIdentity(), std::make_unique<FakeResponder>());
  call.Start(now, [](const RelayResult&) {});
  CHECK(upstream_.calls.empty());
  demands_.clear();
  links_.Tick(now);
  CHECK_EQUAL(1, static_cast<int>(demands_[0].prompts.size()));
  const std::int64_t prompt = demands_[0].prompts[0].id;
  call.OnAdmitted(prompt + 1, now);
  CHECK(upstream_.calls.empty());
  call.OnAdmitted(prompt, now);
  call.OnAdmitted(prompt, now);
  CHECK_EQUAL(1, static_cast<int>(upstream_.calls.size()));
  links_.Tick(now + std::chrono::seconds(1));
  CHECK(demands_.back().prompts.empty());
  CHECK_EQUAL(900, static_cast<int>(demands_.back().prompt_tokens));
}

// Guards against a prompt that counts as unread after its first event, which
// would keep other requests away from the engine.
TEST(RelayCall, PromptsCountAsReadFromTheFirstEvent) {
  const Time now = loop_.Now();
  ReportResident(now);
  ReportLoad(1, 0, {});
  RelayCall call(environment_, {}, MakePromptInfo(), MakeStreamRoute(),
                 CallerIdentity(), std::make_unique<FakeResponder>());
  call.Start(now, [](const RelayResult&) {});
  CHECK_EQUAL(900, static_cast<int>(links_.unread_tokens("e1")));
  upstream_.calls[0].on_head({200, {}, ""});
  upstream_.calls[0].on_data("id: 1\ndata: x\n\n");
  CHECK_EQUAL(0, static_cast<int>(links_.unread_tokens("e1")));
}

// Guards against a prompt that counts as unread or waiting after its caller has
// left.
TEST(RelayCall, PromptsOfCallersThatLeftDoNotCount) {
  const Time now = loop_.Now();
  ReportResident(now);
  ReportLoad(1, 30'000, {});
  std::function<void()> leave;
  RelayCall call(environment_, {}, MakePromptInfo(), MakeStreamRoute(),
                 CallerIdentity(), std::make_unique<FakeResponder>(&leave));
  call.Start(now, [](const RelayResult&) {});
  CHECK_EQUAL(900, static_cast<int>(links_.prompt_tokens("e1")));
  leave();
  CHECK_EQUAL(0, static_cast<int>(links_.prompt_tokens("e1")));
}

// Guards against requests that wait for an agent that has ended: they are sent
// to the engine, in the version that it was last known to hold.
TEST(RelayCall, PromptsAreSentWithoutAnAgentThatAnswers) {
  const Time now = loop_.Now();
  ReportResident(now);
  ReportLoad(1, 30'000, {});
  RelayCall call(environment_, {}, MakePromptInfo(), MakeStreamRoute(),
                 CallerIdentity(), std::make_unique<FakeResponder>());
  call.Start(loop_.Now() + milliseconds(1), [](const RelayResult&) {});
  CHECK(upstream_.calls.empty());
  const Time limit = SteadyNow() + std::chrono::seconds(2);
  while (upstream_.calls.empty() && SteadyNow() < limit) {
    loop_.RunOnce(milliseconds(20));
  }
  CHECK_EQUAL(1, static_cast<int>(upstream_.calls.size()));
}

// Guards against sending a request on although it would crash its engine, also
// if that became known while it waited, and against telling its caller that it
// may have run.
TEST(RelayCall, RequestThatHoldsACrashCauseIsRefused) {
  const Time now = loop_.Now();
  ReportResident(now);
  ReportLoad(1, 30'000, {});
  std::vector<RelayOutcome> outcomes;
  const auto on_done = [&outcomes](const RelayResult& result) {
    outcomes.push_back(result.outcome);
  };
  RelayCall waiting(environment_, {}, MakePromptInfo(), MakeStreamRoute(),
                    CallerIdentity(), std::make_unique<FakeResponder>());
  waiting.Start(now, on_done);
  demands_.clear();
  links_.Tick(now);
  const std::int64_t prompt = demands_[0].prompts[0].id;
  AddCrashes({"first", "deadly"}, now);
  waiting.OnAdmitted(prompt, now);
  RelayCall later(environment_, {}, MakePromptInfo(), MakeStreamRoute(),
                  CallerIdentity(), std::make_unique<FakeResponder>());
  later.Start(now, on_done);
  CHECK(upstream_.calls.empty());
  CHECK_EQUAL(2, static_cast<int>(outcomes.size()));
  CHECK(outcomes[0] == RelayOutcome::kRefused);
  CHECK(outcomes[1] == RelayOutcome::kRefused);
}

// Guards against an agent that is not told which requests its engine's crash
// broke, also those that the engine had begun to answer, and against suspecting
// the parts of prompts whose answers had got past their beginning.
TEST(RelayCall, RequestsLostInACrashAreReported) {
  const Time now = loop_.Now();
  ReportResident(now);
  ReportLoad(1, 0, {});
  const auto start = [this, now](std::string attempt) {
    RequestInfo info = MakePromptInfo();
    info.attempt_id = std::move(attempt);
    auto call = std::make_unique<RelayCall>(environment_, HttpRequest(), info,
                                            MakeStreamRoute(), CallerIdentity(),
                                            std::make_unique<FakeResponder>());
    call->Start(now, [](const RelayResult&) {});
    return call;
  };
  const auto settled = start("a1");
  upstream_.calls[0].on_head({200, {}, ""});
  upstream_.calls[0].on_data("id: 1\ndata: x\n\n");
  RunFor(milliseconds(600));
  upstream_.calls[0].on_data("id: 2\ndata: x\n\n");
  const auto begun = start("a2");
  upstream_.calls[1].on_head({200, {}, ""});
  upstream_.calls[1].on_data("id: 1\ndata: x\n\n");
  const auto lost = start("a3");
  for (int i = 0; i < 3; ++i) {
    upstream_.calls[i].on_end(UpstreamEnd::kBroken);
  }
  links_.Tick(loop_.Now() + milliseconds(1));
  const auto& reports = demands_.back().lost;
  CHECK_EQUAL(3, static_cast<int>(reports.size()));
  CHECK_EQUAL(1, static_cast<int>(reports[0].parts.size()));
  CHECK_EQUAL(3, static_cast<int>(reports[1].parts.size()));
  CHECK(reports[1].parts == reports[2].parts);
  CHECK_EQUAL(reports[0].parts[0], reports[1].parts[0]);
}

}  // namespace amaranthcove
