#include "src/engine_client/generation.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/json.h"

namespace amaranthcove::internal {

namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpUnavailable = 503;
constexpr std::string_view kDoneMarker = "[DONE]";

// Returns whether `status` means that the engine has not started the request.
bool IsNotRun(int status) {
  return status == kHttpNotFound || status == kHttpPreconditionFailed ||
         status == kHttpUnavailable;
}

// Compares the `model` and `boot_id` members of the outermost object with their
// expected values, without building a tree. If a member is repeated, the last
// one counts, as in a parsed tree.
class AnswerChecker final : public nlohmann::json_sax<Json> {
 public:
  AnswerChecker(std::string_view model, std::string_view boot_id)
      : model_{"model", model}, boot_id_{"boot_id", boot_id} {}

  bool is_match() const {
    return is_object_ && model_.matches && boot_id_.matches;
  }

  bool null() override { return OnValue(); }
  bool boolean(bool /*value*/) override { return OnValue(); }
  bool number_integer(number_integer_t /*value*/) override { return OnValue(); }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return OnValue();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return OnValue();
  }
  bool binary(binary_t& /*value*/) override { return OnValue(); }

  bool string(string_t& value) override {
    if (depth_ == 1 && member_ != nullptr) {
      member_->matches = value == member_->expected;
    }
    return true;
  }

  bool key(string_t& name) override {
    if (depth_ == 1) {
      member_ = name == model_.name     ? &model_
                : name == boot_id_.name ? &boot_id_
                                        : nullptr;
    }
    return true;
  }

  bool start_object(std::size_t /*elements*/) override {
    is_object_ = is_object_ || depth_ == 0;
    OnValue();
    ++depth_;
    return true;
  }

  bool start_array(std::size_t /*elements*/) override {
    OnValue();
    ++depth_;
    return true;
  }

  bool end_object() override { return LeaveContainer(); }
  bool end_array() override { return LeaveContainer(); }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  struct Member {
    std::string_view name;
    std::string_view expected;
    bool matches = false;
  };

  // Handles a value that is not a string and so never matches.
  bool OnValue() {
    if (depth_ == 1 && member_ != nullptr) {
      member_->matches = false;
    }
    return true;
  }

  bool LeaveContainer() {
    --depth_;
    return true;
  }

  Member model_;
  Member boot_id_;
  // The compared member of the outermost object whose value is being read.
  Member* member_ = nullptr;
  int depth_ = 0;
  bool is_object_ = false;
};

// Returns the member `name` of an object, or nullopt if `json` is no object or
// the member is no string.
std::optional<std::string> TextMember(const Json& json, std::string_view name) {
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto member = json.find(name);
  if (member == json.end() || !member->is_string()) {
    return std::nullopt;
  }
  return member->get<std::string>();
}

}  // namespace

bool IsAnswerOf(std::string_view json,
                std::string_view model,
                std::string_view boot_id) {
  AnswerChecker checker(model, boot_id);
  return Json::sax_parse(json, &checker) && checker.is_match();
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
  loop_.Cancel(stall_timer_);
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
  request.keep_connection = false;
  status_ = 0;
  body_.clear();
  sse_parser_ = SseParser();
  HttpClient::Callbacks callbacks;
  callbacks.on_head = [this](const HttpResponse& head) { OnHead(head); };
  callbacks.on_data = [this](std::string_view bytes) { OnBytes(bytes); };
  callbacks.on_end = [this](HttpCallEnd end) { OnCallEnd(end); };
  call_ = http_.Start(engine_, std::move(request), request_.deadline,
                      std::move(callbacks));
  ResetStallTimer();
}

void GenerationStream::OnHead(const HttpResponse& head) {
  may_be_received_ = true;
  status_ = head.status;
  ResetStallTimer();
}

void GenerationStream::OnBytes(std::string_view bytes) {
  ResetStallTimer();
  if (status_ != kHttpOk || !request_.streamed) {
    body_.append(bytes);
    return;
  }
  sse_parser_.Append(bytes);
  const std::shared_ptr<bool> alive = alive_;
  while (*alive) {
    const auto event = sse_parser_.Next();
    if (!event) {
      return;
    }
    OnEvent(*event);
  }
}

void GenerationStream::OnEvent(const SseEvent& event) {
  if (event.data == kDoneMarker) {
    Finish(GenerationEnd::kComplete);
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
  probes_without_progress_ = 0;
  on_data_(event.data);
}

void GenerationStream::OnCallEnd(HttpCallEnd end) {
  call_ = 0;
  if (end == HttpCallEnd::kTimedOut) {
    Finish(GenerationEnd::kDeadline);
    return;
  }
  if (end == HttpCallEnd::kConnectFailed && !may_be_received_) {
    Finish(
        GenerationResult{GenerationEnd::kNotRun, "engine_unreachable", 0, ""});
    return;
  }
  may_be_received_ = true;
  const bool complete = end == HttpCallEnd::kComplete;
  if (complete && status_ != kHttpOk) {
    OnErrorStatus();
  } else if (complete && !request_.streamed) {
    OnCompleteBody();
  } else {
    // A stream that ends without `kDoneMarker` was also interrupted.
    ProbeEngine();
  }
}

void GenerationStream::OnCompleteBody() {
  if (!IsAnswerOf(body_, request_.model, request_.boot_id)) {
    Finish(GenerationEnd::kWrongAnswer);
    return;
  }
  on_data_(body_);
  Finish(GenerationEnd::kComplete);
}

void GenerationStream::OnErrorStatus() {
  if (resuming_) {
    // The engine no longer has the stream.
    Finish(status_ == kHttpPreconditionFailed ? GenerationEnd::kEngineRestart
                                              : GenerationEnd::kBroken);
    return;
  }
  if (!IsNotRun(status_)) {
    Finish({GenerationEnd::kRejected, "", status_, body_});
    return;
  }
  const Json json = ParseJson(body_);
  std::string code = "engine_refused";
  if (json.is_object() && json.contains("error")) {
    code = TextMember(json["error"], "code").value_or(code);
  }
  Finish({GenerationEnd::kNotRun, code, status_, ""});
}

void GenerationStream::ResetStallTimer() {
  last_activity_ = SteadyNow();
  if (stall_timer_ == 0) {
    ScheduleStallTimer();
  }
}

void GenerationStream::ScheduleStallTimer() {
  // The timer is re-armed only when it fires, because re-arming it for each
  // piece costs more than checking the time of the last one.
  stall_timer_ = loop_.RunAt(last_activity_ + settings_.stall_timeout, [this] {
    stall_timer_ = 0;
    if (SteadyNow() < last_activity_ + settings_.stall_timeout) {
      ScheduleStallTimer();
    } else {
      OnStall();
    }
  });
}

void GenerationStream::OnStall() {
  http_.Cancel(std::exchange(call_, 0));
  may_be_received_ = true;
  ProbeEngine();
}

void GenerationStream::ProbeEngine() {
  loop_.Cancel(std::exchange(stall_timer_, 0));
  if (++probes_without_progress_ > settings_.max_resumes) {
    Finish(GenerationEnd::kBroken);
    return;
  }
  const Time limit =
      std::min(request_.deadline, SteadyNow() + settings_.probe_timeout);
  call_ = http_.Fetch(engine_, {"GET", "/v1/state", {}, ""}, limit,
                      [this](HttpCallEnd end, const HttpResponse& response) {
                        call_ = 0;
                        OnProbe(end, response);
                      });
}

void GenerationStream::OnProbe(HttpCallEnd end, const HttpResponse& response) {
  if (end == HttpCallEnd::kTimedOut && SteadyNow() >= request_.deadline) {
    // The probe was cut short by the deadline of the request, which does not
    // mean that the engine has failed.
    Finish(GenerationEnd::kDeadline);
    return;
  }
  if (end != HttpCallEnd::kComplete || response.status != kHttpOk) {
    // The engine does not answer on a new connection either.
    Finish(GenerationEnd::kEngineRestart);
    return;
  }
  const Json state = ParseJson(response.body);
  if (TextMember(state, "boot_id") != request_.boot_id) {
    Finish(GenerationEnd::kEngineRestart);
    return;
  }
  const Json running = state.value("running", Json::array());
  if (std::find(running.begin(), running.end(), request_.stream_id) !=
      running.end()) {
    // The engine is still running the request, so only the deadline limits it.
    probes_without_progress_ = 0;
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
  loop_.Cancel(std::exchange(stall_timer_, 0));
  // The owner destroys this object in the callback.
  const OnEnd on_end = on_end_;
  on_end(result);
}

void GenerationStream::Finish(GenerationEnd end) {
  Finish({end, "", 0, ""});
}

}  // namespace amaranthcove::internal
