#include "testing/integration/fleet_fixture.h"
#include "testing/integration/relay.h"
#include "testing/standins/expected_answer.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::testing {

namespace {

constexpr char kCompletions[] = "/v1/completions";
constexpr int kTokens = 40;

}  // namespace

TEST_GROUP(EngineFaults) {
  FleetFixture fleet_;
  std::vector<FleetFixture::Server*> engines_;
  std::vector<FleetFixture::SidecarNode*> sidecars_;
  std::vector<FleetFixture::EntryNode*> entries_;

  void StartFleet(int engines, int entries = 1,
                  const standins::EngineSettings& settings = FastEngine()) {
    for (int i = 0; i < engines; ++i) {
      engines_.push_back(&fleet_.AddEngine(settings));
      sidecars_.push_back(&fleet_.AddEngineSidecar(
          "engine-" + std::to_string(i + 1), engines_.back()->address()));
    }
    StartEntries(entries);
  }

  void StartEntries(int entries) {
    for (int i = 0; i < entries; ++i) {
      entries_.push_back(&fleet_.AddEntry("entry-" + std::to_string(i + 1)));
    }
    CHECK(fleet_.WaitReady());
  }

  static standins::EngineSettings FastEngine() {
    standins::EngineSettings settings;
    settings.step = std::chrono::milliseconds(10);
    settings.restart_time = std::chrono::milliseconds(100);
    return settings;
  }

  std::shared_ptr<PendingCall> StartStream(const std::string& prompt) {
    return fleet_.Start(
        entries_[0]->address(), "POST", kCompletions,
        CompletionBody("atelier/wool@1", prompt, kTokens, true));
  }

  PendingCall Complete(const std::string& model, const std::string& prompt,
                       int entry = 0) {
    return fleet_.Call(entries_[entry]->address(), "POST", kCompletions,
                       CompletionBody(model, prompt, kTokens));
  }

  static std::string Expected(const std::string& model,
                              const std::string& prompt) {
    return standins::ExpectedAnswer(model, prompt, kTokens);
  }

  bool WaitForTokens(const PendingCall& call, std::size_t events) {
    return fleet_.RunUntil([&] {
      std::size_t count = 0;
      std::size_t at = 0;
      while ((at = call.response.body.find("data: ", at)) !=
             std::string::npos) {
        ++at;
        ++count;
      }
      return count >= events || call.end.has_value();
    });
  }

  bool WaitForEnd(const PendingCall& call) {
    return fleet_.RunUntil([&] { return call.end.has_value(); });
  }

  // Returns the first engine that is running a stream, or null.
  FleetFixture::Server* BusyEngine() {
    for (FleetFixture::Server* engine : engines_) {
      if (!fleet_.Get(engine->address(), "/v1/state")["running"].empty()) {
        return engine;
      }
    }
    return nullptr;
  }

  int Stat(const FleetFixture::Server& engine, const char* name) {
    return fleet_.Get(engine.address(), "/_stats").value(name, 0);
  }

  static bool HasFinalMarker(const PendingCall& call) {
    return call.response.body.ends_with("data: [DONE]\n\n");
  }

  void CheckCompleteStream(const PendingCall& call, const std::string& prompt) {
    CHECK(call.whole());
    CHECK(HasFinalMarker(call));
    STRCMP_EQUAL(Expected("atelier/wool@1", prompt).c_str(),
                 AnswerText(call).c_str());
  }

  void CheckBrokenStream(const PendingCall& call, const std::string& prompt) {
    CHECK_FALSE(call.whole());
    CHECK_FALSE(HasFinalMarker(call));
    CHECK(Expected("atelier/wool@1", prompt).starts_with(AnswerText(call)));
  }
};

// Guards against an answer from another adapter or version than the requested
// one, in particular when there are more adapters than slots in the engine.
TEST(EngineFaults, EveryVersionAnswersItsOwnRequests) {
  standins::EngineSettings settings = FastEngine();
  settings.slots = 1;
  StartFleet(1, 1, settings);
  std::vector<std::pair<std::string, std::shared_ptr<PendingCall>>> calls;
  for (int i = 0; i < 12; ++i) {
    const std::string model = i % 3 == 0   ? "atelier/silk-care@3"
                              : i % 3 == 1 ? "atelier/silk-care@4"
                                           : "atelier/wool@1";
    calls.emplace_back(
        model, fleet_.Start(entries_[0]->address(), "POST", kCompletions,
                            CompletionBody(model, "same", kTokens)));
  }
  for (const auto& [model, call] : calls) {
    CHECK(WaitForEnd(*call));
    CHECK_EQUAL(200, call->response.status);
    STRCMP_EQUAL(Expected(model, "same").c_str(), AnswerText(*call).c_str());
  }
}

// Guards against tokens of another adapter reaching the caller after the
// adapter in the slot was replaced without the sidecar's knowledge.
TEST(EngineFaults, WrongModelIsNeverRelayed) {
  StartFleet(1);
  const auto call = StartStream("p");
  // Reads the raw bytes, because an HTTP client may discard data that arrives
  // just before the connection breaks.
  std::string raw;
  bool closed = false;
  const std::string body = CompletionBody("atelier/wool@1", "q", kTokens, true);
  const auto caller = TcpConnection::Connect(
      fleet_.loop(), entries_[0]->address(),
      {nullptr, [&raw](std::string_view bytes) { raw += bytes; },
       [&closed] { closed = true; }});
  caller->Write(
      "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  CHECK(WaitForTokens(*call, 3));
  CHECK(fleet_.RunUntil([&] { return raw.find("-3 ") != std::string::npos; }));
  fleet_.Control(engines_[0]->address(), {{"wrong_model", 2}});
  CHECK(WaitForEnd(*call));
  CHECK(fleet_.RunUntil([&] { return closed; }));
  CheckBrokenStream(*call, "p");
  CHECK(raw.find("wrong_answer") != std::string::npos);
  CHECK(raw.find("[DONE]") == std::string::npos);
  CHECK_FALSE(raw.ends_with("0\r\n\r\n"));
}

// Guards against a stream without the final marker that is treated as complete.
TEST(EngineFaults, StreamWithoutFinalMarkerIsNotComplete) {
  StartFleet(1);
  fleet_.Control(engines_[0]->address(), {{"ignore_final_marker", 1}});
  const auto call = StartStream("p");
  CHECK(WaitForEnd(*call));
  if (call->whole()) {
    // The sidecar got the final marker by resuming the stream.
    CheckCompleteStream(*call, "p");
  } else {
    CheckBrokenStream(*call, "p");
  }
}

// Guards against a truncated stream that appears complete after the engine
// restarted while it was generating.
TEST(EngineFaults, EngineRestartBreaksRunningStream) {
  StartFleet(1);
  const auto call = StartStream("p");
  CHECK(WaitForTokens(*call, 3));
  fleet_.Control(engines_[0]->address(), {{"restart", true}});
  CHECK(WaitForEnd(*call));
  CheckBrokenStream(*call, "p");
  const PendingCall next = Complete("atelier/wool@1", "next");
  STRCMP_EQUAL(Expected("atelier/wool@1", "next").c_str(),
               AnswerText(next).c_str());
}

// Guards against a repeatable request that fails when its engine restarts
// before any byte was delivered, although another engine can answer it.
TEST(EngineFaults, UndeliveredAnswerIsRetriedElsewhere) {
  StartFleet(2);
  const auto call = fleet_.Start(entries_[0]->address(), "POST", kCompletions,
                                 CompletionBody("atelier/wool@1", "p", 100));
  FleetFixture::Server* busy = nullptr;
  CHECK(fleet_.RunUntil([&] { return (busy = BusyEngine()) != nullptr; }));
  fleet_.Control(busy->address(), {{"restart", true}});
  CHECK(WaitForEnd(*call));
  STRCMP_EQUAL("", call->Error("code").c_str());
  CHECK_EQUAL(200, call->response.status);
}

// Guards against a request that crashes one engine after another while its
// caller repeats it, and against other requests in its batch failing with it.
TEST(EngineFaults, CrashingRequestIsQuarantined) {
  StartFleet(3, 2);
  const auto unrelated =
      fleet_.Start(entries_[0]->address(), "POST", kCompletions,
                   CompletionBody("atelier/wool@1", "innocent", kTokens));
  for (int i = 0; i < 6; ++i) {
    const PendingCall call = Complete("atelier/wool@1", "CRASH", i % 2);
    CHECK(call.response.status != 200);
  }
  int crashes = 0;
  for (const FleetFixture::Server* engine : engines_) {
    crashes += Stat(*engine, "crashes");
  }
  // The request may crash an engine once in a batch and once when run alone.
  CHECK(crashes >= 1);
  CHECK(crashes <= 2);
  CHECK(WaitForEnd(*unrelated));
  STRCMP_EQUAL("", unrelated->Error("code").c_str());
  STRCMP_EQUAL(Expected("atelier/wool@1", "innocent").c_str(),
               AnswerText(*unrelated).c_str());
  const PendingCall last = Complete("atelier/wool@1", "CRASH");
  STRCMP_EQUAL("crashes_server", last.Error("code").c_str());
  STRCMP_EQUAL("not_run", last.Error("outcome").c_str());
}

// Guards against missing or duplicate tokens and against a second execution
// after the connection between sidecar and engine stopped carrying data without
// being closed.
TEST(EngineFaults, SilentEngineConnectionIsResumed) {
  StartFleet(1);
  const auto call = StartStream("p");
  CHECK(WaitForTokens(*call, 3));
  fleet_.Control(engines_[0]->address(), {{"silence", true}});
  CHECK(WaitForEnd(*call));
  CheckCompleteStream(*call, "p");
  CHECK_EQUAL(1, Stat(*engines_[0], "streams"));
}

// Guards against missing or duplicate tokens and against a second execution
// after the connection between entry and sidecar stopped carrying data without
// being closed, in both directions or only from the sidecar.
TEST(EngineFaults, SilentPeerConnectionIsResumed) {
  engines_.push_back(&fleet_.AddEngine(FastEngine()));
  sidecars_.push_back(
      &fleet_.AddEngineSidecar("engine-1", engines_[0]->address()));
  Relay relay(fleet_.loop(), sidecars_[0]->sidecar->peer_address());
  fleet_.PutInstance(*sidecars_[0], relay.address());
  StartEntries(1);
  for (const bool both : {true, false}) {
    const std::string prompt = both ? "both" : "one way";
    const auto call = StartStream(prompt);
    CHECK(WaitForTokens(*call, 3));
    if (both) {
      relay.DropAllTraffic();
    } else {
      relay.DropServerTraffic();
    }
    CHECK(WaitForEnd(*call));
    CheckCompleteStream(*call, prompt);
  }
  CHECK_EQUAL(2, Stat(*engines_[0], "streams"));
}

// Guards against missing or duplicate tokens and against a second execution
// after the connection between entry and sidecar was closed during a stream.
TEST(EngineFaults, ClosedPeerConnectionIsResumed) {
  engines_.push_back(&fleet_.AddEngine(FastEngine()));
  sidecars_.push_back(
      &fleet_.AddEngineSidecar("engine-1", engines_[0]->address()));
  Relay relay(fleet_.loop(), sidecars_[0]->sidecar->peer_address());
  fleet_.PutInstance(*sidecars_[0], relay.address());
  StartEntries(1);
  const auto call = StartStream("p");
  for (std::size_t tokens = 5; tokens <= 25; tokens += 5) {
    CHECK(WaitForTokens(*call, tokens));
    relay.CloseConnections();
  }
  CHECK(WaitForEnd(*call));
  CheckCompleteStream(*call, "p");
  CHECK_EQUAL(1, Stat(*engines_[0], "streams"));
}

// Guards against a truncated stream that appears complete after its sidecar was
// killed, and against a repeatable request without delivered bytes that is not
// retried on another sidecar.
TEST(EngineFaults, KilledSidecarBreaksItsStream) {
  StartFleet(2);
  const auto stream = StartStream("p");
  CHECK(WaitForTokens(*stream, 3));
  FleetFixture::Server* busy = BusyEngine();
  FleetFixture::SidecarNode* dead =
      busy == engines_[0] ? sidecars_[0] : sidecars_[1];
  fleet_.Kill(*dead);
  CHECK(WaitForEnd(*stream));
  CheckBrokenStream(*stream, "p");
  const PendingCall call = Complete("atelier/wool@1", "q");
  STRCMP_EQUAL(Expected("atelier/wool@1", "q").c_str(),
               AnswerText(call).c_str());
}

// Guards against an engine that keeps generating after the caller disconnected.
TEST(EngineFaults, CallerGoneCancelsGeneration) {
  StartFleet(1);
  const auto call =
      fleet_.Start(entries_[0]->address(), "POST", kCompletions,
                   CompletionBody("atelier/wool@1", "p", 100000, true));
  CHECK(WaitForTokens(*call, 3));
  fleet_.Disconnect(call);
  CHECK(fleet_.RunUntil([&] { return BusyEngine() == nullptr; }));
}

// Guards against two sidecar incarnations that control the same engine. The
// older one must stop accepting work when the engine rejects its fencing
// number.
TEST(EngineFaults, OlderIncarnationIsSuperseded) {
  standins::EngineSettings settings = FastEngine();
  settings.slots = 1;
  StartFleet(1, 1, settings);
  CHECK_EQUAL(200, Complete("atelier/wool@1", "p").response.status);
  FleetFixture::SidecarNode& newer =
      fleet_.AddEngineSidecar("engine-9", engines_[0]->address());
  CHECK(fleet_.WaitReady());
  // Requests go to both until the engine rejects a command of the older one.
  CHECK(fleet_.RunUntil([&] {
    Complete("atelier/silk-care@3", "p");
    Complete("atelier/wool@1", "p");
    Complete("atelier/silk-care@4", "p");
    return sidecars_[0]->sidecar->leaving();
  }));
  CHECK_FALSE(newer.sidecar->leaving());
  const PendingCall call = Complete("atelier/silk-care@3", "after");
  STRCMP_EQUAL(Expected("atelier/silk-care@3", "after").c_str(),
               AnswerText(call).c_str());
}

// Guards against a failed load that is treated as a loaded adapter, and against
// the outcome `unknown` for a request that never started.
TEST(EngineFaults, FailedLoadIsRetriedAndThenNotRun) {
  StartFleet(1);
  fleet_.Control(engines_[0]->address(), {{"fail_next_loads", 1}});
  const PendingCall call = Complete("atelier/wool@1", "p");
  STRCMP_EQUAL(Expected("atelier/wool@1", "p").c_str(),
               AnswerText(call).c_str());
  fleet_.Control(engines_[0]->address(), {{"fail_next_loads", 1000}});
  const PendingCall failed = Complete("atelier/silk-care@3", "p");
  CHECK_EQUAL(503, failed.response.status);
  STRCMP_EQUAL("not_run", failed.Error("outcome").c_str());
  CHECK_FALSE(FindHeader(failed.response.headers, "Retry-After").empty());
}

// Guards against a leaving sidecar that aborts its running streams or accepts
// new work.
TEST(EngineFaults, LeavingSidecarFinishesItsWork) {
  StartFleet(2);
  const auto call = StartStream("p");
  CHECK(WaitForTokens(*call, 3));
  FleetFixture::SidecarNode* leaving =
      BusyEngine() == engines_[0] ? sidecars_[0] : sidecars_[1];
  FleetFixture::Server* leaving_engine =
      leaving == sidecars_[0] ? engines_[0] : engines_[1];
  leaving->sidecar->Leave();
  leaving->sidecar->Leave();
  const int accepted = Stat(*leaving_engine, "streams");
  for (int i = 0; i < 5; ++i) {
    CHECK_EQUAL(200, Complete("atelier/wool@1", "q").response.status);
  }
  CHECK(WaitForEnd(*call));
  CheckCompleteStream(*call, "p");
  CHECK_EQUAL(accepted, Stat(*leaving_engine, "streams"));
  CHECK(fleet_.RunUntil([&] { return leaving->sidecar->drained(); }));
}

// Guards against a request that starts after its deadline passed in the queue,
// and against an outcome other than `not_run` for a request that never started.
TEST(EngineFaults, DeadlineInQueueIsNotRun) {
  standins::EngineSettings settings = FastEngine();
  settings.batch_size = 1;
  StartFleet(1, 1, settings);
  const auto running =
      fleet_.Start(entries_[0]->address(), "POST", kCompletions,
                   CompletionBody("atelier/wool@1", "long", 300, true));
  CHECK(WaitForTokens(*running, 1));
  const PendingCall late =
      fleet_.Call(entries_[0]->address(), "POST", kCompletions,
                  CompletionBody("atelier/wool@1", "late", 1),
                  {{"X-Request-Timeout-Ms", "300"}});
  CHECK(late.response.status >= 500);
  STRCMP_EQUAL("not_run", late.Error("outcome").c_str());
  CHECK(WaitForEnd(*running));
  CHECK(running->whole());
  CHECK_EQUAL(1, Stat(*engines_[0], "streams"));
}

}  // namespace amaranthcove::testing
