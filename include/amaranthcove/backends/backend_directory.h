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

// A backend server according to its entry in the instance list.
struct BackendServer {
  // Identifies one start. A later start at the same address may have another
  // id.
  std::string id;
  std::string service;
  Address address;
  std::string data_centre;
  int slots = 1;
  bool leaving = false;
  // Start time in milliseconds of its own wall clock. Distinguishes two starts
  // with the same id.
  std::int64_t started_at_ms = 0;

  bool operator==(const BackendServer&) const = default;
};

// The grace period after an outage of the instance list. Entries of live
// servers that expired during the outage return within this time; servers that
// are missing after it have left.
inline constexpr Duration kReturnGracePeriod = std::chrono::milliseconds(2500);

// The backend servers that a process knows from the instance list.
//
// Two starts never share an address: the later one supersedes the earlier one,
// whose entry may stay listed for some heartbeats.
//
// A server that has announced that it leaves stays leaving until another start
// of it is listed. Servers that are missing after an outage of the list are
// kept for `kReturnGracePeriod`, because entries of live servers may have
// expired during the outage.
//
// Thread safety: none.
class BackendDirectory {
 public:
  struct Change {
    enum class Kind { kAdded, kLeaving, kGone, kReplaced };
    Kind kind = Kind::kAdded;
    BackendServer server;
  };

  // Adds or updates an entry of the list. Returns the resulting change, if any.
  std::vector<Change> Put(BackendServer server);

  // Marks a server as leaving that has said so itself. Servers that are not
  // listed, or that have started anew since, stay as they are. Returns the
  // resulting change, if any.
  std::vector<Change> MarkLeaving(const BackendServer& server);

  // Removes an entry. During the grace period, a server that was not leaving is
  // kept until `Expire`. Returns the resulting change, if any.
  std::vector<Change> Remove(std::string_view id, Time now);

  // Applies a complete listing: puts `servers` and removes all others. Returns
  // the resulting changes.
  std::vector<Change> ReplaceAll(std::vector<BackendServer> servers, Time now);

  // Starts the grace period. Call when the list can be read again after an
  // outage.
  void StartGracePeriod(Time now);

  // Drops the missing servers if the grace period has ended.
  std::vector<Change> Expire(Time now);

  // Returns whether a server with a later start has the address of `server`.
  bool IsSuperseded(const BackendServer& server) const;

  // Returns the server with `id`, or null. The pointer is valid until the next
  // change.
  const BackendServer* Find(std::string_view id) const;

  // Returns the servers of `service` that take new work, ordered by id. Servers
  // that are leaving or superseded do not. The pointers are valid until the
  // next change.
  std::vector<const BackendServer*> Serving(std::string_view service) const;

  // Returns all servers, ordered by id. The pointers are valid until the next
  // change.
  std::vector<const BackendServer*> All() const;

  bool empty() const { return entries_.empty(); }

 private:
  struct Entry {
    BackendServer server;
    bool missing = false;  // Not listed; dropped after the grace period.
  };

  std::map<std::string, Entry, std::less<>> entries_;
  // Start times of servers that were removed while leaving, by id. A late
  // heartbeat must not add them again.
  std::map<std::string, std::int64_t, std::less<>> departed_;
  // The latest start at each address.
  std::map<Address, std::int64_t> latest_starts_;
  Time grace_end_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BACKENDS_BACKEND_DIRECTORY_H_
