#ifndef AMARANTHCOVE_SRC_ENGINE_CLIENT_GENERATION_H_
#define AMARANTHCOVE_SRC_ENGINE_CLIENT_GENERATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "amaranthcove/engine_client/engine_client.h"
#include "amaranthcove/engine_client/sse_parser.h"

namespace amaranthcove::internal {

// Returns whether `json`, one event or a complete answer, was produced by
// `model` on the boot `boot_id` of the engine. Thread-safe.
bool IsAnswerOf(std::string_view json,
                std::string_view model,
                std::string_view boot_id);

// Performs the HTTP calls of one generation: the request itself, and after a
// stall or a broken connection a probe of the engine's state and a resume of
// the stream.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// `on_end` may destroy the object.
class GenerationStream {
 public:
  using OnData = std::function<void(std::string_view)>;
  using OnEnd = std::function<void(const GenerationResult&)>;

  GenerationStream(EventLoop& loop,
                   HttpClient& http,
                   const Address& engine,
                   const EngineClient::Settings& settings,
                   GenerationRequest request,
                   OnData on_data,
                   OnEnd on_end);
  ~GenerationStream();
  GenerationStream(const GenerationStream&) = delete;
  GenerationStream& operator=(const GenerationStream&) = delete;

  void Start();

 private:
  void StartCall(HttpRequest request);
  void OnHead(const HttpResponse& head);
  void OnBytes(std::string_view bytes);
  void OnEvent(const SseEvent& event);
  void OnCallEnd(HttpCallEnd end);
  void OnCompleteBody();
  void OnErrorStatus();
  void ResetStallTimer();
  void ScheduleStallTimer();
  void OnStall();
  void ProbeEngine();
  void OnProbe(HttpCallEnd end, const HttpResponse& response);
  void Resume();
  void Finish(const GenerationResult& result);
  void Finish(GenerationEnd end);

  EventLoop& loop_;
  HttpClient& http_;
  const Address engine_;
  const EngineClient::Settings settings_;
  const GenerationRequest request_;
  const OnData on_data_;
  const OnEnd on_end_;

  HttpCallId call_ = 0;
  int status_ = 0;
  std::string body_;  // The body of an error or of an answer without events.
  SseParser sse_parser_;
  std::int64_t next_event_ = 0;
  bool may_be_received_ = false;  // The engine may have received the request.
  bool resuming_ = false;         // The call in progress is a resume.
  // Reset by an event and by a probe that finds the request running.
  int probes_without_progress_ = 0;
  Time last_activity_;  // When the call last received data or started.
  TimerId stall_timer_ = 0;
  // Set to false by the destructor, so that the loop over the received events
  // stops if a callback destroys this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_ENGINE_CLIENT_GENERATION_H_
