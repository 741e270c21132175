#include "amaranthcove/adapter_agent/demand_table.h"

#include <algorithm>
#include <utility>

namespace amaranthcove {

namespace {

// Maximum number of stored last uses. Above it, the oldest ones are removed.
constexpr std::size_t kMaxLastUses = 4096;

std::pair<std::string, std::string> KeyOf(const AdapterState& adapter) {
  return {adapter.model, adapter.adapter};
}

}  // namespace

bool DemandTable::Put(const Address& router, RouterDemand demand, Time now) {
  Entry& entry = entries_[router];
  if (entry.demand.incarnation == demand.incarnation &&
      entry.demand.sequence >= demand.sequence) {
    return false;
  }
  std::map<std::pair<std::string, std::string>, Time> waiting_since;
  for (WantedAdapter& use : demand.uses) {
    const auto key = KeyOf(use.target);
    last_uses_[key] = now;
    if (use.waiting > 0) {
      const auto known = entry.waiting_since.find(key);
      use.waiting_since =
          known == entry.waiting_since.end() ? now : known->second;
      waiting_since[key] = use.waiting_since;
    }
  }
  entry.waiting_since = std::move(waiting_since);
  capacity_ = demand.capacity;
  models_ = demand.models;
  entry.demand = std::move(demand);
  entry.received = now;
  return true;
}

void DemandTable::Expire(Time now) {
  std::erase_if(entries_, [now](const auto& item) {
    return now - item.second.received >= kDemandLifetime;
  });
  while (last_uses_.size() > kMaxLastUses) {
    last_uses_.erase(std::min_element(
        last_uses_.begin(), last_uses_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

std::vector<WantedAdapter> DemandTable::Wanted() const {
  std::map<std::pair<std::string, std::string>, WantedAdapter> sums;
  for (const auto& [router, entry] : entries_) {
    for (const WantedAdapter& use : entry.demand.uses) {
      auto [item, is_new] = sums.try_emplace(KeyOf(use.target), use);
      if (is_new) {
        continue;
      }
      WantedAdapter& sum = item->second;
      if (use.waiting > 0) {
        sum.rank = sum.waiting > 0 ? std::min(sum.rank, use.rank) : use.rank;
        sum.waiting_since = sum.waiting > 0
                                ? std::min(sum.waiting_since, use.waiting_since)
                                : use.waiting_since;
      }
      sum.target.version = std::max(sum.target.version, use.target.version);
      sum.waiting += use.waiting;
      sum.running += use.running;
    }
  }
  std::vector<WantedAdapter> result;
  result.reserve(sums.size());
  for (auto& [key, sum] : sums) {
    result.push_back(std::move(sum));
  }
  return result;
}

std::vector<Address> DemandTable::WaitingRouters() const {
  std::vector<Address> result;
  for (const auto& [router, entry] : entries_) {
    if (!entry.waiting_since.empty()) {
      result.push_back(router);
    }
  }
  return result;
}

std::vector<Address> DemandTable::Routers() const {
  std::vector<Address> result;
  for (const auto& [router, entry] : entries_) {
    result.push_back(router);
  }
  return result;
}

}  // namespace amaranthcove
