#include "src/router/fleet_updates.h"

#include <iterator>
#include <string>
#include <utility>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// Heartbeats change the backend list all the time, and each call to the store
// has a price, so changes are gathered for as long as the limit allows, with
// this margin for a slow answer.
constexpr Duration kLeavingMargin = milliseconds(900);
constexpr Duration kBackendWait = milliseconds(2000);

// The operator's keys change rarely. A connection that went silent is found by
// its probes, not by the end of the wait.
constexpr Duration kOperatorPause = milliseconds(100);
constexpr Duration kOperatorWait = milliseconds(8000);

std::string_view ChangeName(BackendDirectory::Change::Kind kind) {
  switch (kind) {
    case BackendDirectory::Change::Kind::kAdded:
      return "added";
    case BackendDirectory::Change::Kind::kLeaving:
      return "leaving";
    case BackendDirectory::Change::Kind::kGone:
      return "gone";
    case BackendDirectory::Change::Kind::kReplaced:
      return "replaced";
  }
  return "unknown";
}

StoreFeed::Options MakeFeedOptions(const Address& store,
                                   std::string_view prefix,
                                   Duration pause,
                                   Duration wait) {
  StoreFeed::Options options;
  options.store = store;
  options.prefix = prefix;
  options.pause = pause;
  options.watch_wait = wait;
  return options;
}

}  // namespace

FleetUpdates::FleetUpdates(EventLoop& loop,
                           Fleet& fleet,
                           UpstreamClient& upstream,
                           EventLog& log,
                           const Options& options,
                           Callbacks callbacks)
    : loop_(loop),
      fleet_(fleet),
      upstream_(upstream),
      log_(log),
      callbacks_(std::move(callbacks)),
      store_client_(UpstreamClient::Create(loop, {})),
      backend_feed_(loop,
                    *store_client_,
                    log,
                    MakeFeedOptions(options.store,
                                    platform::kBackendsPrefix,
                                    options.leaving_limit - kLeavingMargin,
                                    kBackendWait),
                    {[this](auto items) { OnBackendListing(items); },
                     [this](auto items) { OnBackendChanges(items); },
                     [this] { OnStoreRegained(); }, [](Time) {}}),
      operator_feed_(loop,
                     *store_client_,
                     log,
                     MakeFeedOptions(options.store,
                                     platform::kOperatorPrefix,
                                     kOperatorPause,
                                     kOperatorWait),
                     {[this](auto items) { OnOperatorItems(items); },
                      [this](auto items) { OnOperatorItems(items); }, [] {},
                      [this](Time now) { fleet_.ConfirmConfig(now); }}) {}

void FleetUpdates::Start() {
  backend_feed_.Start();
  operator_feed_.Start();
}

void FleetUpdates::Tick(Time now) {
  ApplyDirectoryChanges(fleet_.directory().Expire(now));
}

void FleetUpdates::OnBackendListing(
    const std::vector<platform::StoreItem>& items) {
  std::vector<BackendServer> servers;
  for (const platform::StoreItem& item : items) {
    auto server = platform::DecodeBackend(item.key, item.value);
    if (server) {
      servers.push_back(std::move(*server));
    } else {
      log_.Write(LogLevel::kInfo, "unreadable_backend",
                 {{"key", item.key}, {"reason", server.error().message}});
    }
  }
  has_backends_ = true;
  ApplyDirectoryChanges(
      fleet_.directory().ReplaceAll(std::move(servers), loop_.Now()));
  callbacks_.on_known();
}

void FleetUpdates::OnBackendChanges(
    const std::vector<platform::StoreItem>& items) {
  std::vector<BackendDirectory::Change> changes;
  const auto append = [&changes](std::vector<BackendDirectory::Change> more) {
    std::move(more.begin(), more.end(), std::back_inserter(changes));
  };
  for (const platform::StoreItem& item : items) {
    if (item.deleted) {
      append(fleet_.directory().Remove(platform::BackendId(item.key),
                                       loop_.Now()));
      continue;
    }
    auto server = platform::DecodeBackend(item.key, item.value);
    if (server) {
      append(fleet_.directory().Put(std::move(*server)));
    } else {
      // An entry of another writer names no server to use.
      log_.Write(LogLevel::kInfo, "unreadable_backend",
                 {{"key", item.key}, {"reason", server.error().message}});
    }
  }
  ApplyDirectoryChanges(changes);
}

void FleetUpdates::ApplyDirectoryChanges(
    const std::vector<BackendDirectory::Change>& changes) {
  if (changes.empty()) {
    return;
  }
  for (const BackendDirectory::Change& change : changes) {
    log_.Write(LogLevel::kWarn, "backend_changed",
               {{"server", change.server.id},
                {"change", std::string(ChangeName(change.kind))},
                {"service", change.server.service},
                {"address", FormatAddress(change.server.address)}});
  }
  fleet_.UpdateEndpoints();
  for (const BackendDirectory::Change& change : changes) {
    if (change.kind != BackendDirectory::Change::Kind::kAdded) {
      upstream_.CloseIdle(change.server.address);
    }
    callbacks_.on_server_changed(change.server.id);
  }
}

void FleetUpdates::OnOperatorItems(
    const std::vector<platform::StoreItem>& items) {
  for (const platform::StoreItem& item : items) {
    if (item.deleted) {
      continue;
    }
    switch (platform::KindOf(item.key)) {
      case platform::ItemKind::kConfig:
        OnConfig(item);
        break;
      case platform::ItemKind::kAdapterVersion:
        OnAdapterVersion(item);
        break;
      case platform::ItemKind::kBackend:
      case platform::ItemKind::kOther:
        break;
    }
  }
}

void FleetUpdates::OnConfig(const platform::StoreItem& item) {
  auto config = platform::DecodeConfig(item.value);
  if (!config) {
    log_.Write(LogLevel::kWarn, "config_refused",
               {{"revision", std::to_string(item.revision)},
                {"reason", config.error().message}});
    return;
  }
  const std::int64_t version = config->version;
  const std::size_t routes = config->routes.size();
  const int unreadable = config->unreadable_routes;
  if (fleet_.SetConfig(std::move(*config))) {
    log_.Write(LogLevel::kWarn, "config_applied",
               {{"version", std::to_string(version)},
                {"revision", std::to_string(item.revision)},
                {"routes", std::to_string(routes)},
                {"unreadable_routes", std::to_string(unreadable)}});
    callbacks_.on_known();
  }
}

void FleetUpdates::OnAdapterVersion(const platform::StoreItem& item) {
  const auto version = platform::DecodeAdapterVersion(item.value);
  if (!version) {
    log_.Write(LogLevel::kWarn, "adapter_version_refused",
               {{"key", item.key}, {"reason", version.error().message}});
    return;
  }
  fleet_.DeclareVersion({version->model, version->adapter}, version->version);
  log_.Write(LogLevel::kInfo, "adapter_version",
             {{"model", version->model},
              {"adapter", version->adapter},
              {"version", std::to_string(version->version)}});
}

void FleetUpdates::OnStoreRegained() {
  fleet_.directory().ContactRegained(loop_.Now());
}

}  // namespace amaranthcove
