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

// Returns the delay between the end of a failed call to the metadata store and
// the next call. The interval between the starts of calls doubles with each
// consecutive failure up to a maximum. `took`, the duration of the failed call,
// is subtracted from it, but the delay has a minimum. Thread-safe.
Duration StoreRetryDelay(int failures_in_a_row, Duration took);

// Follows the keys of the metadata store that have one prefix: lists them, then
// watches for changes, and lists again when the store has lost the history.
//
// The store may accept a watch and never answer it while the connection stays
// open, and only an answer shows that a watch is not lost. The delivered state
// may therefore lag behind the store by the time limit of one call and a retry.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class StoreFeed {
 public:
  struct Options {
    Address store;
    std::string prefix;
    // How long a watch waits for changes in the store.
    Duration watch_wait = std::chrono::milliseconds(2000);
    // How long an answer may take in addition to `watch_wait`.
    Duration answer_limit = std::chrono::milliseconds(1000);
    // The pause between two watches. Changes made during it arrive together.
    Duration pause = std::chrono::milliseconds(300);
  };

  struct Callbacks {
    // Called with all keys that have the prefix.
    std::function<void(std::vector<platform::StoreItem>)> on_listing;
    // Called with keys that were written or deleted, in order.
    std::function<void(std::vector<platform::StoreItem>)> on_changes;
    // Called when the store answers again after an outage of a second or more.
    std::function<void()> on_contact_regained;
    // Called for each answer of the store: the delivered state was current at
    // `now`.
    std::function<void(Time now)> on_confirmed;
  };

  // All references must outlive the feed.
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

  // Continues from `revision`, up to which the caller has the keys from another
  // source. A call in progress for older changes counts as lost and is replaced
  // by a new one. Starts the feed if it was not started. Has no effect if
  // `revision` is not above `known_revision()`.
  void ContinueFrom(std::int64_t revision);

  // Returns the revision up to which all changes have been delivered; 0 while
  // listing.
  std::int64_t known_revision() const {
    return mode_ == Mode::kWatching ? revision_ : 0;
  }

  // Returns the time since the last answer of the store, or since `Start` if
  // there was none.
  Duration Age(Time now) const { return now - last_contact_; }

  std::uint64_t calls() const { return calls_; }
  std::uint64_t failed_calls() const { return failed_calls_; }

 private:
  enum class Mode { kListing, kWatching };

  void Call();
  void Fetch(const HttpRequest& request, Duration limit);
  void CancelCall();
  void OnDone(UpstreamEnd end, const HttpResponse& response);
  void DropListing();
  void OnListAnswer(platform::StoreResponse answer);
  void OnWatchAnswer(platform::StoreResponse answer);
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
  TimerId timer_ = 0;        // Starts the next call.
  TimerId limit_timer_ = 0;  // Time limit of the call in progress.
  int failures_ = 0;
  Time last_contact_;
  Time call_started_;
  bool on_new_connection_ = false;
  std::uint64_t calls_ = 0;
  std::uint64_t failed_calls_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_STORE_FEED_H_
