#include "src/engine_client/generation.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace amaranthcove::internal {

namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpUnavailable = 503;
constexpr std::string_view kFinalMarker = "[DONE]";

// Answers with these statuses mean that the engine ran nothing.
bool IsNotRun(int status) {
  return status == kHttpNotFound || status == kHttpPreconditionFailed ||
         status == kHttpUnavailable;
}

}  // namespace

bool IsAnswerOf(std::string_view json,
                std::string_view model,
                std::string_view boot_id) {
  const Json parsed = Json::parse(json, nullptr, false);
  if (!parsed.is_object()) {
    return false;
  }
  const auto has = [&](const char* key, std::string_view expected) {
    const auto found = parsed.find(key);
    return found != parsed.end() && found->is_string() &&
           found->get_ref<const std::string&>() == expected;
  };
  return has("model", model) && has("boot_id", boot_id);
}

GenerationStream::GenerationStream(EventLoop& loop,
                                   HttpClient& http,
                                   const Address& engine,
                                   const EngineClient::Settings& settings,
                                   GenerationRequest request,
                                   OnData on_data,
                                   OnEnd on_end)
    : loop_(loop),
      http_(http),
      engine_(engine),
      settings_(settings),
      request_(std::move(request)),
      on_data_(std::move(on_data)),
      on_end_(std::move(on_end)) {}

GenerationStream::~GenerationStream() {
  *alive_ = false;
  http_.Cancel(call_);
  loop_.Cancel(silence_timer_);
}

void GenerationStream::Start() {
  StartCall({"POST",
             request_.path,
             {{"Content-Type", "application/json"},
              {"X-Boot-Id", request_.boot_id},
              {"X-Stream-Id", request_.stream_id},
              {"X-Priority", std::to_string(request_.priority)}},
             request_.body});
}

void GenerationStream::StartCall(HttpRequest request) {
  status_ = 0;
  body_.clear();
  events_ = SseParser();
  HttpClient::Callbacks callbacks;
  callbacks.on_head = [this](const HttpResponse& head) { OnHead(head); };
  callbacks.on_data = [this](std::string_view bytes) { OnBytes(bytes); };
  callbacks.on_end = [this](HttpCallEnd end) { OnCallEnd(end); };
  call_ = http_.Start(engine_, std::move(request), request_.deadline,
                      std::move(callbacks));
  ArmSilenceTimer();
}

void GenerationStream::OnHead(const HttpResponse& head) {
  sent_ = true;
  status_ = head.status;
  ArmSilenceTimer();
}

void GenerationStream::OnBytes(std::string_view bytes) {
  ArmSilenceTimer();
  if (status_ != kHttpOk || !request_.streamed) {
    body_.append(bytes);
    return;
  }
  events_.Append(bytes);
  const std::shared_ptr<bool> alive = alive_;
  while (*alive) {
    const auto event = events_.Next();
    if (!event) {
      return;
    }
    OnEvent(*event);
  }
}

void GenerationStream::OnEvent(const SseEvent& event) {
  if (event.data == kFinalMarker) {
    Finish(GenerationEnd::kWhole);
    return;
  }
  if (!event.id || *event.id < next_event_) {
    return;
  }
  if (*event.id > next_event_) {
    Finish(GenerationEnd::kBroken);
    return;
  }
  if (!IsAnswerOf(event.data, request_.model, request_.boot_id)) {
    Finish(GenerationEnd::kWrongAnswer);
    return;
  }
  ++next_event_;
  resumes_ = 0;
  on_data_(event.data);
}

void GenerationStream::OnCallEnd(HttpCallEnd end) {
  call_ = 0;
  if (end == HttpCallEnd::kTimedOut) {
    Finish(GenerationEnd::kDeadline);
    return;
  }
  if (end == HttpCallEnd::kConnectFailed && !sent_) {
    Finish(
        GenerationResult{GenerationEnd::kNotRun, "engine_unreachable", 0, ""});
    return;
  }
  sent_ = true;
  const bool complete = end == HttpCallEnd::kComplete;
  if (complete && status_ != kHttpOk) {
    OnRefusal();
  } else if (complete && !request_.streamed) {
    OnWholeBody();
  } else {
    // A stream that ends without its final marker counts as broken, too.
    Probe();
  }
}

void GenerationStream::OnWholeBody() {
  if (!IsAnswerOf(body_, request_.model, request_.boot_id)) {
    Finish(GenerationEnd::kWrongAnswer);
    return;
  }
  on_data_(body_);
  Finish(GenerationEnd::kWhole);
}

void GenerationStream::OnRefusal() {
  if (resuming_) {
    // The engine no longer knows the stream.
    Finish(status_ == kHttpPreconditionFailed ? GenerationEnd::kEngineRestart
                                              : GenerationEnd::kBroken);
    return;
  }
  if (!IsNotRun(status_)) {
    Finish({GenerationEnd::kRejected, "", status_, body_});
    return;
  }
  const Json json = Json::parse(body_, nullptr, false);
  std::string code = "engine_refused";
  if (json.is_object() && json.contains("error") && json["error"].is_object()) {
    code = json["error"].value("code", code);
  }
  Finish({GenerationEnd::kNotRun, code, status_, ""});
}

void GenerationStream::ArmSilenceTimer() {
  loop_.Cancel(silence_timer_);
  silence_timer_ = loop_.RunAfter(settings_.silence_limit, [this] {
    silence_timer_ = 0;
    OnSilence();
  });
}

void GenerationStream::OnSilence() {
  http_.Cancel(std::exchange(call_, 0));
  sent_ = true;
  Probe();
}

void GenerationStream::Probe() {
  loop_.Cancel(std::exchange(silence_timer_, 0));
  if (++resumes_ > settings_.max_resumes) {
    Finish(GenerationEnd::kBroken);
    return;
  }
  const Time limit =
      std::min(request_.deadline, SteadyNow() + settings_.probe_limit);
  call_ = http_.Fetch(engine_, {"GET", "/v1/state", {}, ""}, limit,
                      [this](HttpCallEnd end, const HttpResponse& response) {
                        call_ = 0;
                        OnProbe(end, response);
                      });
}

void GenerationStream::OnProbe(HttpCallEnd end, const HttpResponse& response) {
  if (end == HttpCallEnd::kTimedOut && SteadyNow() >= request_.deadline) {
    // The probe ended with the request; that says nothing about the engine.
    Finish(GenerationEnd::kDeadline);
    return;
  }
  if (end != HttpCallEnd::kComplete || response.status != kHttpOk) {
    // No answer on a new connection either.
    Finish(GenerationEnd::kEngineRestart);
    return;
  }
  const Json state = Json::parse(response.body, nullptr, false);
  if (!state.is_object() ||
      state.value("boot_id", std::string()) != request_.boot_id) {
    Finish(GenerationEnd::kEngineRestart);
    return;
  }
  const Json running = state.value("running", Json::array());
  if (std::find(running.begin(), running.end(), request_.stream_id) !=
      running.end()) {
    // The engine works on it; only the deadline limits how long.
    resumes_ = 0;
  }
  Resume();
}

void GenerationStream::Resume() {
  resuming_ = true;
  StartCall({"GET",
             "/v1/streams/" + request_.stream_id +
                 "?from=" + std::to_string(next_event_),
             {{"X-Boot-Id", request_.boot_id}},
             ""});
}

void GenerationStream::Finish(const GenerationResult& result) {
  http_.Cancel(std::exchange(call_, 0));
  loop_.Cancel(std::exchange(silence_timer_, 0));
  // The owner destroys this object in the callback.
  const OnEnd on_end = on_end_;
  on_end(result);
}

void GenerationStream::Finish(GenerationEnd end) {
  Finish({end, "", 0, ""});
}

}  // namespace amaranthcove::internal
