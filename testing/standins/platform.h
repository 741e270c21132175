#ifndef AMARANTHCOVE_TESTING_STANDINS_PLATFORM_H_
#define AMARANTHCOVE_TESTING_STANDINS_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "testing/standins/http_util.h"
#include "testing/standins/standin.h"

namespace amaranthcove::standins {

struct PlatformSettings {
  std::int64_t calls_per_s = 2000;
  Duration instance_lag = Duration::zero();
};

// The configuration service and instance list of section 10.4.
// POST /_control takes any of these members:
//   "put_documents": [{"team","text"}], each with the next revision or with its
//     own "revision", so that several platforms can be kept equal;
//   "remove_documents": [TEAM];
//   "put_instances": [entry of the instance list], visible after the lag;
//   "mode": "up", "down" (connections break), "stale" (answers come from a
//     snapshot of now) or "slow" (answers wait "slow_ms");
//   "slow_ms", "instance_lag_ms".
// GET /_stats counts calls.
class Platform final : public StandIn {
 public:
  // Preconditions: `loop` outlives the platform.
  Platform(EventLoop& loop, const PlatformSettings& settings);

  void Handle(HttpRequest request,
              std::unique_ptr<HttpResponder> responder) override;

 private:
  enum class Mode { kUp, kDown, kStale, kSlow };

  struct Entry {
    std::int64_t revision = 0;
    Json value;
  };

  // Documents by team, or instances by name.
  struct Table {
    std::int64_t revision = 0;
    std::map<std::string, Entry> entries;
  };

  struct State {
    Table documents;
    Table instances;
  };

  struct Watch {
    bool is_documents = false;
    std::int64_t after = 0;
    TimerId timer = 0;
    std::shared_ptr<HttpResponder> responder;
  };
  using Watches = std::list<Watch>;

  void Control(const HttpRequest& request, HttpResponder& responder);
  void SetMode(const std::string& name);
  void PutDocument(const Json& document, bool removed);
  void PutInstance(const Json& instance);
  static void Put(Table& table,
                  const std::string& key,
                  Json value,
                  std::int64_t revision);

  bool TakesCall();
  void List(const Target& target,
            bool is_documents,
            const std::shared_ptr<HttpResponder>& responder);
  void GetDocument(const std::string& team,
                   const std::shared_ptr<HttpResponder>& responder);
  void Answer(const std::shared_ptr<HttpResponder>& responder,
              int status,
              const Json& body);
  void AnswerWatches();
  void EndWatch(Watches::iterator watch);
  const State& visible() const;
  Json Changes(bool is_documents, std::int64_t after) const;
  bool HasChanges(bool is_documents, std::int64_t after) const;
  Json Stats() const;

  EventLoop& loop_;
  const std::int64_t calls_per_s_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Mode mode_ = Mode::kUp;
  State state_;
  State snapshot_;  // Answers while stale.
  Duration instance_lag_;
  Duration slow_ = std::chrono::seconds(1);
  Watches watches_;
  Time window_begin_;
  std::int64_t calls_in_window_ = 0;
  std::int64_t calls_ = 0;
  std::int64_t rejections_ = 0;
  std::int64_t peak_calls_per_s_ = 0;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_PLATFORM_H_
