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

// The state that an engine reports about itself.
struct EngineState {
  std::string boot_id;  // Unique for each start of the engine.
  std::string base_model;
  int batch_size = 0;
  std::vector<std::string> slots;     // The model in each slot, or empty.
  std::vector<std::string> running;   // Ids of the running streams.
  std::optional<std::int64_t> fence;  // Highest fencing number received.
};

// How a load command ended.
enum class LoadStatus {
  kLoaded,
  kStaleFence,  // The engine has received a higher fencing number.
  kSlotInUse,   // A request is running on the slot.
  kStoreBusy,   // The weight store is overloaded; see `retry_after`.
  kFailed,      // The load failed; the slot is empty.
  kUnknown      // No valid answer; the content of the slot is unknown.
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
  std::string body;       // JSON whose member `model` equals `model`.
  std::string model;      // TEAM/ADAPTER@VERSION.
  std::string boot_id;    // The engine refuses it if this is not its boot.
  std::string stream_id;  // Unique.
  int priority = 0;       // 0 is the most urgent.
  bool streamed = false;
  Time deadline;
};

// How a generation ended.
enum class GenerationEnd {
  kComplete,       // The complete answer arrived.
  kNotRun,         // Nothing ran: the engine refused the request, or no byte of
                   // it was sent.
  kRejected,       // The engine answered with an error; see `body`.
  kBroken,         // The answer was interrupted and could not be resumed.
  kWrongAnswer,    // Another model or another boot of the engine answered.
  kEngineRestart,  // The engine crashed or restarted during the generation.
  kDeadline        // The deadline passed.
};

// Returns a name for metrics and dumps, such as "engine_restart". Thread-safe.
std::string_view GenerationEndName(GenerationEnd end);

// The result of a generation.
struct GenerationResult {
  GenerationEnd end = GenerationEnd::kBroken;
  std::string code;  // With kNotRun: the error code.
  int status = 0;    // HTTP status with kRejected.
  std::string body;  // With kRejected: the engine's answer.
};

// A client for the HTTP API of one model engine.
//
// Before it passes on a piece of an answer, it verifies that the piece comes
// from the requested model and boot id. A stream that stalls or breaks is
// resumed on a new connection from the next event, if the same boot of the
// engine is still running.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// Callbacks never run inside a method.
class EngineClient {
 public:
  struct Settings {
    // Time without data during a generation after which the engine is probed.
    Duration stall_timeout = std::chrono::milliseconds(1500);
    // Timeout of a probe, which requests the engine's state.
    Duration probe_timeout = std::chrono::seconds(1);
    // Maximum number of consecutive probes without progress before a generation
    // ends with kBroken.
    int max_resumes = 3;
  };

  struct GenerationCallbacks {
    // A verified piece of the answer: the JSON of one event of a stream, or a
    // complete JSON answer.
    std::function<void(std::string_view data)> on_data;
    // The last callback of the generation.
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

  // Fetches the engine's state. Errors: kUnavailable if no valid answer arrives
  // before `deadline`.
  void FetchState(Time deadline, std::function<void(Result<EngineState>)> done);

  // Commands the engine to load `model` into `slot`. The engine rejects the
  // command if it has received a higher fencing number than `fence`.
  void Load(std::string_view model,
            int slot,
            std::int64_t fence,
            Time deadline,
            std::function<void(const LoadResult&)> done);

  // Starts a generation. Precondition: `request.stream_id` is not in use.
  void Generate(GenerationRequest request, GenerationCallbacks callbacks);

  // Cancels a generation in this client and on the engine; no callback follows.
  // An id without a generation in this client is cancelled on the engine only.
  void Cancel(std::string_view stream_id);

 private:
  class Generation;

  void Remove(const std::string& stream_id);

  EventLoop& loop_;
  HttpClient& http_;
  const Address engine_;
  const Settings settings_;
  std::vector<std::unique_ptr<Generation>> generations_;
  // False once the client is destroyed, so that pending callbacks do not use
  // it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENGINE_CLIENT_ENGINE_CLIENT_H_
