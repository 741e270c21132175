#include "amaranthcove/engine_client/engine_client.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/json.h"
#include "amaranthcove/engine_client/sse_parser.h"
#include "src/engine_client/generation.h"

namespace amaranthcove {

namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);

// Timeout of a cancel command, whose answer is ignored.
constexpr Duration kCancelTimeout = std::chrono::seconds(1);

std::string JsonString(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::int64_t JsonInteger(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_integer()
             ? found->get<std::int64_t>()
             : 0;
}

Result<EngineState> ParseState(std::string_view text) {
  const Json json = ParseJson(text);
  const auto invalid =
      MakeError(ErrorCode::kUnavailable, "the engine's state is malformed");
  if (!json.is_object()) {
    return invalid;
  }
  EngineState state;
  state.boot_id = JsonString(json, "boot_id");
  state.base_model = JsonString(json, "base_model");
  state.batch_size = static_cast<int>(JsonInteger(json, "batch_size"));
  const Json slots = json.value("slots", Json::array());
  if (state.boot_id.empty() || state.batch_size <= 0 || !slots.is_array()) {
    return invalid;
  }
  for (const Json& slot : slots) {
    state.slots.push_back(slot.is_string() ? slot.get<std::string>() : "");
  }
  const Json running = json.value("running", Json::array());
  for (const Json& stream : running) {
    if (stream.is_string()) {
      state.running.push_back(stream.get<std::string>());
    }
  }
  if (json.contains("fence")) {
    state.fence = JsonInteger(json, "fence");
  }
  return state;
}

LoadResult ParseLoadAnswer(const HttpResponse& response) {
  const Json json = ParseJson(response.body);
  LoadResult result;
  if (!json.is_object()) {
    return result;
  }
  const std::string code =
      JsonString(json.value("error", Json::object()), "code");
  if (response.status == kHttpOk) {
    result.status = LoadStatus::kLoaded;
    result.boot_id = JsonString(json, "boot_id");
  } else if (code == "stale_fence") {
    result.status = LoadStatus::kStaleFence;
    result.fence = JsonInteger(json, "fence");
  } else if (code == "slot_in_use") {
    result.status = LoadStatus::kSlotInUse;
  } else if (code == "store_busy") {
    result.status = LoadStatus::kStoreBusy;
    const std::string text(FindHeader(response.headers, "Retry-After"));
    const int seconds = std::atoi(text.c_str());
    result.retry_after =
        seconds > 0 ? std::chrono::seconds(seconds) : kDefaultRetryAfter;
  } else if (code == "load_failed") {
    result.status = LoadStatus::kFailed;
  }
  return result;
}

}  // namespace

std::string_view GenerationEndName(GenerationEnd end) {
  switch (end) {
    case GenerationEnd::kComplete:
      return "whole";
    case GenerationEnd::kNotRun:
      return "not_run";
    case GenerationEnd::kRejected:
      return "rejected";
    case GenerationEnd::kBroken:
      return "broken";
    case GenerationEnd::kWrongAnswer:
      return "wrong_answer";
    case GenerationEnd::kEngineRestart:
      return "engine_restart";
    case GenerationEnd::kDeadline:
      return "deadline";
  }
  return "unknown";
}

// A generation registered with its client. It removes itself when it ends.
class EngineClient::Generation {
 public:
  Generation(EngineClient& client,
             GenerationRequest request,
             GenerationCallbacks callbacks)
      : id_(request.stream_id),
        on_end_(std::move(callbacks.on_end)),
        stream_(client.loop_,
                client.http_,
                client.engine_,
                client.settings_,
                std::move(request),
                std::move(callbacks.on_data),
                [this, &client](const GenerationResult& result) {
                  // `Remove` destroys this object, including `on_end_`.
                  const auto on_end = std::move(on_end_);
                  client.Remove(std::string(id_));
                  on_end(result);
                }) {}

  const std::string& id() const { return id_; }
  void Start() { stream_.Start(); }

 private:
  const std::string id_;
  std::function<void(const GenerationResult&)> on_end_;
  internal::GenerationStream stream_;
};

EngineClient::EngineClient(EventLoop& loop,
                           HttpClient& http,
                           const Address& engine,
                           const Settings& settings)
    : loop_(loop), http_(http), engine_(engine), settings_(settings) {}

EngineClient::~EngineClient() {
  *alive_ = false;
}

void EngineClient::FetchState(Time deadline,
                              std::function<void(Result<EngineState>)> done) {
  http_.Fetch(
      engine_, {"GET", "/v1/state", {}, ""}, deadline,
      [alive = alive_, done = std::move(done)](HttpCallEnd end,
                                               const HttpResponse& response) {
        if (!*alive) {
          return;
        }
        if (end != HttpCallEnd::kComplete || response.status != kHttpOk) {
          done(MakeError(ErrorCode::kUnavailable,
                         "the engine's state could not be fetched"));
          return;
        }
        done(ParseState(response.body));
      });
}

void EngineClient::Load(std::string_view model,
                        int slot,
                        std::int64_t fence,
                        Time deadline,
                        std::function<void(const LoadResult&)> done) {
  const Json body = {{"model", model}, {"slot", slot}, {"fence", fence}};
  http_.Fetch(engine_,
              {"POST",
               "/v1/adapters/load",
               {{"Content-Type", "application/json"}},
               SerializeJson(body),
               false},
              deadline,
              [alive = alive_, done = std::move(done)](
                  HttpCallEnd end, const HttpResponse& response) {
                if (*alive) {
                  done(end == HttpCallEnd::kComplete ? ParseLoadAnswer(response)
                                                     : LoadResult());
                }
              });
}

void EngineClient::Generate(GenerationRequest request,
                            GenerationCallbacks callbacks) {
  generations_.push_back(std::make_unique<Generation>(*this, std::move(request),
                                                      std::move(callbacks)));
  generations_.back()->Start();
}

void EngineClient::Cancel(std::string_view stream_id) {
  const std::string id(stream_id);
  Remove(id);
  http_.Fetch(engine_, {"DELETE", "/v1/streams/" + id, {}, ""},
              loop_.Now() + kCancelTimeout,
              [](HttpCallEnd, const HttpResponse&) {});
}

void EngineClient::Remove(const std::string& stream_id) {
  const auto found = std::find_if(
      generations_.begin(), generations_.end(),
      [&](const auto& generation) { return generation->id() == stream_id; });
  if (found != generations_.end()) {
    generations_.erase(found);
  }
}

}  // namespace amaranthcove
