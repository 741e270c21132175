#include "amaranthcove/suspects/crash_table.h"

#include <algorithm>
#include <utility>

namespace amaranthcove {

namespace {

bool HoldsPart(const ServerCrash& crash, PartId part) {
  return std::any_of(crash.requests.begin(), crash.requests.end(),
                     [part](const LostRequest& request) {
                       return std::find(request.parts.begin(),
                                        request.parts.end(),
                                        part) != request.parts.end();
                     });
}

}  // namespace

bool CrashTable::Put(const Address& agent, ServerCrash crash, Time now) {
  const CrashKey key(agent, crash.id);
  const auto found = crashes_.find(key);
  if (found != crashes_.end()) {
    // Reports state the age of a crash, so later ones give a later time the
    // longer they were on their way.
    crash.at = std::min(crash.at, found->second.at);
    if (crash.requests == found->second.requests) {
      // Agents repeat their reports, and deriving the causes takes a while.
      found->second.at = crash.at;
      return false;
    }
  }
  crashes_[key] = std::move(crash);
  Expire(now);
  return UpdateCauses(now);
}

bool CrashTable::AddOwn(std::uint64_t id, LostRequest request, Time now) {
  ServerCrash crash;
  const auto known = crashes_.find({Address(), id});
  if (known != crashes_.end()) {
    crash = known->second;
  } else {
    crash.id = id;
    crash.at = now;
  }
  crash.requests.push_back(std::move(request));
  return Put(Address(), std::move(crash), now);
}

std::vector<ClearedPart> CrashTable::RecordSound(std::span<const PartId> parts,
                                                 Time now) {
  std::vector<ClearedPart> cleared;
  for (const PartId part : parts) {
    const std::optional<Time> last_sound = sound_.LastSound(part);
    for (const auto& [key, crash] : crashes_) {
      if ((!last_sound || *last_sound <= crash.at) && HoldsPart(crash, part)) {
        cleared.push_back({key.first, part});
      }
    }
  }
  sound_.Record(parts, now);
  if (!cleared.empty()) {
    UpdateCauses(now);
  }
  return cleared;
}

const CrashCause* CrashTable::FindCause(std::span<const PartId> parts,
                                        Time now) {
  for (const CrashCause& cause : causes_) {
    if (now < cause.until && HoldsCause(parts, cause)) {
      return &cause;
    }
  }
  return nullptr;
}

void CrashTable::Expire(Time now) {
  std::erase_if(crashes_, [now](const auto& item) {
    return now - item.second.at >= kLifetime;
  });
  while (crashes_.size() > kMaxCrashes) {
    crashes_.erase(std::min_element(crashes_.begin(), crashes_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.at < b.second.at;
                                    }));
  }
}

std::vector<ServerCrash> CrashTable::MergedCrashes() const {
  std::map<std::uint64_t, ServerCrash> by_id;
  for (const auto& [key, crash] : crashes_) {
    const auto [item, is_new] = by_id.try_emplace(crash.id, crash);
    if (is_new) {
      continue;
    }
    ServerCrash& merged = item->second;
    merged.at = std::min(merged.at, crash.at);
    merged.requests.insert(merged.requests.end(), crash.requests.begin(),
                           crash.requests.end());
  }
  std::vector<ServerCrash> result;
  result.reserve(by_id.size());
  for (auto& [id, crash] : by_id) {
    result.push_back(std::move(crash));
  }
  return result;
}

bool CrashTable::UpdateCauses(Time now) {
  const std::vector<ServerCrash> crashes = MergedCrashes();
  std::vector<CrashCause> causes = FindCrashCauses(crashes, sound_, now);
  const bool changed =
      !std::equal(causes.begin(), causes.end(), causes_.begin(), causes_.end(),
                  [](const CrashCause& a, const CrashCause& b) {
                    return a.parts == b.parts;
                  });
  causes_ = std::move(causes);
  return changed;
}

}  // namespace amaranthcove
