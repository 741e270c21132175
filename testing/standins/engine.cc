#include "testing/standins/engine.h"

#include <algorithm>
#include <set>

#include "amaranthcove/base/ids.h"
#include "testing/standins/expected_answer.h"

namespace amaranthcove::standins {

namespace {

constexpr Duration kFinishedStreamTtl = std::chrono::seconds(10);
constexpr Duration kDetachedStreamTimeout = std::chrono::seconds(5);
constexpr Duration kLoadTimeWithoutStore = std::chrono::milliseconds(250);
constexpr Duration kStoreTimeout = std::chrono::seconds(120);
constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::int64_t kMaxTokensLimit = 1'000'000;
constexpr std::size_t kMaxLogEntries = 200'000;
constexpr std::size_t kMaxLoggedPromptBytes = 200;
constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr std::string_view kCrashMarker = "CRASH";
constexpr std::string_view kFinalMarker = "data: [DONE]\n\n";
constexpr std::string_view kOtherModel = "other/adapter@1";

std::int64_t Microseconds(Time time) {
  return time.time_since_epoch().count();
}

// Converts "TEAM/ADAPTER@VERSION" into its path at the weight store.
std::string WeightsPath(std::string model) {
  std::replace(model.begin(), model.end(), '@', '/');
  return "/v1/weights/" + model;
}

int ParsePriority(std::string_view text) {
  const Json number = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return number.is_number_integer() ? number.get<int>() : 0;
}

template <typename T>
void EraseValue(std::vector<T>& values, const T& value) {
  values.erase(std::remove(values.begin(), values.end(), value), values.end());
}

// Decrements the number of faults still to inject. Returns false if it was 0.
bool ConsumeFault(std::int64_t& remaining) {
  if (remaining <= 0) {
    return false;
  }
  --remaining;
  return true;
}

}  // namespace

Engine::Engine(EventLoop& loop,
               HttpClient& client,
               const EngineSettings& settings)
    : loop_(loop),
      client_(client),
      settings_(settings),
      boot_id_(std::to_string(NewIncarnation())),
      slots_(settings.slots),
      prefix_cache_(settings.prefix_cache_entries) {
  PublishReport();
}

Engine::~Engine() {
  loop_.Cancel(step_timer_);
  loop_.Cancel(report_timer_);
  for (const auto& [id, stream] : streams_) {
    loop_.Cancel(stream->timer);
  }
}

void Engine::Handle(HttpRequest request,
                    std::unique_ptr<HttpResponder> responder) {
  const Target target = ParseTarget(request.path);
  if (target.path == "/_control") {
    Control(request, *responder);
  } else if (target.path == "/_log") {
    SendJson(*responder, 200, LogAfter(QueryNumber(target, "after", 0)));
  } else if (target.path == "/_stats") {
    SendJson(*responder, 200, Stats());
  } else if (restarting_) {
    responder->Abort();
  } else if (hanging_) {
    requests_during_hang_.emplace_back(std::move(request),
                                       std::move(responder));
  } else {
    Route(request, std::move(responder));
  }
}

void Engine::Route(const HttpRequest& request,
                   std::unique_ptr<HttpResponder> responder) {
  const Target target = ParseTarget(request.path);
  const std::string& path = target.path;
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (is_get && path == "/v1/state") {
    SendJson(*responder, 200, State(), BootHeader());
  } else if (is_get && path == "/v1/load_report") {
    SendJson(*responder, 200, report_, BootHeader());
  } else if (is_post && path == "/v1/adapters/load") {
    LoadAdapter(request, std::move(responder));
  } else if (is_post && path == "/v1/adapters/unload") {
    UnloadAdapter(request, *responder);
  } else if (is_post &&
             (path == "/v1/completions" || path == "/v1/chat/completions")) {
    HandleCompletion(request, std::move(responder));
  } else if (is_get && path.starts_with(kStreamsPath)) {
    Resume(target, path.substr(kStreamsPath.size()), std::move(responder));
  } else if (request.method == "DELETE" && path.starts_with(kStreamsPath)) {
    CancelStream(path.substr(kStreamsPath.size()), *responder);
  } else {
    SendError(*responder, 404, "not_found", "no such path", BootHeader());
  }
}

bool Engine::AcceptsFence(const Json& command, HttpResponder& responder) {
  if (!settings_.checks_fencing) {
    return true;
  }
  const std::int64_t fence = NumberAt(command, "fence", 0);
  if (fence < fence_) {
    SendError(responder, 409, "stale_fence", "a higher number was seen",
              BootHeader(), {{"fence", fence_}});
    return false;
  }
  fence_ = fence;
  return true;
}

// Returns the slot that `command` names. If it does not exist, is loading or is
// in use, sends an error response and returns null.
Engine::Slot* Engine::FindIdleSlot(const Json& command,
                                   HttpResponder& responder) {
  const std::int64_t index = NumberAt(command, "slot", -1);
  if (index < 0 || index >= static_cast<std::int64_t>(slots_.size())) {
    SendError(responder, 400, "bad_request", "no such slot", BootHeader());
    return nullptr;
  }
  const auto slot = static_cast<std::size_t>(index);
  if (slots_[slot].loading || IsSlotInUse(slot)) {
    SendError(responder, 409, "slot_in_use", "the slot is in use",
              BootHeader());
    return nullptr;
  }
  return &slots_[slot];
}

bool Engine::IsSlotInUse(std::size_t slot) const {
  const auto uses_slot = [slot](const Stream* stream) {
    return stream->slot == slot;
  };
  return std::any_of(batch_.begin(), batch_.end(), uses_slot) ||
         std::any_of(queue_.begin(), queue_.end(), uses_slot);
}

void Engine::LoadAdapter(const HttpRequest& request,
                         std::unique_ptr<HttpResponder> responder) {
  const Json command = ParseObject(request.body).value_or(Json::object());
  if (!AcceptsFence(command, *responder)) {
    return;
  }
  Slot* slot = FindIdleSlot(command, *responder);
  if (slot == nullptr) {
    return;
  }
  const auto index = static_cast<std::size_t>(slot - slots_.data());
  const std::string model = StringAt(command, "model", "");
  if (slot->model == model) {
    SendJson(*responder, 200,
             {{"boot_id", boot_id_}, {"slot", index}, {"load_ms", 0}},
             BootHeader());
    return;
  }
  slot->model.clear();
  slot->loading = true;
  FetchWeights(index, model, std::move(responder));
}

void Engine::FetchWeights(std::size_t slot,
                          const std::string& model,
                          const std::shared_ptr<HttpResponder>& responder) {
  const Time begun = SteadyNow();
  const auto finish = [this, slot, model, begun, responder, boot = boot_id_,
                       alive = std::weak_ptr(alive_)](int status) {
    // A restart cleared the slots, so the result of an older load is dropped.
    if (!alive.expired() && boot == boot_id_) {
      FinishLoad(slot, model, begun, status, responder);
    }
  };
  const auto finish_later = [this, finish,
                             alive = std::weak_ptr(alive_)](int status) {
    if (!alive.expired()) {
      loop_.RunAfter(load_delay_, [finish, status] { finish(status); });
    }
  };
  if (!settings_.store.has_value()) {
    loop_.RunAfter(kLoadTimeWithoutStore,
                   [finish_later] { finish_later(200); });
    return;
  }
  client_.Fetch(*settings_.store, {"GET", WeightsPath(model), {}, ""},
                begun + kStoreTimeout,
                [finish_later](HttpCallEnd end, const HttpResponse& response) {
                  const bool answered = end == HttpCallEnd::kComplete;
                  finish_later(answered ? response.status : 502);
                });
}

void Engine::FinishLoad(std::size_t slot,
                        const std::string& model,
                        Time begun,
                        int store_status,
                        const std::shared_ptr<HttpResponder>& responder) {
  slots_[slot].loading = false;
  if (ConsumeFault(fail_next_loads_) || store_status != 200) {
    ++failed_loads_;
    if (store_status == 429) {
      HttpHeaders headers = BootHeader();
      headers.push_back({"retry-after", "1"});
      SendError(*responder, 429, "store_busy", "the weight store is busy",
                std::move(headers));
    } else {
      SendError(*responder, 502, "load_failed", "the load failed",
                BootHeader());
    }
    return;
  }
  ++loads_;
  slots_[slot].model = model;
  SendJson(*responder, 200,
           {{"boot_id", boot_id_},
            {"slot", slot},
            {"load_ms", ToMilliseconds(SteadyNow() - begun)}},
           BootHeader());
}

void Engine::UnloadAdapter(const HttpRequest& request,
                           HttpResponder& responder) {
  const Json command = ParseObject(request.body).value_or(Json::object());
  if (!AcceptsFence(command, responder)) {
    return;
  }
  Slot* slot = FindIdleSlot(command, responder);
  if (slot != nullptr) {
    slot->model.clear();
    SendJson(responder, 200,
             {{"boot_id", boot_id_}, {"slot", slot - slots_.data()}},
             BootHeader());
  }
}

void Engine::HandleCompletion(const HttpRequest& request,
                              std::unique_ptr<HttpResponder> responder) {
  std::unique_ptr<Stream> owned = NewStream(request, *responder);
  if (owned == nullptr) {
    return;
  }
  Stream& stream = *owned;
  ++accepted_streams_;
  streams_[stream.id] = std::move(owned);
  if (stream.wants_events) {
    responder->Start(
        {200,
         {{"content-type", "text/event-stream"}, {"x-boot-id", boot_id_}},
         ""});
  }
  Attach(stream, std::move(responder));
  Enqueue(stream);
}

// Creates a stream for `request`. If the engine cannot accept the request,
// sends an error response and returns null.
std::unique_ptr<Engine::Stream> Engine::NewStream(const HttpRequest& request,
                                                  HttpResponder& responder) {
  const std::string_view boot_id = FindHeader(request.headers, "x-boot-id");
  if (!boot_id.empty() && boot_id != boot_id_) {
    SendError(responder, 412, "boot_id_mismatch", "the engine has restarted",
              BootHeader());
    return nullptr;
  }
  const auto body = ParseObject(request.body);
  if (!body.has_value()) {
    SendError(responder, 400, "bad_request", "the body is no JSON object",
              BootHeader());
    return nullptr;
  }
  const std::string model = StringAt(*body, "model", "");
  const auto slot = std::find_if(
      slots_.begin(), slots_.end(),
      [&model](const Slot& s) { return !model.empty() && s.model == model; });
  if (slot == slots_.end()) {
    SendError(responder, 404, "adapter_not_loaded", "no slot has the adapter",
              BootHeader());
    return nullptr;
  }
  std::string id(FindHeader(request.headers, "x-stream-id"));
  if (id.empty()) {
    id = std::to_string(NewIncarnation());
  }
  if (streams_.contains(id)) {
    SendError(responder, 409, "stream_exists", "the stream id is in use",
              BootHeader());
    return nullptr;
  }
  if (batch_.size() >= settings_.batch_size &&
      queue_.size() >= settings_.queue_limit) {
    SendError(responder, 503, "batch_full", "the batch and queue are full",
              BootHeader());
    return nullptr;
  }
  auto stream = std::make_unique<Stream>();
  stream->id = std::move(id);
  stream->model = model;
  stream->prompt = ExtractPrompt(*body);
  stream->token_prefix = TokenPrefix(model, stream->prompt);
  stream->slot = static_cast<std::size_t>(slot - slots_.begin());
  stream->priority = ParsePriority(FindHeader(request.headers, "x-priority"));
  stream->max_tokens = std::clamp<std::int64_t>(
      NumberAt(*body, "max_tokens", kDefaultMaxTokens), 1, kMaxTokensLimit);
  stream->is_chat = request.path.starts_with("/v1/chat/");
  stream->wants_events = BoolAt(*body, "stream", false);
  stream->arrived = SteadyNow();
  return stream;
}

void Engine::Attach(Stream& stream, std::unique_ptr<HttpResponder> responder) {
  loop_.Cancel(stream.timer);
  stream.timer = 0;
  stream.responder = std::move(responder);
  stream.responder->OnCallerGone([this, id = stream.id] {
    Stream* detached = FindStream(id);
    detached->responder.reset();
    detached->timer = loop_.RunAfter(kDetachedStreamTimeout, [this, id] {
      Remove(*FindStream(id), "cancelled");
    });
  });
}

void Engine::Resume(const Target& target,
                    const std::string& id,
                    std::unique_ptr<HttpResponder> responder) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) {
    SendError(*responder, 404, "stream_not_found", "no such stream",
              BootHeader());
    return;
  }
  if (!stream->wants_events) {
    // A request without "stream" gets its full JSON response, now or when the
    // stream finishes.
    if (stream->state == StreamState::kFinished) {
      SendJson(*responder, 200, FullResponse(*stream), BootHeader());
    } else {
      Attach(*stream, std::move(responder));
    }
    return;
  }
  responder->Start(
      {200,
       {{"content-type", "text/event-stream"}, {"x-boot-id", boot_id_}},
       ""});
  const std::int64_t from =
      std::max<std::int64_t>(0, QueryNumber(target, "from", 0));
  for (std::int64_t i = from; i < stream->produced; ++i) {
    responder->Write(FormatEvent(*stream, i));
  }
  if (stream->state == StreamState::kFinished) {
    responder->Write(kFinalMarker);
    responder->End();
    return;
  }
  Attach(*stream, std::move(responder));
}

void Engine::CancelStream(const std::string& id, HttpResponder& responder) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) {
    SendError(responder, 404, "stream_not_found", "no such stream",
              BootHeader());
    return;
  }
  const bool cancels = stream->state != StreamState::kFinished;
  SendJson(responder, 200,
           {{"cancelled", cancels}, {"tokens", stream->produced}},
           BootHeader());
  if (cancels) {
    Remove(*stream, "cancelled");
  }
}

void Engine::Enqueue(Stream& stream) {
  const auto place = std::upper_bound(
      queue_.begin(), queue_.end(), stream.priority,
      [](int priority, const Stream* s) { return priority < s->priority; });
  queue_.insert(place, &stream);
  ScheduleStep();
}

// Removes a stream. Logs it with the outcome `end` unless it had finished, as
// finished streams are already in the log.
void Engine::Remove(Stream& stream, const char* end) {
  if (stream.state != StreamState::kFinished) {
    Log(stream, end);
  }
  EraseValue(batch_, &stream);
  EraseValue(queue_, &stream);
  loop_.Cancel(stream.timer);
  const auto found = streams_.find(stream.id);
  streams_.erase(found);
}

Engine::Stream* Engine::FindStream(const std::string& id) {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : found->second.get();
}

// Moves queued streams into free batch places in priority order.
void Engine::FillBatch() {
  while (!queue_.empty() && batch_.size() < settings_.batch_size) {
    Stream* stream = queue_.front();
    queue_.erase(queue_.begin());
    stream->state = StreamState::kRunning;
    stream->started = SteadyNow();
    const bool hit =
        prefix_cache_.LookUpOrInsert(stream->model, stream->prompt);
    const std::size_t bytes = settings_.prefill_bytes_per_step;
    const std::size_t steps = (stream->prompt.size() + bytes - 1) / bytes;
    stream->prefill_steps = static_cast<std::int64_t>(
        hit ? std::min<std::size_t>(1, steps) : steps);
    batch_.push_back(stream);
  }
}

void Engine::ScheduleStep() {
  if (step_timer_ != 0 || hanging_) {
    return;
  }
  FillBatch();
  if (batch_.empty()) {
    return;
  }
  std::set<std::size_t> adapters;
  for (const Stream* stream : batch_) {
    adapters.insert(stream->slot);
  }
  const auto more_adapters = static_cast<std::int64_t>(adapters.size()) - 1;
  const Duration duration =
      settings_.step + settings_.step_per_adapter * more_adapters;
  step_timer_ = loop_.RunAfter(duration, [this] {
    step_timer_ = 0;
    Step();
  });
}

void Engine::Step() {
  ++steps_;
  places_used_ += static_cast<std::int64_t>(batch_.size());
  const std::vector<Stream*> batch = batch_;
  for (Stream* stream : batch) {
    if (stream->prefill_steps > 0) {
      --stream->prefill_steps;
      continue;
    }
    if (stream->prompt.find(kCrashMarker) != std::string::npos) {
      ++crashes_;
      Restart();
      return;
    }
    ++useful_places_;
    ProduceToken(*stream);
  }
  ScheduleStep();
}

void Engine::ProduceToken(Stream& stream) {
  const std::int64_t number = stream.produced++;
  if (stream.wants_events && stream.responder != nullptr) {
    stream.responder->Write(FormatEvent(stream, number));
  }
  if (stream.produced == stream.max_tokens) {
    Finish(stream);
  }
}

void Engine::Finish(Stream& stream) {
  EraseValue(batch_, &stream);
  Log(stream, "completed");
  stream.state = StreamState::kFinished;
  if (stream.responder != nullptr) {
    if (!stream.wants_events) {
      SendJson(*stream.responder, 200, FullResponse(stream), BootHeader());
    } else {
      if (!ConsumeFault(ignore_final_marker_)) {
        stream.responder->Write(kFinalMarker);
      }
      stream.responder->End();
    }
    stream.responder.reset();
  }
  loop_.Cancel(stream.timer);
  stream.timer = loop_.RunAfter(kFinishedStreamTtl, [this, id = stream.id] {
    Remove(*FindStream(id), "forgotten");
  });
}

// Formats one server-sent event. It is built as text because a JSON library is
// too slow for the event rate of the entry's load tests.
std::string Engine::FormatEvent(const Stream& stream, std::int64_t number) {
  std::string_view model = stream.model;
  if (ConsumeFault(wrong_model_)) {
    model = kOtherModel;
  }
  std::string event = "id: " + std::to_string(number);
  event += "\ndata: {\"id\":\"";
  event += stream.id;
  event += "\",\"object\":\"";
  event += stream.is_chat ? "chat.completion.chunk" : "text_completion";
  event += "\",\"model\":\"";
  event += model;
  event += "\",\"boot_id\":\"";
  event += boot_id_;
  event += "\",\"choices\":[{\"index\":0,";
  event += stream.is_chat ? "\"delta\":{\"content\":\"" : "\"text\":\"";
  event += stream.token_prefix + std::to_string(number) + " ";
  event += stream.is_chat ? "\"}" : "\"";
  event += ",\"finish_reason\":";
  event += number + 1 == stream.max_tokens ? "\"length\"" : "null";
  event += "}]}\n\n";
  return event;
}

Json Engine::FullResponse(const Stream& stream) const {
  const std::string text =
      ExpectedAnswer(stream.model, stream.prompt, stream.produced);
  Json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (stream.is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  return {{"id", stream.id},
          {"object", stream.is_chat ? "chat.completion" : "text_completion"},
          {"model", stream.model},
          {"boot_id", boot_id_},
          {"choices", Json::array({choice})},
          {"usage", {{"completion_tokens", stream.produced}}}};
}

void Engine::Control(const HttpRequest& request, HttpResponder& responder) {
  const auto control = ParseObject(request.body);
  if (!control.has_value()) {
    SendError(responder, 400, "bad_request", "the body is no JSON object");
    return;
  }
  fail_next_loads_ = NumberAt(*control, "fail_next_loads", fail_next_loads_);
  ignore_final_marker_ =
      NumberAt(*control, "ignore_final_marker", ignore_final_marker_);
  wrong_model_ = NumberAt(*control, "wrong_model", wrong_model_);
  load_delay_ = std::chrono::milliseconds(
      NumberAt(*control, "delay_load_ms", ToMilliseconds(load_delay_)));
  SetHang(BoolAt(*control, "hang", hanging_));
  if (BoolAt(*control, "silence", false)) {
    SilenceConnections();
  }
  if (BoolAt(*control, "restart", false)) {
    Restart();
  }
  SendJson(responder, 200, Stats());
}

// Simulates a cold restart: all streams, loaded adapters and cached prefixes
// are lost. The log, the counters and the configured faults other than "hang"
// are kept.
void Engine::Restart() {
  ++restarts_;
  for (const auto& [id, stream] : streams_) {
    loop_.Cancel(stream->timer);
    if (stream->state != StreamState::kFinished) {
      Log(*stream, "crashed");
    }
  }
  batch_.clear();
  queue_.clear();
  streams_.clear();
  requests_during_hang_.clear();
  silenced_responders_.clear();
  loop_.Cancel(step_timer_);
  step_timer_ = 0;
  hanging_ = false;
  fence_ = 0;
  slots_.assign(settings_.slots, Slot());
  prefix_cache_.Clear();
  boot_id_ = std::to_string(NewIncarnation());
  restarting_ = true;
  loop_.RunAfter(settings_.restart_time,
                 [this, boot = boot_id_, alive = std::weak_ptr(alive_)] {
                   if (!alive.expired() && boot == boot_id_) {
                     restarting_ = false;
                   }
                 });
}

void Engine::SetHang(bool hang) {
  if (hang == hanging_) {
    return;
  }
  hanging_ = hang;
  if (hang) {
    loop_.Cancel(step_timer_);
    step_timer_ = 0;
    return;
  }
  for (auto& [request, responder] : std::exchange(requests_during_hang_, {})) {
    Route(request, std::move(responder));
  }
  ScheduleStep();
}

// Stops writing to the connections of all attached streams but keeps them open.
// The streams continue to run.
void Engine::SilenceConnections() {
  for (const auto& [id, stream] : streams_) {
    if (stream->responder != nullptr) {
      stream->responder->OnCallerGone(nullptr);
      silenced_responders_.push_back(std::move(stream->responder));
    }
  }
}

void Engine::PublishReport() {
  report_ = {{"boot_id", boot_id_},
             {"running", batch_.size()},
             {"queued", queue_.size()},
             {"prefix_hit_ratio", prefix_cache_.hit_ratio()}};
  report_timer_ =
      loop_.RunAfter(settings_.report_lag, [this] { PublishReport(); });
}

void Engine::Log(const Stream& stream, const char* end) {
  const Time now = SteadyNow();
  const bool started = stream.state != StreamState::kQueued;
  const Time start = started ? stream.started : now;
  log_.push_back({{"n", ++log_end_},
                  {"stream_id", stream.id},
                  {"model", stream.model},
                  {"boot_id", boot_id_},
                  {"prompt", stream.prompt.substr(0, kMaxLoggedPromptBytes)},
                  {"started", started},
                  {"start_us", Microseconds(start)},
                  {"end_us", Microseconds(now)},
                  {"tokens", stream.produced},
                  {"slot_stall_us", (start - stream.arrived).count()},
                  {"end", end}});
  if (log_.size() > kMaxLogEntries) {
    log_.pop_front();
  }
}

Json Engine::State() const {
  Json slots = Json::array();
  for (const Slot& slot : slots_) {
    slots.push_back(slot.model.empty() ? Json() : Json(slot.model));
  }
  Json running = Json::array();
  for (const Stream* stream : batch_) {
    running.push_back(stream->id);
  }
  Json state = {{"boot_id", boot_id_},
                {"base_model", settings_.base_model},
                {"batch_size", settings_.batch_size},
                {"slots", std::move(slots)},
                {"running", std::move(running)},
                {"queued", queue_.size()}};
  if (settings_.checks_fencing) {
    state["fence"] = fence_;
  }
  return state;
}

Json Engine::LogAfter(std::int64_t after) const {
  Json entries = Json::array();
  const std::int64_t first = log_end_ - static_cast<std::int64_t>(log_.size());
  const auto skipped = std::clamp<std::int64_t>(
      after - first, 0, static_cast<std::int64_t>(log_.size()));
  for (auto entry = log_.begin() + skipped; entry != log_.end(); ++entry) {
    entries.push_back(*entry);
  }
  return {{"entries", std::move(entries)}};
}

Json Engine::Stats() const {
  return {{"boot_id", boot_id_},
          {"batch_size", settings_.batch_size},
          {"steps", steps_},
          {"places_used", places_used_},
          {"useful_places", useful_places_},
          {"loads", loads_},
          {"failed_loads", failed_loads_},
          {"streams", accepted_streams_},
          {"restarts", restarts_},
          {"crashes", crashes_},
          {"prefix_hit_ratio", prefix_cache_.hit_ratio()}};
}

}  // namespace amaranthcove::standins
