// Computes how a configuration change spreads over the graph of entries, with
// the pure functions of `membership` only; no sockets, no time.
//
// usage: spread_bench
//
// Two rules are compared. "text": an adopted text is pushed over every link but
// the one it came from. "announce": the team and revision are pushed so, and an
// entry that lacks the revision asks one announcer for the text.

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/membership/peer_graph.h"

namespace amaranthcove {
namespace {

constexpr int kEntries = 860;
constexpr int kRegions = 6;
constexpr int kDataCentres = 17;
constexpr double kChangesPerSecond = 9900.0 / 86400.0;
constexpr int kSeeds = 10;

// Frame, Thrift field headers, team and revision. Assumed, not measured.
constexpr std::size_t kEnvelopeBytes = 48;

using Links = std::map<std::string_view, std::set<std::string_view>>;

struct Fleet {
  std::vector<std::string> data_centres;
  std::vector<std::string> names;
  std::vector<EntryLocation> places;

  Fleet() {
    for (int i = 0; i < kDataCentres; ++i) {
      data_centres.push_back("region-" + std::to_string(i % kRegions) + "-dc-" +
                             std::to_string(i));
    }
    for (int i = 0; i < kEntries; ++i) {
      names.push_back("entry-" + std::to_string(i));
    }
    for (int i = 0; i < kEntries; ++i) {
      places.push_back({names[i], data_centres[i % kDataCentres]});
    }
  }
};

struct Spread {
  std::size_t live = 0;
  std::size_t readers = 0;
  std::size_t reached = 0;
  int hops = 0;
  std::size_t pushes = 0;
};

std::set<std::string_view> Survivors(const Fleet& fleet,
                                     int dead_percent,
                                     unsigned seed) {
  std::vector<std::string_view> names(fleet.names.begin(), fleet.names.end());
  std::mt19937 random(seed);
  std::ranges::shuffle(names, random);
  names.resize(names.size() * (100 - dead_percent) / 100);
  return {names.begin(), names.end()};
}

// The dead are still listed, so links to them are lost and not replaced.
Links LinksAmong(const Fleet& fleet, const std::set<std::string_view>& live) {
  Links links;
  for (const EntryLocation& entry : fleet.places) {
    for (const std::string_view peer : PeersFor(entry, fleet.places)) {
      if (live.contains(entry.instance) && live.contains(peer)) {
        links[entry.instance].insert(peer);
        links[peer].insert(entry.instance);
      }
    }
  }
  return links;
}

// One change, in rounds: whoever adopted it in a round pushes it to all its
// links but its source. Pushes cross, so an entry may get several copies.
Spread Push(const Fleet& fleet, const std::set<std::string_view>& live) {
  const Links links = LinksAmong(fleet, live);
  std::map<std::string_view, std::string_view> source;
  std::vector<std::string_view> round;
  for (const std::string_view reader : ReadersOf(fleet.places)) {
    if (live.contains(reader)) {
      source[reader] = "";
      round.push_back(reader);
    }
  }
  Spread spread;
  spread.live = live.size();
  spread.readers = round.size();
  while (!round.empty()) {
    std::vector<std::string_view> next;
    for (const std::string_view entry : round) {
      const auto found = links.find(entry);
      if (found == links.end()) {
        continue;
      }
      const std::vector<std::string_view> all(found->second.begin(),
                                              found->second.end());
      for (const std::string_view peer : PushTargets(all, source[entry])) {
        ++spread.pushes;
        if (source.try_emplace(peer, entry).second) {
          next.push_back(peer);
        }
      }
    }
    spread.hops += next.empty() ? 0 : 1;
    round = std::move(next);
  }
  spread.reached = source.size();
  return spread;
}

void PrintReach(const Fleet& fleet) {
  std::printf("| dead | readers left | hops | reached, worst of %d seeds |\n",
              kSeeds);
  std::printf("|---|---|---|---|\n");
  for (const int dead : {0, 20, 40}) {
    Spread worst;
    double reach = 2;
    int hops = 0;
    std::size_t readers = kEntries;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      const Spread spread = Push(fleet, Survivors(fleet, dead, seed));
      const double share = static_cast<double>(spread.reached) /
                           static_cast<double>(spread.live);
      if (share < reach) {
        reach = share;
        worst = spread;
      }
      hops = std::max(hops, spread.hops);
      readers = std::min(readers, spread.readers);
    }
    std::printf("| %d%% | at least %zu | at most %d | %.2f%% (%zu of %zu) |\n",
                dead, readers, hops, reach * 100, worst.reached, worst.live);
  }
}

void PrintCost(const Spread& spread) {
  std::printf(
      "\n| rule | text | messages per change | KiB per change | "
      "messages/s | bytes/s sent per entry |\n");
  std::printf("|---|---|---|---|---|---|\n");
  const std::size_t fetches = spread.live - spread.readers;
  for (const bool announce : {false, true}) {
    for (const std::size_t kib : {1, 4, 16}) {
      const std::size_t text = kib * 1024 + kEnvelopeBytes;
      const std::size_t messages = spread.pushes + (announce ? 2 * fetches : 0);
      const std::size_t bytes =
          announce ? (spread.pushes + fetches) * kEnvelopeBytes + fetches * text
                   : spread.pushes * text;
      std::printf("| %s | %zu KiB | %zu | %.0f | %.0f | %.0f |\n",
                  announce ? "announce" : "text", kib, messages,
                  static_cast<double>(bytes) / 1024,
                  static_cast<double>(messages) * kChangesPerSecond,
                  static_cast<double>(bytes) * kChangesPerSecond /
                      static_cast<double>(spread.live));
    }
  }
}

}  // namespace
}  // namespace amaranthcove

int main() {
  const amaranthcove::Fleet fleet;
  amaranthcove::PrintReach(fleet);
  const amaranthcove::Spread whole =
      amaranthcove::Push(fleet, amaranthcove::Survivors(fleet, 0, 1));
  amaranthcove::PrintCost(whole);
  std::printf(
      "\nPending watches at the platform: %zu for documents, %zu for "
      "instances.\n",
      whole.readers, whole.readers);
  return 0;
}
