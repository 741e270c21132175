#ifndef AMARANTHCOVE_SRC_ROUTER_STORE_FEED_H_
#define AMARANTHCOVE_SRC_ROUTER_STORE_FEED_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/log/event_log.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/upstream_client.h"
#include "platform/metadata_store.h"

namespace amaranthcove {

// How long after the end of a failed call to the metadata store the next one is
// made. Calls begin further apart with each failure in a row; one that took
// `took` until it failed has kept the distance already. Thread-safe.
Duration StoreRetryDelay(int failures_in_a_row, Duration took);

// Follows the keys of the metadata store with one prefix: lists them, then
// watches for changes, and lists again when the store has lost the history.
//
// Only an answer shows that a waiting watch is not lost: the store may accept a
// call and never answer it, while its connection stays open. So what is known
// may lag behind the store by the time limit of one call and a retry.
//
// Thread safety: belongs to the loop's thread.
class StoreFeed {
 public:
  struct Options {
    Address store;
    std::string prefix;
    // How long the store lets a watch wait for changes.
    Duration watch_wait = std::chrono::milliseconds(2000);
    // How long the answer may take beyond that.
    Duration answer_limit = std::chrono::milliseconds(1000);
    // The pause after a watch: changes of the pause arrive together.
    Duration pause = std::chrono::milliseconds(300);
  };

  struct Callbacks {
    // All keys with the prefix.
    std::function<void(std::vector<platform::StoreItem>)> on_listing;
    // Keys that were written or deleted, in order.
    std::function<void(std::vector<platform::StoreItem>)> on_changes;
    // The store answers again after it did not for a while.
    std::function<void()> on_regained;
    // The store has answered: what is known was current at `now`.
    std::function<void(Time now)> on_confirmed;
  };

  // Preconditions: all references outlive the feed.
  StoreFeed(EventLoop& loop,
            UpstreamClient& client,
            EventLog& log,
            Options options,
            Callbacks callbacks);
  ~StoreFeed();
  StoreFeed(const StoreFeed&) = delete;
  StoreFeed& operator=(const StoreFeed&) = delete;

  // Lists the keys, then watches them.
  void Start();

  // The caller knows the keys as of `revision`: continues from there. A call
  // that still waits for older changes is taken for lost and made again.
  void ContinueFrom(std::int64_t revision);

  // All changes up to this revision have been handed over; 0 while listing.
  std::int64_t known_revision() const {
    return mode_ == Mode::kWatching ? revision_ : 0;
  }

  // Time since the last answer of the store, or since `Start` without any.
  Duration Age(Time now) const { return now - last_contact_; }

  std::uint64_t calls() const { return calls_; }
  std::uint64_t failed_calls() const { return failed_calls_; }

 private:
  enum class Mode { kListing, kWatching };

  void Call();
  void Fetch(const HttpRequest& request, Duration limit);
  void DropCall();
  void OnDone(UpstreamEnd end, const HttpResponse& response);
  void DropListing();
  void OnListAnswer(platform::StoreAnswer answer);
  void OnWatchAnswer(platform::StoreAnswer answer);
  void OnFailure(const std::string& reason);
  void OnSuccess();
  void LogFailedCall(const std::string& reason);
  void CallAfter(Duration delay);

  EventLoop& loop_;
  UpstreamClient& client_;
  EventLog& log_;
  const Options options_;
  const Callbacks callbacks_;
  Mode mode_ = Mode::kListing;
  std::int64_t revision_ = 0;
  bool has_first_page_ = false;
  std::vector<platform::StoreItem> listing_;
  UpstreamCallId call_ = 0;
  TimerId timer_ = 0;        // The next call.
  TimerId limit_timer_ = 0;  // Of the present call.
  int failures_ = 0;
  Time last_contact_;
  Time call_started_;
  bool on_new_connection_ = false;
  std::uint64_t calls_ = 0;
  std::uint64_t failed_calls_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_STORE_FEED_H_
