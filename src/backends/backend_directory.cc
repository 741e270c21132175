#include "amaranthcove/backends/backend_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace amaranthcove {

namespace {

using Change = BackendDirectory::Change;
using Kind = BackendDirectory::Change::Kind;

constexpr std::size_t kMaxDeparted = 4096;

bool IsSameStart(const BackendServer& a, const BackendServer& b) {
  return a.started_at_ms == b.started_at_ms && a.address == b.address;
}

void Append(std::vector<Change>& changes, std::vector<Change> more) {
  for (Change& change : more) {
    changes.push_back(std::move(change));
  }
}

}  // namespace

bool BackendDirectory::IsSuperseded(const BackendServer& server) const {
  const auto latest = latest_starts_.find(server.address);
  return latest != latest_starts_.end() &&
         latest->second > server.started_at_ms;
}

std::vector<Change> BackendDirectory::Put(BackendServer server) {
  std::int64_t& latest = latest_starts_[server.address];
  latest = std::max(latest, server.started_at_ms);
  const auto found = entries_.find(server.id);
  if (found == entries_.end()) {
    const auto departed = departed_.find(server.id);
    if (departed != departed_.end() &&
        departed->second == server.started_at_ms) {
      return {};
    }
    const Kind kind = server.leaving ? Kind::kLeaving : Kind::kAdded;
    entries_[server.id] = {server, false};
    return {{kind, std::move(server)}};
  }
  Entry& entry = found->second;
  entry.missing = false;
  const bool same_start = IsSameStart(entry.server, server);
  const bool was_leaving = entry.server.leaving;
  if (same_start && was_leaving) {
    server.leaving = true;
  }
  entry.server = server;
  if (!same_start) {
    return {{Kind::kReplaced, std::move(server)}};
  }
  if (server.leaving && !was_leaving) {
    return {{Kind::kLeaving, std::move(server)}};
  }
  return {};
}

std::vector<Change> BackendDirectory::MarkLeaving(const BackendServer& server) {
  const auto found = entries_.find(server.id);
  if (found == entries_.end() || found->second.server.leaving ||
      !IsSameStart(found->second.server, server)) {
    return {};
  }
  found->second.server.leaving = true;
  return {{Kind::kLeaving, found->second.server}};
}

std::vector<Change> BackendDirectory::Remove(std::string_view id, Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return {};
  }
  if (now < grace_end_ && !found->second.server.leaving) {
    found->second.missing = true;
    return {};
  }
  if (found->second.server.leaving) {
    if (departed_.size() >= kMaxDeparted) {
      departed_.erase(departed_.begin());
    }
    departed_[found->first] = found->second.server.started_at_ms;
  }
  std::vector<Change> changes = {
      {Kind::kGone, std::move(found->second.server)}};
  entries_.erase(found);
  return changes;
}

std::vector<Change> BackendDirectory::ReplaceAll(
    std::vector<BackendServer> servers,
    Time now) {
  std::set<std::string> listed;
  std::vector<Change> changes;
  for (BackendServer& server : servers) {
    listed.insert(server.id);
    Append(changes, Put(std::move(server)));
  }
  std::vector<std::string> absent;
  for (const auto& [id, entry] : entries_) {
    if (!listed.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const std::string& id : absent) {
    Append(changes, Remove(id, now));
  }
  return changes;
}

void BackendDirectory::StartGracePeriod(Time now) {
  grace_end_ = now + kReturnGracePeriod;
}

std::vector<Change> BackendDirectory::Expire(Time now) {
  std::vector<Change> changes;
  if (now < grace_end_) {
    return changes;
  }
  std::erase_if(entries_, [&changes](const auto& item) {
    if (item.second.missing) {
      changes.push_back({Kind::kGone, item.second.server});
    }
    return item.second.missing;
  });
  return changes;
}

const BackendServer* BackendDirectory::Find(std::string_view id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.server;
}

std::vector<const BackendServer*> BackendDirectory::Serving(
    std::string_view service) const {
  std::vector<const BackendServer*> result;
  for (const auto& [id, entry] : entries_) {
    if (entry.server.service == service && !entry.server.leaving &&
        !IsSuperseded(entry.server)) {
      result.push_back(&entry.server);
    }
  }
  return result;
}

std::vector<const BackendServer*> BackendDirectory::All() const {
  std::vector<const BackendServer*> result;
  result.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    result.push_back(&entry.server);
  }
  return result;
}

}  // namespace amaranthcove
