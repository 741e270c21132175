#ifndef AMARANTHCOVE_MEMBERSHIP_INSTANCE_DIRECTORY_H_
#define AMARANTHCOVE_MEMBERSHIP_INSTANCE_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/membership/instance.h"
#include "amaranthcove/membership/peer_graph.h"
#include "amaranthcove/membership/probation.h"

namespace amaranthcove {

// Earlier incarnations of an instance whose late messages are still recognised.
inline constexpr std::size_t kPastIncarnations = 4;

// Gone instances that are remembered, to tell peers: the restarts and
// replacements of about half a day at the target scale.
inline constexpr std::size_t kKeptGone = 512;

// An instance that no list answer named is forgotten after this many failed
// connects in a row, about 30 s of probation.
inline constexpr int kFailuresOfUnlisted = 6;

// An instance, merged from the list and from what it said itself.
struct Instance {
  InstanceRecord record;           // `state` is the merged one.
  std::int64_t list_revision = 0;  // 0: known only from the instance itself.
  InstanceRecord listed;           // As in the list; valid if `list_revision`.
  Incarnation incarnation = 0;     // 0: it has not said `Hello` yet.
  std::vector<Incarnation> past_incarnations;  // Latest last.
  bool said_leaving = false;                   // In `incarnation`.
  ServerHealth health;

  bool live() const { return record.state == InstanceState::kLive; }

  // Whether the list answer said so last.
  bool listed_as(InstanceState state) const {
    return list_revision > 0 && listed.state == state;
  }
};

// Changes of the instance list from `after` to `revision`. If `complete`, every
// listed instance is included and others are gone.
struct InstanceChanges {
  std::int64_t after = 0;
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<InstanceRecord> records;
};

// What `InstanceDirectory::ApplyChanges` did.
enum class ApplyResult {
  kApplied,
  kNothingNew,  // The directory is at that revision or above it.
  kGap          // Changes before `after` are lacking; nothing was changed.
};

// A server for a request.
struct ServerCandidate {
  const Instance* instance = nullptr;
  bool same_region = false;
  bool on_probation = false;
};

// What a message from an instance meant.
enum class HelloResult {
  kNewIncarnation,   // First contact, or it replaces the known one.
  kSameIncarnation,  // A further connection.
  kPastIncarnation   // Late; ignored. The connection should be closed.
};

// The instances that a process knows. Merges the instance list, which lags,
// with what instances say on connections:
// - List answers with a revision below one applied earlier are ignored, and so
//   is a repeated entry about a live instance that said something newer.
// - An instance that said it is leaving is leaving for its incarnation, even if
//   the list calls it live. Only a `Hello` of another incarnation ends this, so
//   processes keep trying to connect to it (`ConnectTargets`), or a list answer
//   with another address, because a process never changes its address.
// - A new incarnation replaces the old one: it is live until it or a newer list
//   answer says otherwise, and its health starts afresh.
// - Messages of replaced incarnations are ignored.
//
// Thread safety: none, also of const methods; belongs to the loop's thread.
// Does no I/O. Pointers stay valid until the next non-const call.
class InstanceDirectory {
 public:
  // Applies changes from the instance list. Returns false, and changes nothing,
  // if `revision` is below that of an answer applied earlier.
  bool ApplyList(std::int64_t revision,
                 std::span<const InstanceRecord> changes);

  // As above, for changes that a peer sent.
  ApplyResult ApplyChanges(const InstanceChanges& changes);

  // What a peer lacks whose list revision is `after`.
  InstanceChanges ChangesAfter(std::int64_t after) const;

  // An instance introduced itself on a new connection. `record.state` is
  // ignored.
  HelloResult OnHello(const InstanceRecord& record, Incarnation incarnation);

  // `incarnation` of the instance said that it is leaving. Ignored unless it is
  // the known incarnation.
  void OnLeaving(std::string_view instance, Incarnation incarnation);

  // A connect failed, a connection broke, a connection with pending work went
  // silent, or an answer arrived. Unknown instances are ignored.
  void OnConnectFailed(std::string_view instance, Time now);
  void OnSilence(std::string_view instance, Time now);
  void OnHeard(std::string_view instance);

  // Forgets gone instances but for the `keep` newest, and unlisted ones that
  // cannot be reached. Their old list entries cannot come back, because answers
  // with lower revisions are ignored. Call it now and then.
  void ForgetGone(std::size_t keep = 0);

  // The live servers for a base model: those in `region` first; within and
  // outside the region, those on probation behind the others; then by name.
  std::vector<ServerCandidate> ServersForModel(std::string_view base_model,
                                               std::string_view region,
                                               Time now) const;

  // As above, for a plain service of a team.
  std::vector<ServerCandidate> ServersForService(std::string_view team,
                                                 std::string_view service,
                                                 std::string_view region,
                                                 Time now) const;

  // The live entries of a data centre by name.
  std::vector<const Instance*> EntriesOf(std::string_view data_centre) const;

  // All live entries by name, for the functions of peer_graph.h. The views
  // point into this directory.
  std::vector<EntryPlace> LiveEntries() const;

  // Instances of a role to keep or open connections to: all that are not gone
  // and whose probation is over. Includes leaving ones, because a new
  // incarnation is first noticed by its `Hello`.
  std::vector<const Instance*> ConnectTargets(InstanceRole role,
                                              Time now) const;

  // An instance, or null.
  const Instance* Find(std::string_view instance) const;

  // The revision of the newest list answer applied; 0 before the first.
  std::int64_t list_revision() const { return list_revision_; }

  // List answers that were ignored because of a lower revision.
  std::int64_t stale_answers() const { return stale_answers_; }

  // Every instance, for dumps.
  const std::map<std::string, Instance, std::less<>>& instances() const {
    return instances_;
  }

 private:
  Instance* FindMutable(std::string_view instance);
  void RebuildIndex() const;
  std::vector<ServerCandidate> Candidates(const std::string& key,
                                          std::string_view region,
                                          Time now) const;

  std::map<std::string, Instance, std::less<>> instances_;
  std::int64_t list_revision_ = 0;
  std::int64_t stale_answers_ = 0;
  // The highest list revision of a forgotten instance.
  std::int64_t forgotten_revision_ = 0;
  // Live sidecars by what they serve, so that a request does not look at all
  // instances. Rebuilt by the first query after a change.
  mutable std::unordered_map<std::string, std::vector<const Instance*>> index_;
  mutable bool index_is_current_ = false;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_MEMBERSHIP_INSTANCE_DIRECTORY_H_
