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
// Thread safety: belongs to the loop's thread.
class FleetUpdates {
 public:
  struct Options {
    Address store;
    // Within this time after a server has announced that it leaves, the fleet
    // knows.
    Duration leaving_limit = std::chrono::seconds(2);
    // A change of the operator's keys is known within this time after the store
    // has taken it, and after the store answers again.
    Duration config_limit = std::chrono::seconds(2);
  };

  struct Callbacks {
    // A server was added, leaves, has gone or was replaced.
    std::function<void(std::string_view server)> on_server_changed;
    // A configuration or a listing of backend servers has been taken.
    std::function<void()> on_known;
  };

  // Preconditions: all references outlive this.
  FleetUpdates(EventLoop& loop,
               Fleet& fleet,
               UpstreamClient& upstream,
               EventLog& log,
               const Options& options,
               Callbacks callbacks);

  void Start();

  // Drops servers whose grace has ended. Called every 50 ms or so.
  void Tick(Time now);

  // Whether the backend servers have been listed once.
  bool has_backends() const { return has_backends_; }

  std::uint64_t store_calls() const {
    return all_keys_feed_.calls() + operator_feed_.calls();
  }
  std::uint64_t failed_store_calls() const {
    return all_keys_feed_.failed_calls() + operator_feed_.failed_calls();
  }

  // Time since the store last confirmed the backend servers.
  Duration BackendsAge(Time now) const { return all_keys_feed_.Age(now); }

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
  // Its watch is answered soon, as heartbeats change the store all the time, so
  // that a lost call is found early. It brings every change.
  StoreFeed all_keys_feed_;
  // Brings the operator's rare changes at once. Its watch waits long, and may
  // be lost as long.
  StoreFeed operator_feed_;
  bool has_backends_ = false;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_FLEET_UPDATES_H_
