#include "amaranthcove/membership/peer_graph.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

// The seeds make the uses of the hash independent. With a common seed, readers
// would also be the preferred peers of some entries.
constexpr std::uint64_t kReaderSeed = 1;
constexpr std::uint64_t kPeerSeed = 2;

// The `count` names with the highest rendezvous weights, best first.
class TopNames {
 public:
  explicit TopNames(std::size_t count) : count_(count) {}

  void Add(std::uint64_t weight, std::string_view name) {
    const std::pair candidate(weight, name);
    if (best_.size() == count_ && candidate <= best_.back()) {
      return;
    }
    best_.insert(std::ranges::lower_bound(best_, candidate, std::greater()),
                 candidate);
    if (best_.size() > count_) {
      best_.pop_back();
    }
  }

  void AppendTo(std::vector<std::string_view>& names) const {
    for (const auto& [weight, name] : best_) {
      names.push_back(name);
    }
  }

 private:
  std::size_t count_;
  std::vector<std::pair<std::uint64_t, std::string_view>> best_;
};

std::uint64_t ReaderWeight(const EntryLocation& entry) {
  return Hash64(entry.instance, Hash64(entry.data_centre, kReaderSeed));
}

}  // namespace

std::vector<std::string_view> ReadersOf(
    std::span<const EntryLocation> entries) {
  std::map<std::string_view, TopNames> by_data_centre;
  for (const EntryLocation& entry : entries) {
    by_data_centre.try_emplace(entry.data_centre, kReadersPerDataCentre)
        .first->second.Add(ReaderWeight(entry), entry.instance);
  }
  std::vector<std::string_view> readers;
  for (const auto& [data_centre, best] : by_data_centre) {
    best.AppendTo(readers);
  }
  return readers;
}

bool IsReader(const EntryLocation& self,
              std::span<const EntryLocation> entries) {
  TopNames best(kReadersPerDataCentre);
  for (const EntryLocation& entry : entries) {
    if (entry.data_centre == self.data_centre) {
      best.Add(ReaderWeight(entry), entry.instance);
    }
  }
  std::vector<std::string_view> readers;
  best.AppendTo(readers);
  return std::ranges::find(readers, self.instance) != readers.end();
}

std::vector<std::string_view> PeersFor(const EntryLocation& self,
                                       std::span<const EntryLocation> entries) {
  const std::uint64_t seed = Hash64(self.instance, kPeerSeed);
  TopNames inside(kPeersInside);
  TopNames outside(kPeersOutside);
  for (const EntryLocation& entry : entries) {
    if (entry.instance == self.instance) {
      continue;
    }
    TopNames& best = entry.data_centre == self.data_centre ? inside : outside;
    best.Add(Hash64(entry.instance, seed), entry.instance);
  }
  std::vector<std::string_view> peers;
  inside.AppendTo(peers);
  outside.AppendTo(peers);
  return peers;
}

std::vector<std::string_view> PeersWithReplacements(
    const EntryLocation& self,
    std::span<const EntryLocation> entries,
    std::span<const EntryLocation> reachable) {
  std::vector<std::string_view> peers = PeersFor(self, entries);
  if (reachable.size() == entries.size()) {
    return peers;
  }
  for (const std::string_view peer : PeersFor(self, reachable)) {
    if (std::ranges::find(peers, peer) == peers.end()) {
      peers.push_back(peer);
    }
  }
  return peers;
}

std::vector<std::string_view> PushTargets(
    std::span<const std::string_view> links,
    std::string_view source) {
  std::vector<std::string_view> targets;
  std::ranges::copy_if(links, std::back_inserter(targets),
                       [&](std::string_view link) { return link != source; });
  return targets;
}

bool ShouldReadPlatform(const EntryLocation& self,
                        std::span<const EntryLocation> entries,
                        Time last_reader_digest,
                        Time now,
                        Duration jitter) {
  return now - last_reader_digest >= kReaderTimeout + jitter ||
         IsReader(self, entries);
}

}  // namespace amaranthcove
