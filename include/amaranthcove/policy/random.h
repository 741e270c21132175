#ifndef AMARANTHCOVE_POLICY_RANDOM_H_
#define AMARANTHCOVE_POLICY_RANDOM_H_

#include <cstdint>

namespace amaranthcove::policy {

// SplitMix64 pseudo-random generator with 8 bytes of state. The sequence for a
// seed is the same on every platform. Not suitable for secrets. Not
// thread-safe.
struct Random {
  std::uint64_t state = 0;

  std::uint64_t Next() {
    state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31U);
  }

  // Returns a uniformly distributed number in [0, 1).
  double NextUnit() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }

  // Returns a uniformly distributed number in [0, bound). Precondition: `bound`
  // is not 0.
  std::uint64_t NextBelow(std::uint64_t bound) { return Next() % bound; }
};

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_RANDOM_H_
