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

// Number of earlier incarnations of an instance that are stored, so that their
// late messages are recognised.
inline constexpr std::size_t kPastIncarnations = 4;

// Number of gone instances that are kept, so that peers can be informed of
// them. At the target scale, about half a day of restarts and replacements.
inline constexpr std::size_t kMaxGoneInstances = 512;

// Number of consecutive failed connects after which an instance that no list
// answer has contained is removed. Corresponds to about 30 s of probation.
inline constexpr int kMaxFailuresOfUnlisted = 6;

// An instance, merged from the instance list and the messages of the instance.
struct Instance {
  InstanceRecord record;           // The merged description.
  std::int64_t list_revision = 0;  // 0 if the list has not contained it.
  InstanceRecord listed;           // Valid if `list_revision` is not 0.
  Incarnation incarnation = 0;     // 0 if no `Hello` was received.
  std::vector<Incarnation> past_incarnations;  // The latest is last.
  bool said_leaving = false;  // `incarnation` has sent a leaving notice.
  ServerHealth health;

  bool live() const { return record.state == InstanceState::kLive; }

  // Returns whether the state in the instance list is `state`.
  bool listed_as(InstanceState state) const {
    return list_revision > 0 && listed.state == state;
  }
};

// Changes of the instance list from revision `after` to `revision`. If
// `complete`, `records` contains every listed instance and all others are gone.
struct InstanceChanges {
  std::int64_t after = 0;
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<InstanceRecord> records;
};

// The result of `InstanceDirectory::ApplyChanges`.
enum class ApplyResult {
  kApplied,
  kUpToDate,  // The directory already has that revision or a higher one.
  kGap        // Changes before `after` are missing; nothing was changed.
};

// A server that can process a request.
struct ServerCandidate {
  const Instance* instance = nullptr;
  bool same_region = false;
  bool on_probation = false;
};

// The result of `InstanceDirectory::OnHello`.
enum class HelloResult {
  kNewIncarnation,   // First contact, or replaces the current incarnation.
  kSameIncarnation,  // Another connection of the current incarnation.
  kPastIncarnation   // Late and ignored. The connection should be closed.
};

// The instances that a process knows. Merges the instance list, which is
// delayed, with the messages that instances send on connections:
// - List answers with a lower revision than an earlier answer are ignored, and
//   so is a repeated record of a live instance that has sent a newer message.
// - An instance that has announced that it is leaving keeps this state for its
//   incarnation, even if it is live in the list. The state ends with a `Hello`
//   of another incarnation, for which processes keep connecting to the instance
//   (`ConnectTargets`), or with another address in the list, because a process
//   never changes its address.
// - A new incarnation replaces the old one, and its health is reset. It is live
//   until it announces that it is leaving or a newer list answer has another
//   state.
// - Messages of replaced incarnations are ignored.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// This includes the const methods, which may rebuild an index. Does no I/O.
// Pointers stay valid until the next non-const call.
class InstanceDirectory {
 public:
  // Applies changes from the instance list. Returns false and changes nothing
  // if `revision` is lower than that of an earlier answer.
  bool ApplyList(std::int64_t revision,
                 std::span<const InstanceRecord> changes);

  // Applies changes of the instance list that a peer has sent.
  ApplyResult ApplyChanges(const InstanceChanges& changes);

  // Returns the changes for a peer that has the list revision `after`.
  InstanceChanges ChangesAfter(std::int64_t after) const;

  // Records the `Hello` of an instance on a new connection. `record.state` is
  // ignored.
  HelloResult OnHello(const InstanceRecord& record, Incarnation incarnation);

  // Records that an instance has announced that it is leaving. Ignored if
  // `incarnation` is not its current incarnation.
  void OnLeaving(std::string_view instance, Incarnation incarnation);

  // Record that a connect failed or a connection broke, that a connection with
  // pending work exceeded the silence limit, or that an answer was received.
  // Unknown instances are ignored.
  void OnConnectFailed(std::string_view instance, Time now);
  void OnSilence(std::string_view instance, Time now);
  void OnAnswer(std::string_view instance);

  // Removes all but the `keep` newest gone instances, and unlisted instances
  // that cannot be reached. Instances of the same revision are kept or removed
  // together. Old records cannot add an instance again, because list answers
  // with lower revisions are ignored. Must be called periodically to limit
  // memory.
  void RemoveGone(std::size_t keep = 0);

  // Returns the live servers for a base model. They are ordered by region, with
  // `region` first, then by probation, with servers on probation last, then by
  // name.
  std::vector<ServerCandidate> ServersForModel(std::string_view base_model,
                                               std::string_view region,
                                               Time now) const;

  // Returns the live servers for a plain service of a team, in the same order.
  std::vector<ServerCandidate> ServersForService(std::string_view team,
                                                 std::string_view service,
                                                 std::string_view region,
                                                 Time now) const;

  // Returns the live entries of a data centre, ordered by name.
  std::vector<const Instance*> EntriesOf(std::string_view data_centre) const;

  // Returns all live entries, ordered by name, for the functions in
  // peer_graph.h. The string views point into this directory.
  std::vector<EntryLocation> LiveEntries() const;

  // Returns the instances of a role to keep or open connections to: those that
  // are neither gone nor on probation. Includes leaving instances, because a
  // new incarnation is first detected by its `Hello`.
  std::vector<const Instance*> ConnectTargets(InstanceRole role,
                                              Time now) const;

  // Returns an instance, or null if it is unknown.
  const Instance* Find(std::string_view instance) const;

  // Returns the highest revision of the list answers; 0 before the first one.
  std::int64_t list_revision() const { return list_revision_; }

  // Returns the number of list answers that were ignored because of a lower
  // revision.
  std::int64_t stale_answers() const { return stale_answers_; }

  // Returns all instances by name, for dumps.
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
  // The highest list revision of a removed instance.
  std::int64_t removed_revision_ = 0;
  // Live sidecars by model or service, so that a query does not iterate over
  // all instances. Rebuilt by the first query after a change.
  mutable std::unordered_map<std::string, std::vector<const Instance*>> index_;
  mutable bool index_is_current_ = false;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_MEMBERSHIP_INSTANCE_DIRECTORY_H_
