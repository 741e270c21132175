#include "testing/standins/prefix_cache.h"

#include "amaranthcove/base/hash.h"

namespace amaranthcove::standins {

namespace {

// Prompts whose first kPrefixBytes bytes are equal share a cached prefix.
constexpr std::size_t kPrefixBytes = 64;

}  // namespace

bool PrefixCache::LookUpOrInsert(std::string_view model,
                                 std::string_view prompt) {
  const std::uint64_t key =
      Hash64(prompt.substr(0, kPrefixBytes), Hash64(model));
  ++lookups_;
  const auto found = positions_.find(key);
  if (found != positions_.end()) {
    ++hits_;
    recent_first_.splice(recent_first_.begin(), recent_first_, found->second);
    return true;
  }
  recent_first_.push_front(key);
  positions_[key] = recent_first_.begin();
  if (positions_.size() > capacity_) {
    positions_.erase(recent_first_.back());
    recent_first_.pop_back();
  }
  return false;
}

void PrefixCache::Clear() {
  recent_first_.clear();
  positions_.clear();
}

double PrefixCache::hit_ratio() const {
  return lookups_ == 0
             ? 0.0
             : static_cast<double>(hits_) / static_cast<double>(lookups_);
}

}  // namespace amaranthcove::standins
