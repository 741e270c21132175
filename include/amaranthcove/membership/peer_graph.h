#ifndef AMARANTHCOVE_MEMBERSHIP_PEER_GRAPH_H_
#define AMARANTHCOVE_MEMBERSHIP_PEER_GRAPH_H_

#include <chrono>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Number of entries per data centre that watch the platform. With two, a data
// centre survives the loss of one reader, and 17 data centres have 34 pending
// watches. The platform handles about 2,000 calls per second.
inline constexpr std::size_t kReadersPerDataCentre = 2;

// Number of peers of an entry in its own data centre and in other data centres.
inline constexpr std::size_t kPeersInside = 4;
inline constexpr std::size_t kPeersOutside = 2;

// Time without a digest from a reader after which an entry reads the platform
// itself.
inline constexpr Duration kReaderTimeout = std::chrono::seconds(10);

// Maximum jitter that is added to `kReaderTimeout`, so that entries that lose
// their readers at the same time do not all start reading at the same time.
// Callers choose a random jitter up to this value.
inline constexpr Duration kReaderTimeoutJitter = std::chrono::seconds(5);

// An entry and its data centre. The strings must outlive the results of the
// functions below, which refer to them.
struct EntryLocation {
  std::string_view instance;
  std::string_view data_centre;
};

// All functions below are pure and thread-safe. Their results do not depend on
// the order of `entries`, which must not contain duplicates. Processes with
// equal lists get equal results, and adding or removing an entry changes only
// the results that contain it.

// Returns the readers of all data centres: of each one, the first
// kReadersPerDataCentre entries by rendezvous hash.
std::vector<std::string_view> ReadersOf(std::span<const EntryLocation> entries);

// Returns whether `self` is in `ReadersOf(entries)`.
bool IsReader(const EntryLocation& self,
              std::span<const EntryLocation> entries);

// Returns the entries to which `self` keeps links: first kPeersInside entries
// in its data centre, then kPeersOutside entries in other data centres, each by
// rendezvous hash, or fewer if there are not enough entries. Links are
// bidirectional, so an entry also uses the links that other entries keep to it.
std::vector<std::string_view> PeersFor(const EntryLocation& self,
                                       std::span<const EntryLocation> entries);

// Returns the result of `PeersFor` for `entries`, followed by the additional
// peers in its result for `reachable`. Peers that are listed but unreachable
// are thus kept for further attempts and replaced in the meantime.
// Precondition: `reachable` is a subset of `entries`.
std::vector<std::string_view> PeersWithReplacements(
    const EntryLocation& self,
    std::span<const EntryLocation> entries,
    std::span<const EntryLocation> reachable);

// Returns the linked peers to which an entry forwards a change: all except
// `source`, which sent the change. `source` is empty if the change came from
// the platform.
std::vector<std::string_view> PushTargets(
    std::span<const std::string_view> links,
    std::string_view source);

// Returns whether an entry must watch the platform: it is a reader, or it has
// not received a digest from a reader for kReaderTimeout plus `jitter`. An
// entry that has never received one passes its start time as
// `last_reader_digest`.
bool ShouldReadPlatform(const EntryLocation& self,
                        std::span<const EntryLocation> entries,
                        Time last_reader_digest,
                        Time now,
                        Duration jitter);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_MEMBERSHIP_PEER_GRAPH_H_
