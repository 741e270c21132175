#include "amaranthcove/policy/placement.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "amaranthcove/base/hash.h"

namespace amaranthcove::policy {

namespace {

constexpr std::size_t kMaximumCandidates = 64;

std::uint64_t Mix(std::uint64_t x) {
  x = (x ^ (x >> 33U)) * 0xFF51AFD7ED558CCDULL;
  x = (x ^ (x >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
  return x ^ (x >> 33U);
}

// The best servers found so far, best first.
class TopServers {
 public:
  explicit TopServers(std::span<std::uint32_t> best)
      : best_(best.first(std::min(best.size(), kMaximumCandidates))) {}

  // Adds the servers for which `accept` holds.
  template <typename Accept>
  void AddAll(std::uint64_t key,
              std::span<const PlacementServer> servers,
              Accept accept) {
    const std::size_t first = size_;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (servers[i].weight > 0 && accept(servers[i])) {
        Add(key, servers[i], static_cast<std::uint32_t>(i), first);
      }
    }
  }

  std::size_t size() const { return size_; }
  bool full() const { return size_ == best_.size(); }

 private:
  void Add(std::uint64_t key,
           const PlacementServer& server,
           std::uint32_t index,
           std::size_t first) {
    if (first == best_.size()) {
      return;
    }
    const std::uint64_t bits = Mix(key ^ server.name_hash);
    // Uniform in (0, 1).
    const double unit = (static_cast<double>(bits >> 11U) + 0.5) * 0x1.0p-53;
    // As -log(u) >= 1 - u, most servers are ruled out without a logarithm.
    const double weight = server.weight;
    if (full() && weight < scores_[size_ - 1] * (1 - unit)) {
      return;
    }
    const double score = weight / -std::log(unit);
    if (full() && score <= scores_[size_ - 1]) {
      return;
    }
    std::size_t at = full() ? size_ - 1 : size_++;
    for (; at > first && scores_[at - 1] < score; --at) {
      scores_[at] = scores_[at - 1];
      best_[at] = best_[at - 1];
    }
    scores_[at] = score;
    best_[at] = index;
  }

  std::span<std::uint32_t> best_;
  std::array<double, kMaximumCandidates> scores_{};
  std::size_t size_ = 0;
};

}  // namespace

std::size_t RankServers(std::string_view adapter,
                        std::span<const PlacementServer> servers,
                        std::span<std::uint32_t> best) {
  const std::uint64_t key = Hash64(adapter);
  TopServers top(best);
  top.AddAll(key, servers, [](const PlacementServer& server) {
    return server.distance != Distance::kOtherRegion;
  });
  if (!top.full()) {
    top.AddAll(key, servers, [](const PlacementServer& server) {
      return server.distance == Distance::kOtherRegion;
    });
  }
  return top.size();
}

std::uint32_t ReplicaCount(double rate,
                           double batch_share,
                           std::uint32_t current,
                           const ReplicaSettings& settings) {
  const auto needed = [&](double share) {
    const double count = std::ceil(rate / share);
    return static_cast<std::uint32_t>(
        std::clamp(count, 1.0, static_cast<double>(settings.maximum)));
  };
  const std::uint32_t grow = needed(batch_share);
  const std::uint32_t shrink = needed(batch_share * settings.shrink_below);
  return std::clamp(current, grow, std::max(grow, shrink));
}

}  // namespace amaranthcove::policy
