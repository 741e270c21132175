#ifndef AMARANTHCOVE_POLICY_PLACEMENT_H_
#define AMARANTHCOVE_POLICY_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace amaranthcove::policy {

// Distance of a server from the entry.
enum class Distance : std::uint8_t {
  kSameDataCentre,
  kSameRegion,
  kOtherRegion
};

// A server to which adapters can be assigned.
struct PlacementServer {
  std::uint64_t name_hash = 0;  // `Hash64` of the instance name.
  float weight = 1.0F;          // Relative capacity; 0 for no adapters.
  Distance distance = Distance::kSameDataCentre;
};

// Ranks the servers for `adapter` by weighted rendezvous hashing. Writes the
// indices of the best servers to `best`, best first, and returns their number,
// at most `best.size()` and 64. Servers of other regions come last and are used
// only if the own region has too few servers. The result depends only on the
// names, weights and regions, so all entries of a region agree. Takes linear
// time in the number of servers and does not allocate memory. Thread-safe.
std::size_t RankServers(std::string_view adapter,
                        std::span<const PlacementServer> servers,
                        std::span<std::uint32_t> best);

struct ReplicaSettings {
  std::uint32_t maximum = 8;  // Maximum number of replicas.
  // A replica is removed when the remaining ones could serve the rate with this
  // fraction of their capacity.
  double shrink_below = 0.7;
};

// Returns the number of replicas of an adapter with `rate` requests per second,
// if an engine may spend `batch_share` requests per second on one adapter. The
// number stays at `current` between the limits for adding and removing
// replicas. At least 1. Thread-safe.
std::uint32_t ReplicaCount(double rate,
                           double batch_share,
                           std::uint32_t current,
                           const ReplicaSettings& settings);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_PLACEMENT_H_
