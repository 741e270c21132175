#ifndef AMARANTHCOVE_BASE_HASH_H_
#define AMARANTHCOVE_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace amaranthcove {

// 64-bit xxHash of `data`. The value is the same in every process and release,
// so processes that hash the same names agree. Thread-safe.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_HASH_H_
