#ifndef AMARANTHCOVE_BACKENDS_BACKEND_DIRECTORY_H_
#define AMARANTHCOVE_BACKENDS_BACKEND_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// A backend server as it describes itself in the instance list.
struct BackendServer {
  std::string id;  // Of one start; an address may be used again by another id.
  std::string service;
  Address address;
  std::string data_centre;
  int slots = 1;
  bool leaving = false;
  // When it started, in milliseconds of its own wall clock. Tells two starts
  // with one id apart.
  std::int64_t started_at_ms = 0;

  bool operator==(const BackendServer&) const = default;
};

// Entries that expired while the instance list was unreachable return within
// this time after it is reachable again; what is missing then has left.
inline constexpr Duration kReturnGrace = std::chrono::milliseconds(2500);

// What a process believes about the backend servers, by the instance list.
//
// Two starts never share an address: the later one supersedes the other, whose
// entry may stay listed for some heartbeats.
//
// A server that was seen leaving stays so until it is seen with another start.
// Servers that are missing right after a gap in contact are kept for
// `kReturnGrace`, because the list may have dropped live servers in the gap.
//
// Thread safety: none.
class BackendDirectory {
 public:
  struct Change {
    enum class Kind { kAdded, kLeaving, kGone, kReplaced };
    Kind kind = Kind::kAdded;
    BackendServer server;
  };

  // Takes an entry of the list. Returns what changed, if anything.
  std::vector<Change> Put(BackendServer server);

  // Takes the removal of an entry. During the grace after a gap a server that
  // was not leaving is kept until `Expire`.
  std::vector<Change> Remove(std::string_view id, Time now);

  // Takes a whole listing.
  std::vector<Change> ReplaceAll(std::vector<BackendServer> servers, Time now);

  // The list can be read again after a gap.
  void ContactRegained(Time now);

  // Drops servers whose grace has ended.
  std::vector<Change> Expire(Time now);

  // Whether another server with a later start has the address of `server`.
  bool IsSuperseded(const BackendServer& server) const;

  // The server with `id`, or null.
  const BackendServer* Find(std::string_view id) const;

  // Servers of `service` that take new work, ordered by id. Superseded servers
  // do not. The pointers are
  // valid until the next change.
  std::vector<const BackendServer*> Serving(std::string_view service) const;

  // All servers, ordered by id.
  std::vector<const BackendServer*> All() const;

  bool empty() const { return entries_.empty(); }

 private:
  struct Entry {
    BackendServer server;
    bool missing = false;  // Not listed; gone when the grace ends.
  };

  std::map<std::string, Entry, std::less<>> entries_;
  // Starts that were removed after they had announced that they leave, by id. A
  // late heartbeat must not bring them back.
  std::map<std::string, std::int64_t, std::less<>> left_;
  // The latest start at each address.
  std::map<Address, std::int64_t> latest_starts_;
  Time grace_end_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BACKENDS_BACKEND_DIRECTORY_H_
