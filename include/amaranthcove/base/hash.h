#ifndef AMARANTHCOVE_BASE_HASH_H_
#define AMARANTHCOVE_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace amaranthcove {

// Returns the 64-bit xxHash (XXH3) of `data`. The value is the same in all
// processes and releases, so that they make the same decisions for the same
// names. Thread-safe.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

// Returns a hash of `data` that is uniformly distributed from 0 to 1.
// Thread-safe.
double UnitHash(std::string_view data, std::uint64_t seed = 0);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_HASH_H_
