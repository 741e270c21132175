#include "amaranthcove/entry/sidecar_links.h"

#include <memory>
#include <optional>
#include <string>

#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/tcp.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

// Timeout for an expected event. Passing tests do not depend on it.
constexpr Duration kTestTimeout = std::chrono::seconds(20);

wire::Hello MakeHello(const std::string& instance) {
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.instance = instance;
  hello.incarnation = 1;
  return hello;
}

SidecarEvents IgnoreEvents() {
  SidecarEvents events;
  events.on_hello = [](const wire::Hello&) {};
  events.on_connect_failed = [](const std::string&) {};
  events.on_silence = [](const std::string&) {};
  events.on_leaving = [](const std::string&, Incarnation) {};
  events.on_report = [](const std::string&, const wire::ServerReport&) {};
  events.on_document = [](const wire::Document&) {};
  events.on_documents_request = [](const wire::DocumentsRequest&,
                                   PeerConnection&) {};
  events.on_suspect = [](const wire::Suspect&) {};
  return events;
}

class IgnoringObserver final : public AttemptObserver {
 public:
  void OnChunk(const wire::Chunk&) override {}
  void OnRefused(const wire::Refused&) override {}
  void OnEnd(const wire::AnswerEnd&) override {}
  void OnLost(std::string_view) override {}
};

}  // namespace

// Runs a sidecar that answers a cancel with `reply_to_cancel_`.
TEST_GROUP(SidecarLinks) {
  EventLoop loop_;
  PeerContext sidecar_{loop_, MakeHello("engine-1"), "key", {}, nullptr, {}};
  PeerContext entry_{loop_, MakeHello("entry-1"), "key", {}, nullptr, {}};
  std::unique_ptr<TcpListener> listener_;
  std::unique_ptr<PeerConnection> accepted_;
  wire::Frame reply_to_cancel_;
  bool submitted_ = false;
  IgnoringObserver observer_;

  void setup() override {
    listener_ = *TcpListener::Listen(
        loop_, {"127.0.0.1", 0}, [this](std::unique_ptr<TcpConnection> tcp) {
          accepted_ = PeerConnection::Accept(
              sidecar_, std::move(tcp),
              {nullptr, [this](const wire::Frame& frame) { OnFrame(frame); },
               nullptr});
        });
  }

  void OnFrame(const wire::Frame& frame) {
    submitted_ = submitted_ || frame.__isset.submit;
    if (frame.__isset.cancel) {
      accepted_->Send(reply_to_cancel_);
    }
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const Time deadline = SteadyNow() + kTestTimeout;
    while (!condition() && SteadyNow() < deadline) {
      loop_.RunOnce(std::chrono::milliseconds(20));
    }
    return condition();
  }
};

// Guards against a caller that never gets a response, because the callback of
// `Cancel` is not called when the end of the response arrives while the cancel
// is in transit.
TEST(SidecarLinks, ReportsAnswerEndThatArrivesDuringCancel) {
  SidecarLinks links(entry_, {}, IgnoreEvents());
  for (const bool whole : {true, false}) {
    submitted_ = false;
    const AttemptId attempt = links.NewAttempt();
    wire::Submit submit;
    submit.attempt = wire::ToWire(attempt);
    links.Submit("engine-1", listener_->local_address(), submit,
                 SteadyNow() + kTestTimeout, &observer_);
    CHECK(RunUntil([this] { return submitted_; }));
    wire::AnswerEnd end;
    end.attempt = submit.attempt;
    end.error_code = whole ? "" : "deadline_exceeded";
    reply_to_cancel_ = wire::Frame();
    reply_to_cancel_.__set_answer_end(end);
    std::optional<Outcome> outcome;
    links.Cancel(attempt, kTestTimeout,
                 [&outcome](Outcome result) { outcome = result; });
    CHECK(RunUntil([&outcome] { return outcome.has_value(); }));
    CHECK(*outcome == (whole ? Outcome::kCompleted : Outcome::kUnknown));
  }
}

}  // namespace amaranthcove
