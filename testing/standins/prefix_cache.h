#ifndef AMARANTHCOVE_TESTING_STANDINS_PREFIX_CACHE_H_
#define AMARANTHCOVE_TESTING_STANDINS_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace amaranthcove::standins {

// Caches the prefixes of recent prompts by model and evicts the least recently
// used one when it is full.
//
// Thread safety: none.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  // Returns true if the prefix of `prompt` is cached for `model`; caches it if
  // not. In both cases the prefix becomes the most recently used one.
  bool LookUpOrInsert(std::string_view model, std::string_view prompt);

  // Removes all prefixes. The hit ratio is kept.
  void Clear();

  // Returns the share of `LookUpOrInsert` calls that were hits since the cache
  // was created, or 0 if there were none.
  double hit_ratio() const;

 private:
  using Keys = std::list<std::uint64_t>;

  std::size_t capacity_;
  Keys recent_first_;
  std::unordered_map<std::uint64_t, Keys::iterator> positions_;
  std::int64_t lookups_ = 0;
  std::int64_t hits_ = 0;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_PREFIX_CACHE_H_
