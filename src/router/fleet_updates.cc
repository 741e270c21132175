#include "src/router/fleet_updates.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// Heartbeats change the backend list continuously, and each call to the store
// has a cost, so changes are batched for as long as the limits allow. This
// margin is left for a slow answer.
constexpr Duration kSlowAnswerMargin = milliseconds(900);

// A lost call is detected within this share of the configuration limit; the
// rest is left for the next call.
constexpr double kLostCallDetectionShare = 0.8;

// A slow store takes some hundred milliseconds to answer.
constexpr Duration kAnswerLimit = milliseconds(1000);
// The answer limit is at most this share of the time limit of a call.
constexpr double kMaxAnswerShare = 0.625;

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

StoreFeed::Options AllKeysOptions(const FleetUpdates::Options& options) {
  const auto call_limit = std::chrono::duration_cast<Duration>(
      options.config_limit * kLostCallDetectionShare);
  StoreFeed::Options result;
  result.store = options.store;
  result.prefix = platform::kAllKeysPrefix;
  result.pause = std::max(
      std::min(options.leaving_limit, options.config_limit) - kSlowAnswerMargin,
      Duration::zero());
  result.answer_limit = std::min(
      kAnswerLimit,
      std::chrono::duration_cast<Duration>(call_limit * kMaxAnswerShare));
  result.watch_wait = call_limit - result.answer_limit;
  return result;
}

StoreFeed::Options OperatorOptions(const FleetUpdates::Options& options) {
  StoreFeed::Options result;
  result.store = options.store;
  result.prefix = platform::kOperatorPrefix;
  result.pause = kOperatorPause;
  result.answer_limit = kAnswerLimit;
  result.watch_wait = kOperatorWait;
  return result;
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
      all_keys_feed_(loop,
                     *store_client_,
                     log,
                     AllKeysOptions(options),
                     {[this](auto items) { OnListing(items); },
                      [this](auto items) { OnChanges(items); },
                      [this] { OnStoreRegained(); },
                      [this](Time now) {
                        fleet_.ConfirmConfig(now);
                        fleet_.ConfirmBackends(now);
                      }}),
      operator_feed_(loop,
                     *store_client_,
                     log,
                     OperatorOptions(options),
                     {[this](auto items) { OnOperatorItems(items); },
                      [this](auto items) { OnOperatorItems(items); }, [] {},
                      [this](Time now) { fleet_.ConfirmConfig(now); }}) {}

void FleetUpdates::Start() {
  all_keys_feed_.Start();
}

void FleetUpdates::Tick(Time now) {
  ApplyDirectoryChanges(fleet_.directory().Expire(now));
}

void FleetUpdates::MarkLeaving(const BackendServer& server) {
  ApplyDirectoryChanges(fleet_.directory().MarkLeaving(server));
}

void FleetUpdates::OnListing(const std::vector<platform::StoreItem>& items) {
  OnOperatorItems(items);
  ReplaceBackends(items);
  callbacks_.on_config_or_listing();
  operator_feed_.ContinueFrom(all_keys_feed_.known_revision());
}

void FleetUpdates::OnChanges(const std::vector<platform::StoreItem>& items) {
  // The operator feed has nearly always delivered these changes earlier.
  std::vector<platform::StoreItem> newer_items;
  std::copy_if(items.begin(), items.end(), std::back_inserter(newer_items),
               [this](const platform::StoreItem& item) {
                 return item.key.starts_with(platform::kOperatorPrefix) &&
                        item.revision > operator_feed_.known_revision();
               });
  if (!newer_items.empty()) {
    OnOperatorItems(newer_items);
    operator_feed_.ContinueFrom(all_keys_feed_.known_revision());
  }
  UpdateBackends(items);
}

// Returns nullopt for an entry that cannot be decoded, such as one written by
// another program.
std::optional<BackendServer> FleetUpdates::ReadBackend(
    const platform::StoreItem& item) {
  auto server = platform::DecodeBackend(item.key, item.value);
  if (!server) {
    log_.Write(LogLevel::kInfo, "unreadable_backend",
               {{"key", item.key}, {"reason", server.error().message}});
    return std::nullopt;
  }
  return std::move(*server);
}

void FleetUpdates::ReplaceBackends(
    const std::vector<platform::StoreItem>& items) {
  std::vector<BackendServer> servers;
  for (const platform::StoreItem& item : items) {
    if (platform::KindOf(item.key) != platform::ItemKind::kBackend) {
      continue;
    }
    if (std::optional<BackendServer> server = ReadBackend(item)) {
      servers.push_back(std::move(*server));
    }
  }
  has_backends_ = true;
  ApplyDirectoryChanges(
      fleet_.directory().ReplaceAll(std::move(servers), loop_.Now()));
}

void FleetUpdates::UpdateBackends(
    const std::vector<platform::StoreItem>& items) {
  std::vector<BackendDirectory::Change> changes;
  const auto append = [&changes](std::vector<BackendDirectory::Change> more) {
    std::move(more.begin(), more.end(), std::back_inserter(changes));
  };
  for (const platform::StoreItem& item : items) {
    if (platform::KindOf(item.key) != platform::ItemKind::kBackend) {
      continue;
    }
    if (item.deleted) {
      append(fleet_.directory().Remove(platform::BackendId(item.key),
                                       loop_.Now()));
    } else if (std::optional<BackendServer> server = ReadBackend(item)) {
      append(fleet_.directory().Put(std::move(*server)));
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
    callbacks_.on_config_or_listing();
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
  fleet_.directory().StartGracePeriod(loop_.Now());
}

}  // namespace amaranthcove
