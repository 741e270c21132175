#ifndef AMARANTHCOVE_ENGINE_CLIENT_ENGINE_CLIENT_H_
#define AMARANTHCOVE_ENGINE_CLIENT_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"

namespace amaranthcove {

// What an engine says about itself.
struct EngineState {
  std::string boot_id;  // Changes with each start of the engine.
  std::string base_model;
  int batch_size = 0;
  std::vector<std::string> slots;     // The model in each slot, or empty.
  std::vector<std::string> running;   // Stream ids.
  std::optional<std::int64_t> fence;  // Highest fencing number it has seen.
};

// How a load command ended.
enum class LoadStatus {
  kLoaded,
  kStaleFence,  // The engine has seen a higher fencing number.
  kSlotInUse,   // A request runs on the slot.
  kStoreBusy,   // The weight store asks to wait.
  kFailed,      // The engine could not load; the slot is empty.
  kUnknown      // No answer; the slot may hold anything.
};

// The answer to a load command.
struct LoadResult {
  LoadStatus status = LoadStatus::kUnknown;
  std::string boot_id;
  std::int64_t fence = 0;              // With kStaleFence.
  Duration retry_after = Duration(0);  // With kStoreBusy.
};

// A generation request for the engine.
struct GenerationRequest {
  std::string path;       // "/v1/completions" or "/v1/chat/completions".
  std::string body;       // JSON whose `model` is `model`.
  std::string model;      // TEAM/ADAPTER@VERSION.
  std::string boot_id;    // The engine refuses if it has restarted since.
  std::string stream_id;  // Unique.
  int priority = 0;       // 0 is most urgent.
  bool streamed = false;
  Time deadline;
};

// How a generation ended.
enum class GenerationEnd {
  kWhole,          // The answer arrived whole.
  kNotRun,         // The engine refused it and ran nothing.
  kRejected,       // The engine found the request bad; see the answer.
  kBroken,         // The answer broke off and could not be resumed.
  kWrongAnswer,    // Another model or another boot of the engine answered.
  kEngineRestart,  // The engine crashed or restarted while it ran.
  kDeadline        // The deadline passed.
};

// Name for metrics and dumps, such as "engine_restart". Thread-safe.
std::string_view GenerationEndName(GenerationEnd end);

// The last callback of a generation.
struct GenerationResult {
  GenerationEnd end = GenerationEnd::kBroken;
  std::string code;  // The engine's error code with kNotRun.
  int status = 0;    // HTTP status with kRejected.
  std::string body;  // The engine's answer with kRejected.
};

// Speaks the HTTP protocol of one model engine.
//
// A generation verifies each piece of the answer against the model and boot id
// that were asked for before it hands the piece on. A stream that goes silent
// or breaks is resumed on a new connection from the next event, as long as the
// same boot of the engine answers.
//
// Thread safety: belongs to the loop's thread. No callback runs inside a
// method.
class EngineClient {
 public:
  struct Settings {
    // Silence during a generation after which the engine is probed.
    Duration silence_limit = std::chrono::milliseconds(1500);
    // Time for a probe of the engine's state.
    Duration probe_limit = std::chrono::seconds(1);
    // Probes or resumes without progress before a generation is given up.
    int max_resumes = 3;
  };

  struct GenerationCallbacks {
    // A verified piece of the answer: the JSON of one event of a stream, or a
    // whole JSON answer.
    std::function<void(std::string_view data)> on_data;
    std::function<void(const GenerationResult& result)> on_end;
  };

  // Preconditions: `loop` and `http` outlive the client.
  EngineClient(EventLoop& loop,
               HttpClient& http,
               const Address& engine,
               const Settings& settings);
  ~EngineClient();
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  // Asks for the engine's state. Errors: kUnavailable without a valid answer.
  void FetchState(Time deadline, std::function<void(Result<EngineState>)> done);

  // Commands the engine to load `model` into `slot`.
  void Load(std::string_view model,
            int slot,
            std::int64_t fence,
            Time deadline,
            std::function<void(const LoadResult&)> done);

  // Begins a generation. Precondition: `request.stream_id` is not in use.
  void Generate(GenerationRequest request, GenerationCallbacks callbacks);

  // Cancels a generation here and on the engine; no callback follows.
  void Cancel(std::string_view stream_id);

 private:
  class Generation;

  void Remove(const std::string& stream_id);

  EventLoop& loop_;
  HttpClient& http_;
  const Address engine_;
  const Settings settings_;
  std::vector<std::unique_ptr<Generation>> generations_;
  // Keeps callbacks of calls in flight from using a destroyed client.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENGINE_CLIENT_ENGINE_CLIENT_H_
