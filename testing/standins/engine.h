#ifndef AMARANTHCOVE_TESTING_STANDINS_ENGINE_H_
#define AMARANTHCOVE_TESTING_STANDINS_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "testing/standins/http_util.h"
#include "testing/standins/prefix_cache.h"
#include "testing/standins/standin.h"

namespace amaranthcove::standins {

struct EngineSettings {
  std::string base_model = "base-1";
  std::size_t batch_size = 8;
  std::size_t slots = 4;
  // Requests are rejected with 503 while the batch is full and at least this
  // many requests wait for a batch place.
  std::size_t queue_limit = 8;
  // Duration of one step, which produces one token for each stream in the batch
  // that has finished prefill.
  Duration step = std::chrono::milliseconds(20);
  // Added to a step for each distinct adapter in the batch after the first.
  Duration step_per_adapter = std::chrono::microseconds(500);
  // Prompt bytes that one prefill step processes before a stream's first token.
  // A prefix cache hit reduces prefill to at most one step.
  std::size_t prefill_bytes_per_step = 512;
  std::size_t prefix_cache_entries = 64;
  // Whether commands with a lower fencing number than one seen are rejected.
  bool checks_fencing = true;
  // Interval at which the load report is updated.
  Duration report_lag = std::chrono::milliseconds(500);
  // Time after a restart during which requests break their connections.
  Duration restart_time = std::chrono::milliseconds(300);
  // Address of the weight store. Without a store, a load takes 250 ms.
  std::optional<Address> store;
};

// Simulates the model engine described in section 10.1 of docs/design.md. The
// generated text is defined in expected_answer.h. A request without
// "max_tokens" gets 16 tokens.
//
// A finished stream can be resumed for 10 s. A stream whose connection broke
// keeps running for 5 s and is then cancelled unless it was resumed. A prompt
// that contains "CRASH" restarts the engine when the prompt's first token is
// due: the connections of all streams break, all slots become empty and the
// boot id changes.
//
// POST /_control accepts any of these members:
//   "restart": true restarts the engine;
//   "fail_next_loads": N makes the next N loads fail with 502 after the load
//     time;
//   "delay_load_ms": N adds N ms to each load;
//   "ignore_final_marker": N ends the next N streams without the final marker;
//   "wrong_model": N makes the next N chunks name another adapter;
//   "hang": true stops the batch and leaves new requests unanswered, except
//     those to /_control, /_log and /_stats; false resumes both;
//   "silence": true stops sending on the connections of running and queued
//     streams without closing them. New connections work.
// GET /_log?after=N lists the executions with a number above N that have ended,
// oldest first, with times in microseconds of the steady clock. GET /_stats
// returns counters.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class Engine final : public StandIn {
 public:
  // Preconditions: `loop` and `client` outlive the engine; `batch_size` and
  // `prefill_bytes_per_step` are above 0.
  Engine(EventLoop& loop, HttpClient& client, const EngineSettings& settings);
  ~Engine() override;
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  void Handle(HttpRequest request,
              std::unique_ptr<HttpResponder> responder) override;

 private:
  enum class StreamState { kQueued, kRunning, kFinished };

  struct Stream {
    std::string id;
    std::string model;
    std::string prompt;
    std::string token_prefix;
    std::size_t slot = 0;
    int priority = 0;
    std::int64_t max_tokens = 0;
    std::int64_t produced = 0;
    std::int64_t prefill_steps = 0;
    bool is_chat = false;
    bool wants_events = false;
    bool lacks_final_marker = false;
    StreamState state = StreamState::kQueued;
    Time arrived;
    Time started;
    // Null while no connection is attached.
    std::unique_ptr<HttpResponder> responder;
    // Cancels a detached stream or removes a finished one.
    TimerId timer = 0;
  };

  struct Slot {
    std::string model;  // Empty if no adapter is loaded.
    bool loading = false;
  };

  void Route(const HttpRequest& request,
             std::unique_ptr<HttpResponder> responder);

  // Adapter commands.
  bool AcceptsFence(const Json& command, HttpResponder& responder);
  Slot* FindIdleSlot(const Json& command, HttpResponder& responder);
  void LoadAdapter(const HttpRequest& request,
                   std::unique_ptr<HttpResponder> responder);
  void FetchWeights(std::size_t slot,
                    const std::string& model,
                    const std::shared_ptr<HttpResponder>& responder);
  void FinishLoad(std::size_t slot,
                  const std::string& model,
                  Time begun,
                  int store_status,
                  const std::shared_ptr<HttpResponder>& responder);
  void UnloadAdapter(const HttpRequest& request, HttpResponder& responder);

  // Stream lifetime.
  void HandleCompletion(const HttpRequest& request,
                        std::unique_ptr<HttpResponder> responder);
  std::unique_ptr<Stream> NewStream(const HttpRequest& request,
                                    HttpResponder& responder);
  void Attach(Stream& stream, std::unique_ptr<HttpResponder> responder);
  void Resume(const Target& target,
              const std::string& id,
              std::unique_ptr<HttpResponder> responder);
  void CancelStream(const std::string& id, HttpResponder& responder);
  void Enqueue(Stream& stream);
  void Remove(Stream& stream, const char* end);
  Stream* FindStream(const std::string& id);

  // Batch execution.
  void FillBatch();
  void ScheduleStep();
  void Step();
  void ProduceToken(Stream& stream);
  void Finish(Stream& stream);
  std::string FormatEvent(const Stream& stream, std::int64_t number);
  Json FullResponse(const Stream& stream) const;

  // Fault injection and reports.
  void Control(const HttpRequest& request, HttpResponder& responder);
  void Restart();
  void SetHang(bool hang);
  void SilenceConnections();
  void PublishReport();
  void Log(const Stream& stream, const char* end);
  Json State() const;
  Json LogAfter(std::int64_t after) const;
  Json Stats() const;
  HttpHeaders BootHeader() const { return {{"x-boot-id", boot_id_}}; }
  bool IsSlotInUse(std::size_t slot) const;

  EventLoop& loop_;
  HttpClient& client_;
  const EngineSettings settings_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  std::string boot_id_;
  bool restarting_ = false;
  bool hanging_ = false;
  std::int64_t fence_ = 0;  // Highest fencing number since the last start.
  std::vector<Slot> slots_;
  PrefixCache prefix_cache_;
  std::unordered_map<std::string, std::unique_ptr<Stream>> streams_;
  // By ascending priority value, so that the most urgent stream comes first,
  // then by arrival.
  std::vector<Stream*> queue_;
  std::vector<Stream*> batch_;
  TimerId step_timer_ = 0;
  TimerId report_timer_ = 0;
  Json report_;
  std::vector<std::pair<HttpRequest, std::unique_ptr<HttpResponder>>>
      requests_during_hang_;
  std::vector<std::unique_ptr<HttpResponder>> silenced_responders_;

  std::int64_t fail_next_loads_ = 0;
  std::int64_t ignore_final_marker_ = 0;
  std::int64_t wrong_model_ = 0;
  Duration load_delay_ = Duration::zero();

  std::deque<Json> log_;
  std::int64_t log_end_ = 0;  // Number of the newest log entry.
  std::int64_t steps_ = 0;
  std::int64_t places_used_ = 0;
  std::int64_t useful_places_ = 0;
  std::int64_t loads_ = 0;
  std::int64_t failed_loads_ = 0;
  std::int64_t accepted_streams_ = 0;
  std::int64_t restarts_ = 0;
  std::int64_t crashes_ = 0;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_ENGINE_H_
