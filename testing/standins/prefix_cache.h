#ifndef AMARANTHCOVE_TESTING_STANDINS_PREFIX_CACHE_H_
#define AMARANTHCOVE_TESTING_STANDINS_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace amaranthcove::standins {

// Remembers the beginnings of recent prompts of each model, least recently used
// out first. Thread safety: none.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  // Whether the beginning of `prompt` is cached; caches it.
  bool Use(std::string_view model, std::string_view prompt);

  // Drops everything, as a restart does.
  void Clear();

  // Share of `Use` calls that were hits, over the life of the cache.
  double hit_ratio() const;

 private:
  using Keys = std::list<std::uint64_t>;

  std::size_t capacity_;
  Keys recent_first_;
  std::unordered_map<std::uint64_t, Keys::iterator> positions_;
  std::int64_t uses_ = 0;
  std::int64_t hits_ = 0;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_PREFIX_CACHE_H_
