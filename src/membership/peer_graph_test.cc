#include "amaranthcove/membership/peer_graph.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr int kEntries = 860;
constexpr int kDataCentres = 17;
constexpr Time kStart{std::chrono::hours(1)};

// The strings of the entries, and `places` that refer to them.
struct Entries {
  std::vector<std::string> names;
  std::vector<std::string> data_centres;
  std::vector<EntryLocation> places;

  Entries() {
    for (int i = 0; i < kDataCentres; ++i) {
      data_centres.push_back("dc-" + std::to_string(i));
    }
    for (int i = 0; i < kEntries; ++i) {
      names.push_back("entry-" + std::to_string(i));
    }
    for (int i = 0; i < kEntries; ++i) {
      places.push_back({names[i], data_centres[i % kDataCentres]});
    }
  }
};

using Graph = std::map<std::string_view, std::set<std::string_view>>;

// Returns the links between the entries in `live` when all entries in `known`
// are listed.
Graph LinksAmong(const std::set<std::string_view>& live,
                 std::span<const EntryLocation> known) {
  Graph graph;
  for (const EntryLocation& entry : known) {
    for (const std::string_view peer : PeersFor(entry, known)) {
      if (live.contains(entry.instance) && live.contains(peer)) {
        graph[entry.instance].insert(peer);
        graph[peer].insert(entry.instance);
      }
    }
  }
  return graph;
}

// Returns the number of entries that can be reached from `start`.
std::size_t ReachedFrom(std::string_view start, const Graph& graph) {
  std::set<std::string_view> reached{start};
  std::vector<std::string_view> pending{start};
  while (!pending.empty()) {
    const std::string_view entry = pending.back();
    pending.pop_back();
    const auto links = graph.find(entry);
    if (links == graph.end()) {
      continue;
    }
    for (const std::string_view peer : links->second) {
      if (reached.insert(peer).second) {
        pending.push_back(peer);
      }
    }
  }
  return reached.size();
}

}  // namespace

TEST_GROUP(PeerGraph) {
  Entries entries;
};

// Guards against changes that do not reach some entries when 20% of the entries
// are dead but still listed.
TEST(PeerGraph, StaysConnectedWithDeadEntries) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    std::mt19937 random(seed);
    std::vector<EntryLocation> shuffled = entries.places;
    std::ranges::shuffle(shuffled, random);
    std::set<std::string_view> live;
    for (int i = 0; i < kEntries * 8 / 10; ++i) {
      live.insert(shuffled[i].instance);
    }
    const Graph graph = LinksAmong(live, entries.places);
    CHECK_EQUAL(live.size(), ReachedFrom(*live.begin(), graph));
  }
}

// Guards against an entry whose peers are all in the same data centre. A
// partition between data centres would then disconnect it from all its peers.
TEST(PeerGraph, ChoosesPeersInsideAndOutside) {
  std::map<std::string_view, std::string_view> place;
  for (const EntryLocation& entry : entries.places) {
    place[entry.instance] = entry.data_centre;
  }
  for (const EntryLocation& entry : entries.places) {
    const auto peers = PeersFor(entry, entries.places);
    CHECK_EQUAL(kPeersInside + kPeersOutside, peers.size());
    CHECK(std::ranges::find(peers, entry.instance) == peers.end());
    const auto inside = std::ranges::count_if(
        peers, [&](auto peer) { return place[peer] == entry.data_centre; });
    CHECK_EQUAL(kPeersInside, static_cast<std::size_t>(inside));
  }
}

// Guards against the removal of one entry making most entries reconnect.
TEST(PeerGraph, RemovedEntryChangesOnlyItsOwnLinks) {
  const EntryLocation gone = entries.places.front();
  const std::span<const EntryLocation> rest(entries.places.begin() + 1,
                                            entries.places.end());
  for (const EntryLocation& entry : rest) {
    auto before = PeersFor(entry, entries.places);
    const auto after = PeersFor(entry, rest);
    std::erase(before, gone.instance);
    for (const std::string_view peer : before) {
      CHECK(std::ranges::find(after, peer) != after.end());
    }
  }
}

// Guards against too many pending watches at the platform, and against a data
// centre without a reader.
TEST(PeerGraph, TwoReadersInEachDataCentre) {
  std::vector<EntryLocation> reversed(entries.places.rbegin(),
                                      entries.places.rend());
  const auto readers = ReadersOf(entries.places);
  CHECK_EQUAL(kDataCentres * kReadersPerDataCentre, readers.size());
  CHECK(readers == ReadersOf(reversed));
  std::map<std::string_view, int> by_data_centre;
  for (const EntryLocation& entry : entries.places) {
    const bool listed =
        std::ranges::find(readers, entry.instance) != readers.end();
    CHECK_EQUAL(listed, IsReader(entry, reversed));
    by_data_centre[entry.data_centre] += listed ? 1 : 0;
  }
  for (const auto& [data_centre, count] : by_data_centre) {
    CHECK_EQUAL(2, count);
  }
}

// Guards against entries that receive no configuration when all readers are
// dead, and against all entries reading the platform while the readers are
// alive.
TEST(PeerGraph, ReadsWhenReaderDigestsTimeOut) {
  for (const EntryLocation& entry : entries.places) {
    const Duration jitter = std::chrono::seconds(2);
    const Time due = kStart + kReaderTimeout + jitter;
    CHECK_EQUAL(IsReader(entry, entries.places),
                ShouldReadPlatform(entry, entries.places, kStart,
                                   due - Duration(1), jitter));
    CHECK(ShouldReadPlatform(entry, entries.places, kStart, due, jitter));
  }
}

// Guards against sending a change back to the peer that sent it.
TEST(PeerGraph, PushesToAllLinksButTheSource) {
  const std::vector<std::string_view> links{"a", "b", "c"};
  CHECK_EQUAL(3U, PushTargets(links, "").size());
  const auto targets = PushTargets(links, "b");
  CHECK(targets == std::vector<std::string_view>({"a", "c"}));
}

}  // namespace amaranthcove
