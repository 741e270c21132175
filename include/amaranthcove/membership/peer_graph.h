#ifndef AMARANTHCOVE_MEMBERSHIP_PEER_GRAPH_H_
#define AMARANTHCOVE_MEMBERSHIP_PEER_GRAPH_H_

#include <chrono>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Two readers survive the loss of one, and 17 data centres then hold 34 pending
// watches of about 2,000 calls a second.
inline constexpr std::size_t kReadersPerDataCentre = 2;

inline constexpr std::size_t kPeersInside = 4;
inline constexpr std::size_t kPeersOutside = 2;

// An entry that has heard no digest from a reader for this long reads the
// platform itself.
inline constexpr Duration kReaderSilence = std::chrono::seconds(10);

// Entries that lose their readers together start reading within this time of
// each other. Callers draw the jitter from it.
inline constexpr Duration kReaderSilenceJitter = std::chrono::seconds(5);

// An entry and where it runs. The views must outlive the results of the
// functions below, which return parts of them.
struct EntryPlace {
  std::string_view instance;
  std::string_view data_centre;
};

// All functions here are pure, thread-safe and independent of the order of
// `entries`, which has no duplicates. Processes with equal lists agree, and an
// entry that comes or goes changes only the choices that it is part of.

// The readers of every data centre: its first kReadersPerDataCentre entries by
// rendezvous hash.
std::vector<std::string_view> ReadersOf(std::span<const EntryPlace> entries);

// True if `self` is among `ReadersOf(entries)`.
bool IsReader(const EntryPlace& self, std::span<const EntryPlace> entries);

// The entries that `self` keeps links to: kPeersInside in its data centre, then
// kPeersOutside elsewhere, by rendezvous hash; fewer if there are fewer. Links
// carry messages both ways, so an entry also has those that others keep to it.
std::vector<std::string_view> PeersFor(const EntryPlace& self,
                                       std::span<const EntryPlace> entries);

// `PeersFor` over all of `entries`, then over those that can be reached: dead
// peers that are still listed are kept, so that they are tried again, and are
// replaced in the meantime. `reachable` is a part of `entries`.
std::vector<std::string_view> PeersWithReplacements(
    const EntryPlace& self,
    std::span<const EntryPlace> entries,
    std::span<const EntryPlace> reachable);

// The linked peers to which an entry passes on a change that it adopted: all
// but `source`, which sent it. `source` is empty if the platform did.
std::vector<std::string_view> PushTargets(
    std::span<const std::string_view> links,
    std::string_view source);

// True if an entry must watch the platform: it is a reader, or it has heard no
// digest from a reader for kReaderSilence and `jitter`. An entry that never
// heard one passes the time of its start as `last_reader_digest`.
bool ShouldRead(const EntryPlace& self,
                std::span<const EntryPlace> entries,
                Time last_reader_digest,
                Time now,
                Duration jitter);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_MEMBERSHIP_PEER_GRAPH_H_
