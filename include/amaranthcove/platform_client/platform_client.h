#ifndef AMARANTHCOVE_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
#define AMARANTHCOVE_PLATFORM_CLIENT_PLATFORM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/documents/document_store.h"
#include "amaranthcove/membership/instance.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/platform_client/call_budget.h"

namespace amaranthcove {

// Watches the configuration service and the instance list (section 10.4 of
// docs/design.md). Each watch is one pending call. Document texts are fetched
// one at a time and only if they are newer than what the process knows.
//
// A failed, malformed or stale answer makes the client try the next platform
// address after a random, growing delay. It never gives up, and never makes
// more calls than `CallBudget` allows.
//
// Thread safety: belongs to the loop's thread. Callbacks run in the loop, never
// inside a method of this class; they must not destroy the client.
class PlatformClient {
 public:
  struct Options {
    std::vector<Address> platforms;  // At least one.
    // Of a pending watch, and for the answer after it. A platform may accept a
    // watch and never answer it; until both are over, a change may be missed.
    Duration wait = std::chrono::seconds(2);
    Duration margin = std::chrono::seconds(1);
    std::function<double()> random;  // Uniform in [0, 1).
    // Of a watch that has started or whose last answer was bad: whether the
    // platform is back must be known long before `wait` is over.
    Duration first_wait = std::chrono::seconds(1);
  };

  struct Callbacks {
    // The newest revision that the process has seen of a team's document, valid
    // or not; 0 if none.
    std::function<std::int64_t(std::string_view team)> known_revision;
    // A revision above `known_revision`.
    std::function<void(Document document)> on_document;
    // Changes of the instance list, in the form of `InstanceDirectory`.
    std::function<void(std::int64_t revision,
                       std::span<const InstanceRecord> changes)>
        on_instances;
  };

  // Totals since the start.
  struct Counters {
    std::int64_t calls = 0;
    std::int64_t failed_calls = 0;       // No whole answer, or not status 200.
    std::int64_t stale_answers = 0;      // Older than what is known.
    std::int64_t malformed_answers = 0;  // Ignored as a whole.
    std::int64_t malformed_items = 0;    // Left out of an answer.
    std::int64_t documents = 0;          // Handed to `on_document`.
  };

  // Preconditions: `loop` and `client` outlive this object; all callbacks and
  // `options.random` are set.
  PlatformClient(EventLoop& loop,
                 HttpClient& client,
                 Options options,
                 Callbacks callbacks);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Starts or stops a watch; no effect if it is in that state already. A watch
  // that starts again goes on where it stopped. Texts that were announced
  // before a stop are still fetched.
  void WatchDocuments(bool watch);
  void WatchInstances(bool watch);

  // Whether both watches run and the last answer to each was neither a failure
  // nor stale. A pending call does not change it.
  bool current() const { return documents_.task.good && instances_.task.good; }

  // The highest revision that the platform listed of a team's document; 0 if
  // none.
  std::int64_t listed_revision(std::string_view team) const;

  // The revision of the last good answer of the instance list.
  std::int64_t instances_revision() const { return instances_.cursor; }

  const Counters& counters() const { return counters_; }

 private:
  enum class Verdict { kGood, kHasty, kBad };

  // A repeated call, of which at most one is waiting or running.
  struct Task {
    bool active = false;
    bool good = false;  // The last answer since the start was usable.
    int failures = 0;
    Time started;              // Of the last call.
    Duration wait{0};          // Of the last call, if it is a watch.
    std::size_t platform = 0;  // Its index in `Options::platforms`.
    TimerId timer = 0;
    HttpCallId call = 0;
  };

  struct Watch {
    Task task;
    std::string path;
    std::int64_t cursor = 0;
    Verdict (PlatformClient::*on_answer)(const std::string& body) = nullptr;
  };

  void SetWatch(Watch& watch, bool active);
  void ScheduleWatch(Watch& watch, Duration delay);
  void StartWatch(Watch& watch);
  Verdict OnDocuments(const std::string& body);
  Verdict OnInstances(const std::string& body);
  Verdict JudgeRevision(const Watch& watch,
                        std::int64_t revision,
                        bool has_changes);

  void Announce(std::string team, std::int64_t revision);
  void ScheduleFetch(Duration delay);
  void StartFetch();
  Verdict OnText(const std::string& team, const std::string& body);
  void RotateFetches();
  bool IsFetched(const std::string& team) const;

  // Runs `start` after `delay` and as soon as the budget allows a call.
  void Schedule(Task& task, Duration delay, std::function<void()> start);
  void StartCall(Task& task,
                 std::string path,
                 Duration limit,
                 std::function<Verdict(const std::string& body)> on_answer,
                 std::function<void(Duration delay)> next);
  Duration DelayAfter(Task& task, Verdict verdict);
  void Drop(Task& task);

  EventLoop& loop_;
  HttpClient& client_;
  Options options_;
  Callbacks callbacks_;
  Counters counters_;
  CallBudget budget_;
  std::size_t platform_ = 0;
  Watch documents_;
  Watch instances_;
  Task fetch_;
  std::deque<std::string> fetch_order_;
  std::map<std::string, std::int64_t, std::less<>> announced_;
  std::map<std::string, std::int64_t, std::less<>> listed_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
