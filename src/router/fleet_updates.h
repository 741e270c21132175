#ifndef AMARANTHCOVE_SRC_ROUTER_FLEET_UPDATES_H_
#define AMARANTHCOVE_SRC_ROUTER_FLEET_UPDATES_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "amaranthcove/backends/backend_directory.h"
#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/log/event_log.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/upstream_client.h"
#include "platform/metadata_store.h"
#include "src/router/fleet.h"
#include "src/router/store_feed.h"

namespace amaranthcove {

// Keeps a `Fleet` up to date with the metadata store: the operator's
// configuration, declared adapter versions and the list of backend servers.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class FleetUpdates {
 public:
  struct Options {
    Address store;
    // The time limit for applying a server's announcement that it leaves.
    Duration leaving_limit = std::chrono::seconds(2);
    // The time limit for applying a change of the operator's keys, counted from
    // the write, or from the end of an outage of the store.
    Duration config_limit = std::chrono::seconds(2);
  };

  struct Callbacks {
    // Called after a server was added, announced that it leaves, was removed or
    // was replaced.
    std::function<void(std::string_view server)> on_server_changed;
    // Called after a configuration or a listing of backend servers was applied.
    std::function<void()> on_config_or_listing;
  };

  // All references must outlive this object.
  FleetUpdates(EventLoop& loop,
               Fleet& fleet,
               UpstreamClient& upstream,
               EventLog& log,
               const Options& options,
               Callbacks callbacks);

  // Starts to follow the store.
  void Start();

  // Drops servers whose grace period has ended. Call about every 50 ms.
  void Tick(Time now);

  // Applies that a server has said in an answer that it leaves, whatever the
  // store says of it.
  void MarkLeaving(const BackendServer& server);

  // Returns whether the backend servers have been listed at least once.
  bool has_backends() const { return has_backends_; }

  std::uint64_t store_calls() const {
    return all_keys_feed_.calls() + operator_feed_.calls();
  }
  std::uint64_t failed_store_calls() const {
    return all_keys_feed_.failed_calls() + operator_feed_.failed_calls();
  }

 private:
  void OnListing(const std::vector<platform::StoreItem>& items);
  void OnChanges(const std::vector<platform::StoreItem>& items);
  void ReplaceBackends(const std::vector<platform::StoreItem>& items);
  void UpdateBackends(const std::vector<platform::StoreItem>& items);
  std::optional<BackendServer> ReadBackend(const platform::StoreItem& item);
  void ApplyDirectoryChanges(
      const std::vector<BackendDirectory::Change>& changes);
  void OnOperatorItems(const std::vector<platform::StoreItem>& items);
  void OnConfig(const platform::StoreItem& item);
  void OnAdapterVersion(const platform::StoreItem& item);
  void OnStoreRegained();

  EventLoop& loop_;
  Fleet& fleet_;
  UpstreamClient& upstream_;
  EventLog& log_;
  const Callbacks callbacks_;
  std::unique_ptr<UpstreamClient> store_client_;
  // Delivers the changes of all keys. Heartbeats change the store continuously,
  // so its watches are answered soon and a lost call is detected early.
  StoreFeed all_keys_feed_;
  // Delivers the operator's rare changes without delay. Its watches wait for
  // seconds, so the loss of one may go undetected for as long.
  StoreFeed operator_feed_;
  bool has_backends_ = false;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_FLEET_UPDATES_H_
