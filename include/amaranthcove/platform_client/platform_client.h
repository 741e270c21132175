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
// docs/design.md) by long polling: each watch has at most one call in progress.
// Document texts are fetched one at a time and only if they are newer than the
// revision that the process knows.
//
// After a failed, malformed or stale response the client retries at the next
// platform address, with exponential backoff and jitter. It retries without
// end, and never makes more calls than `CallBudget` allows.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// Callbacks run in the loop, never inside a method of this class; they must not
// destroy the client.
class PlatformClient {
 public:
  struct Options {
    std::vector<Address> platforms;  // At least one.
    // How long the platform may hold a watch without changes, and how much
    // longer its response may take. A platform may accept a watch and never
    // respond, so a change may be missed until both have passed.
    Duration wait = std::chrono::seconds(2);
    Duration margin = std::chrono::seconds(1);
    std::function<double()> random;  // Uniform in [0, 1).
    // Replaces `wait`, if shorter, for the first call of a watch and after a
    // bad response, so that the client learns sooner whether the platform
    // responds.
    Duration first_wait = std::chrono::seconds(1);
  };

  struct Callbacks {
    // Returns the newest revision that the process has seen of a team's
    // document, valid or not; 0 if none.
    std::function<std::int64_t(std::string_view team)> known_revision;
    // Receives a document, or its removal, with a revision above
    // `known_revision`.
    std::function<void(Document document)> on_document;
    // Receives the changes of the instance list up to `revision`, as
    // `InstanceDirectory` takes them. `changes` is valid during the call only.
    std::function<void(std::int64_t revision,
                       std::span<const InstanceRecord> changes)>
        on_instances;
  };

  // Totals since the start.
  struct Counters {
    std::int64_t calls = 0;
    std::int64_t failed_calls = 0;   // Incomplete response or status not 200.
    std::int64_t stale_answers = 0;  // Older than a revision seen before.
    std::int64_t malformed_answers = 0;  // Ignored as a whole.
    std::int64_t malformed_items = 0;    // Skipped items of usable responses.
    std::int64_t documents = 0;          // Passed to `on_document`.
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

  // Start or stop a watch; no effect if it is in that state already. A watch
  // that is started again continues from its last revision. Texts whose
  // revision was listed before a stop are still fetched.
  void WatchDocuments(bool watch);
  void WatchInstances(bool watch);

  // Returns whether both watches are started and the last response to each was
  // usable: complete, well-formed and not stale. A call in progress does not
  // change the result.
  bool current() const { return documents_.task.good && instances_.task.good; }

  // Returns the highest revision of a team's document that the platform has
  // listed; 0 if none.
  std::int64_t listed_revision(std::string_view team) const;

  // Returns the revision of the last usable response of the instance list.
  std::int64_t instances_revision() const { return instances_.cursor; }

  const Counters& counters() const { return counters_; }

 private:
  // How to proceed after a response.
  enum class Verdict {
    kGood,      // Continue without a delay.
    kTooEarly,  // Usable, but without changes and before half of the wait was
                // over: continue after a delay.
    kBad        // Unusable: retry after a delay, at the next address.
  };

  // A repeated call, of which at most one is scheduled or in progress.
  struct Task {
    bool active = false;
    bool good = false;  // Whether the last response since the start was usable.
    int failures = 0;   // Responses in a row that were not `kGood`.
    Time started;       // Start of the last call.
    Duration wait{0};   // Wait of the last call, if it is a watch.
    std::size_t platform = 0;  // Its index in `Options::platforms`.
    TimerId timer = 0;
    HttpCallId call = 0;
  };

  struct Watch {
    Task task;
    std::string path;
    std::int64_t cursor = 0;
    Verdict (PlatformClient::*on_response)(const std::string& body) = nullptr;
  };

  void SetWatch(Watch& watch, bool active);
  void ScheduleWatch(Watch& watch, Duration delay);
  void StartWatch(Watch& watch);
  Verdict OnDocuments(const std::string& body);
  Verdict OnInstances(const std::string& body);
  Verdict CheckRevision(const Watch& watch,
                        std::int64_t revision,
                        bool has_changes);

  void EnqueueFetch(std::string team, std::int64_t revision);
  void ScheduleFetch(Duration delay);
  void StartFetch();
  Verdict OnDocumentResponse(const std::string& team, const std::string& body);
  void RotateFetches();
  bool IsFetched(const std::string& team) const;

  // Runs `start` after `delay`, or later if the budget allows no call then.
  void Schedule(Task& task, Duration delay, std::function<void()> start);
  void StartCall(Task& task,
                 std::string path,
                 Duration limit,
                 std::function<Verdict(const std::string& body)> on_response,
                 std::function<void(Duration delay)> next);
  Duration DelayAfter(Task& task, Verdict verdict);
  void CancelTask(Task& task);

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
  // The revision to fetch of each team in `fetch_order_`; 0 once it is fetched.
  std::map<std::string, std::int64_t, std::less<>> revisions_to_fetch_;
  // The highest listed revision of each team's document.
  std::map<std::string, std::int64_t, std::less<>> listed_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
