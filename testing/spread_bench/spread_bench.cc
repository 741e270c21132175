// Computes how a configuration change propagates through the graph of entries.
// It uses only the pure functions of `membership`, without sockets or time.
//
// usage: spread_bench
//
// Two protocols are compared. "text": an entry that adopts a text pushes it
// over every link except the one it came from. "announce": the entry pushes the
// team and revision in the same way, and an entry that lacks the revision
// requests the text from one of the entries that announced it.

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

// Approximate size of the frame, Thrift field headers, team and revision.
constexpr std::size_t kEnvelopeBytes = 48;

using Links = std::map<std::string_view, std::set<std::string_view>>;

// The names and places of all entries. `places` refers to the strings of the
// other members.
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

// The result of propagating one change.
struct Propagation {
  std::size_t live = 0;     // Live entries.
  std::size_t readers = 0;  // Live entries that read the platform.
  std::size_t reached = 0;  // Entries that adopted the change.
  int hops = 0;
  std::size_t pushes = 0;  // Messages sent over links.
};

// Returns the entries that remain live after `dead_percent` of them, chosen at
// random, have failed.
std::set<std::string_view> SelectLiveEntries(const Fleet& fleet,
                                             int dead_percent,
                                             unsigned seed) {
  std::vector<std::string_view> names(fleet.names.begin(), fleet.names.end());
  std::mt19937 random(seed);
  std::ranges::shuffle(names, random);
  names.resize(names.size() * (100 - dead_percent) / 100);
  return {names.begin(), names.end()};
}

// Returns the links between live entries. Failed entries are still listed, so
// links to them are lost and not replaced.
Links LiveLinks(const Fleet& fleet, const std::set<std::string_view>& live) {
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

// Propagates one change in rounds. An entry that adopted it in a round pushes
// it over all its links except to the entry it came from. Pushes may cross, so
// an entry may receive several copies.
Propagation Propagate(const Fleet& fleet,
                      const std::set<std::string_view>& live) {
  const Links links = LiveLinks(fleet, live);
  std::map<std::string_view, std::string_view> source;
  std::vector<std::string_view> round;
  for (const std::string_view reader : ReadersOf(fleet.places)) {
    if (live.contains(reader)) {
      source[reader] = "";
      round.push_back(reader);
    }
  }
  Propagation propagation;
  propagation.live = live.size();
  propagation.readers = round.size();
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
        ++propagation.pushes;
        if (source.try_emplace(peer, entry).second) {
          next.push_back(peer);
        }
      }
    }
    propagation.hops += next.empty() ? 0 : 1;
    round = std::move(next);
  }
  propagation.reached = source.size();
  return propagation;
}

// Prints a table of the share of live entries that a change reaches when some
// entries have failed.
void PrintReach(const Fleet& fleet) {
  std::printf("| dead | readers left | hops | reached, worst of %d seeds |\n",
              kSeeds);
  std::printf("|---|---|---|---|\n");
  for (const int dead : {0, 20, 40}) {
    Propagation worst;
    double reach = 2;
    int hops = 0;
    std::size_t readers = kEntries;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      const Propagation propagation =
          Propagate(fleet, SelectLiveEntries(fleet, dead, seed));
      const double share = static_cast<double>(propagation.reached) /
                           static_cast<double>(propagation.live);
      if (share < reach) {
        reach = share;
        worst = propagation;
      }
      hops = std::max(hops, propagation.hops);
      readers = std::min(readers, propagation.readers);
    }
    std::printf("| %d%% | at least %zu | at most %d | %.2f%% (%zu of %zu) |\n",
                dead, readers, hops, reach * 100, worst.reached, worst.live);
  }
}

// Prints a table of the traffic of both protocols for `propagation`.
void PrintCost(const Propagation& propagation) {
  std::printf(
      "\n| rule | text | messages per change | KiB per change | "
      "messages/s | bytes/s sent per entry |\n");
  std::printf("|---|---|---|---|---|---|\n");
  const std::size_t fetches = propagation.live - propagation.readers;
  for (const bool announce : {false, true}) {
    for (const std::size_t kib : {1, 4, 16}) {
      const std::size_t text = kib * 1024 + kEnvelopeBytes;
      const std::size_t messages =
          propagation.pushes + (announce ? 2 * fetches : 0);
      const std::size_t bytes =
          announce
              ? (propagation.pushes + fetches) * kEnvelopeBytes + fetches * text
              : propagation.pushes * text;
      std::printf("| %s | %zu KiB | %zu | %.0f | %.0f | %.0f |\n",
                  announce ? "announce" : "text", kib, messages,
                  static_cast<double>(bytes) / 1024,
                  static_cast<double>(messages) * kChangesPerSecond,
                  static_cast<double>(bytes) * kChangesPerSecond /
                      static_cast<double>(propagation.live));
    }
  }
}

}  // namespace
}  // namespace amaranthcove

int main() {
  const amaranthcove::Fleet fleet;
  amaranthcove::PrintReach(fleet);
  const amaranthcove::Propagation whole = amaranthcove::Propagate(
      fleet, amaranthcove::SelectLiveEntries(fleet, 0, 1));
  amaranthcove::PrintCost(whole);
  std::printf(
      "\nPending watches at the platform: %zu for documents, %zu for "
      "instances.\n",
      whole.readers, whole.readers);
  return 0;
}
