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

// Whether `json`, one event or a whole answer, was produced by `model` on the
// boot `boot_id` of the engine. Thread-safe.
bool IsAnswerOf(std::string_view json,
                std::string_view model,
                std::string_view boot_id);

// The HTTP calls of one generation: the first one, and after silence or a break
// a probe of the engine's state and a resume.
//
// Thread safety: belongs to the loop's thread. `on_end` may destroy the object.
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
  void OnWholeBody();
  void OnRefusal();
  void ArmSilenceTimer();
  void WaitForSilence();
  void OnSilence();
  void Probe();
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
  std::string body_;  // Of refusals and of answers that are not streamed.
  SseParser events_;
  std::int64_t next_event_ = 0;
  bool sent_ = false;      // Some byte of the request may have arrived.
  bool resuming_ = false;  // The call in progress is a resume.
  int resumes_ = 0;        // Since the last event.
  Time last_byte_;         // Of the call in progress, or its start.
  TimerId silence_timer_ = 0;
  // Set to false by the destructor, so that the loop over received events ends
  // when a callback destroys this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_ENGINE_CLIENT_GENERATION_H_
