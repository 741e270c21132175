#ifndef AMARANTHCOVE_SRC_ROUTER_FLEET_UPDATES_H_
#define AMARANTHCOVE_SRC_ROUTER_FLEET_UPDATES_H_

#include <cstdint>
#include <functional>
#include <memory>
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
    return backend_feed_.calls() + operator_feed_.calls();
  }
  std::uint64_t failed_store_calls() const {
    return backend_feed_.failed_calls() + operator_feed_.failed_calls();
  }

  // Time since the store last confirmed what is known.
  Duration ConfigAge(Time now) const { return operator_feed_.Age(now); }
  Duration BackendsAge(Time now) const { return backend_feed_.Age(now); }

 private:
  void OnBackendListing(const std::vector<platform::StoreItem>& items);
  void OnBackendChanges(const std::vector<platform::StoreItem>& items);
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
  StoreFeed backend_feed_;
  StoreFeed operator_feed_;
  bool has_backends_ = false;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_FLEET_UPDATES_H_
