#ifndef AMARANTHCOVE_POLICY_PLACEMENT_H_
#define AMARANTHCOVE_POLICY_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace amaranthcove::policy {

enum class Distance : std::uint8_t {
  kSameDataCentre,
  kSameRegion,
  kOtherRegion
};

struct PlacementServer {
  std::uint64_t name_hash = 0;  // `Hash64` of the instance name.
  float weight = 1.0F;          // Relative capacity; 0 takes no adapters.
  Distance distance = Distance::kSameDataCentre;
};

// Writes the indices of the best servers for `adapter`, best first, by weighted
// rendezvous hashing and returns how many were written (at most `best.size()`).
// Servers of other regions follow only when the region has too few. The answer
// depends on names and weights only, so all entries of a region agree. Linear
// in servers; nothing is allocated. Thread-safe.
std::size_t RankServers(std::string_view adapter,
                        std::span<const PlacementServer> servers,
                        std::span<std::uint32_t> best);

struct ReplicaSettings {
  std::uint32_t maximum = 8;
  // A replica is dropped once the rate fits the rest with this much slack.
  double shrink_below = 0.7;
};

// Number of replicas for an adapter with `rate` requests per second when one
// engine may spend `batch_share` requests per second on one adapter. Between
// the limits for growing and shrinking, `current` is kept. At least 1.
std::uint32_t ReplicaCount(double rate,
                           double batch_share,
                           std::uint32_t current,
                           const ReplicaSettings& settings);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_PLACEMENT_H_
