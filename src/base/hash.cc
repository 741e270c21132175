#include "amaranthcove/base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace amaranthcove {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

}  // namespace amaranthcove
