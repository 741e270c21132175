#ifndef AMARANTHCOVE_POLICY_RANDOM_H_
#define AMARANTHCOVE_POLICY_RANDOM_H_

#include <cstdint>

namespace amaranthcove::policy {

// SplitMix64 generator: 8 bytes of state, the same sequence for the same seed
// on every platform. Not for secrets. Not thread-safe.
struct Random {
  std::uint64_t state = 0;

  std::uint64_t Next() {
    state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31U);
  }

  // Uniform in [0, 1).
  double NextUnit() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }

  // Uniform in [0, bound); `bound` must not be 0.
  std::uint64_t NextBelow(std::uint64_t bound) { return Next() % bound; }
};

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_RANDOM_H_
