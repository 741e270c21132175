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

  // The engine that runs a stream, or null.
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

  static bool IsDone(const PendingCall& call) {
    return call.response.body.ends_with("data: [DONE]\n\n");
  }

  void CheckWholeStream(const PendingCall& call, const std::string& prompt) {
    CHECK(call.whole());
    CHECK(IsDone(call));
    STRCMP_EQUAL(Expected("atelier/wool@1", prompt).c_str(),
                 AnswerText(call).c_str());
  }

  void CheckBrokenStream(const PendingCall& call, const std::string& prompt) {
    CHECK_FALSE(call.whole());
    CHECK_FALSE(IsDone(call));
    CHECK(Expected("atelier/wool@1", prompt).starts_with(AnswerText(call)));
  }
};

// Guards against an answer by another adapter or version than was asked for,
// also when versions share an engine with too few slots for them.
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

// Guards against tokens of another adapter reaching the caller when something
// else has replaced the adapter in the slot.
TEST(EngineFaults, WrongModelIsNeverRelayed) {
  StartFleet(1);
  const auto call = StartStream("p");
  // The bytes as they are: a client may drop what comes just before a break.
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

// Guards against a stream without its final marker that is taken for whole.
TEST(EngineFaults, MissingFinalMarkerIsNotWhole) {
  StartFleet(1);
  fleet_.Control(engines_[0]->address(), {{"ignore_final_marker", 1}});
  const auto call = StartStream("p");
  CHECK(WaitForEnd(*call));
  if (call->whole()) {
    // The sidecar found the end by resuming.
    CheckWholeStream(*call, "p");
  } else {
    CheckBrokenStream(*call, "p");
  }
}

// Guards against an answer that seems whole after the engine died in the middle
// of it.
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

// Guards against a repeatable request that fails although another engine could
// have answered it.
TEST(EngineFaults, UnstartedAnswerIsRetriedElsewhere) {
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

// Guards against a request that takes down one engine after the other while its
// caller sends it again, and against innocent requests of its batch that fail.
TEST(EngineFaults, CrashingRequestIsQuarantined) {
  StartFleet(3, 2);
  const auto innocent =
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
  // One in a batch and one alone.
  CHECK(crashes >= 1);
  CHECK(crashes <= 2);
  CHECK(WaitForEnd(*innocent));
  STRCMP_EQUAL("", innocent->Error("code").c_str());
  STRCMP_EQUAL(Expected("atelier/wool@1", "innocent").c_str(),
               AnswerText(*innocent).c_str());
  const PendingCall last = Complete("atelier/wool@1", "CRASH");
  STRCMP_EQUAL("crashes_server", last.Error("code").c_str());
  STRCMP_EQUAL("not_run", last.Error("outcome").c_str());
}

// Guards against missing or doubled tokens, and a second run, after the
// connection between sidecar and engine went silent.
TEST(EngineFaults, SilentEngineConnectionIsResumed) {
  StartFleet(1);
  const auto call = StartStream("p");
  CHECK(WaitForTokens(*call, 3));
  fleet_.Control(engines_[0]->address(), {{"silence", true}});
  CHECK(WaitForEnd(*call));
  CheckWholeStream(*call, "p");
  CHECK_EQUAL(1, Stat(*engines_[0], "streams"));
}

// Guards against the same on the connection between entry and sidecar, silent
// in both directions or only in one.
TEST(EngineFaults, SilentPeerConnectionIsResumed) {
  engines_.push_back(&fleet_.AddEngine(FastEngine()));
  sidecars_.push_back(
      &fleet_.AddEngineSidecar("engine-1", engines_[0]->address()));
  Relay relay(fleet_.loop(), sidecars_[0]->sidecar->peer_address());
  fleet_.List(*sidecars_[0], relay.address());
  StartEntries(1);
  for (const bool both : {true, false}) {
    const std::string prompt = both ? "both" : "one way";
    const auto call = StartStream(prompt);
    CHECK(WaitForTokens(*call, 3));
    if (both) {
      relay.SilencePresent();
    } else {
      relay.SilenceAnswers();
    }
    CHECK(WaitForEnd(*call));
    CheckWholeStream(*call, prompt);
  }
  CHECK_EQUAL(2, Stat(*engines_[0], "streams"));
}

// Guards against the same when the connection is closed in the middle.
TEST(EngineFaults, CutPeerConnectionIsResumed) {
  engines_.push_back(&fleet_.AddEngine(FastEngine()));
  sidecars_.push_back(
      &fleet_.AddEngineSidecar("engine-1", engines_[0]->address()));
  Relay relay(fleet_.loop(), sidecars_[0]->sidecar->peer_address());
  fleet_.List(*sidecars_[0], relay.address());
  StartEntries(1);
  const auto call = StartStream("p");
  for (std::size_t tokens = 5; tokens <= 25; tokens += 5) {
    CHECK(WaitForTokens(*call, tokens));
    relay.Cut();
  }
  CHECK(WaitForEnd(*call));
  CheckWholeStream(*call, "p");
  CHECK_EQUAL(1, Stat(*engines_[0], "streams"));
}

// Guards against an answer that seems whole after its sidecar died, and against
// a repeatable request without delivered bytes that is not tried elsewhere.
TEST(EngineFaults, KilledSidecar) {
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

// Guards against work that goes on for a caller that has gone.
TEST(EngineFaults, CallerGoneCancelsGeneration) {
  StartFleet(1);
  const auto call =
      fleet_.Start(entries_[0]->address(), "POST", kCompletions,
                   CompletionBody("atelier/wool@1", "p", 100000, true));
  CHECK(WaitForTokens(*call, 3));
  fleet_.HangUp(call);
  CHECK(fleet_.RunUntil([&] { return BusyEngine() == nullptr; }));
}

// Guards against two sidecar incarnations that command the same engine: the
// older one must stop taking work when the engine shows it a newer number.
TEST(EngineFaults, OlderIncarnationIsSuperseded) {
  standins::EngineSettings settings = FastEngine();
  settings.slots = 1;
  StartFleet(1, 1, settings);
  CHECK_EQUAL(200, Complete("atelier/wool@1", "p").response.status);
  FleetFixture::SidecarNode& newer =
      fleet_.AddEngineSidecar("engine-9", engines_[0]->address());
  CHECK(fleet_.WaitReady());
  // Requests go to both until the older one meets the newer number.
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

// Guards against a failed load that is taken for a loaded adapter, and against
// `unknown` about a request that never started.
TEST(EngineFaults, FailedLoads) {
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

// Guards against a leaving server that cuts off what it runs or takes new work.
TEST(EngineFaults, LeavingSidecarFinishesItsWork) {
  StartFleet(2);
  const auto call = StartStream("p");
  CHECK(WaitForTokens(*call, 3));
  FleetFixture::SidecarNode* leaving =
      BusyEngine() == engines_[0] ? sidecars_[0] : sidecars_[1];
  FleetFixture::Server* its_engine =
      leaving == sidecars_[0] ? engines_[0] : engines_[1];
  leaving->sidecar->Leave();
  leaving->sidecar->Leave();
  const int accepted = Stat(*its_engine, "streams");
  for (int i = 0; i < 5; ++i) {
    CHECK_EQUAL(200, Complete("atelier/wool@1", "q").response.status);
  }
  CHECK(WaitForEnd(*call));
  CheckWholeStream(*call, "p");
  CHECK_EQUAL(accepted, Stat(*its_engine, "streams"));
  CHECK(fleet_.RunUntil([&] { return leaving->sidecar->drained(); }));
}

// Guards against work that starts after its deadline, and against refusals that
// claim too much: what never started is `not_run`.
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
