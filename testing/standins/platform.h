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
  // Limit on the calls in one second plus the pending watches. Calls above it
  // are answered with 429.
  std::int64_t calls_per_s = 2000;
  // Time until a change of an instance becomes visible.
  Duration instance_lag = Duration::zero();
};

// Simulates the configuration service and the instance list described in
// section 10.4 of docs/design.md.
//
// POST /_control accepts any of these members:
//   "put_documents": [{"team","text"}] stores documents, each at the next
//     revision or at its own "revision", which keeps several platforms equal;
//   "remove_documents": [TEAM] marks documents as removed;
//   "put_instances": [instance list entry] stores instances, which become
//     visible after the instance lag;
//   "mode": "up", "down" (connections break), "stale" (answers come from a
//     snapshot taken at this command) or "slow" (answers are delayed by
//     "slow_ms");
//   "slow_ms", "instance_lag_ms": durations in milliseconds.
// GET /_stats returns counters of calls and the current revisions.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
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

  // Holds documents by team or instances by name.
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

  bool AdmitCall();
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
  State snapshot_;  // Used instead of `state_` in stale mode.
  Duration instance_lag_;
  Duration slow_delay_ = std::chrono::seconds(1);
  Watches watches_;
  Time window_begin_;
  std::int64_t calls_in_window_ = 0;
  std::int64_t calls_ = 0;
  std::int64_t rejections_ = 0;
  std::int64_t peak_calls_per_s_ = 0;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_PLATFORM_H_
