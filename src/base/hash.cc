#include "amaranthcove/base/hash.h"

#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace amaranthcove {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

double UnitHash(std::string_view data, std::uint64_t seed) {
  return static_cast<double>(Hash64(data, seed)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}  // namespace amaranthcove
