#include "amaranthcove/membership/instance_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace amaranthcove {

namespace {

std::string ModelKey(std::string_view base_model) {
  return std::string(1, 'm').append(base_model);
}

// The separator cannot occur in the name of a team, so keys are unique.
std::string ServiceKey(std::string_view team, std::string_view service) {
  return std::string(1, 's').append(team).append(1, '/').append(service);
}

std::string OfferKey(const BackendOffer& offer) {
  return offer.kind == OfferKind::kEngine
             ? ModelKey(offer.base_model)
             : ServiceKey(offer.team, offer.service);
}

// Resets the address to the listed one. The address from a `Hello` is valid
// only for the process that sent it; its successor has the listed address.
void UseListedAddress(Instance& instance) {
  if (instance.list_revision > 0) {
    instance.record.address = instance.listed.address;
  }
}

void ReplaceIncarnation(Instance& instance, Incarnation incarnation) {
  if (instance.incarnation != 0) {
    instance.past_incarnations.push_back(instance.incarnation);
  }
  if (instance.past_incarnations.size() > kPastIncarnations) {
    instance.past_incarnations.erase(instance.past_incarnations.begin());
  }
  instance.incarnation = incarnation;
  instance.said_leaving = false;
}

// Returns the state of an instance after a `Hello` of a new incarnation. On
// first contact, a listed state of leaving is assumed to apply to this
// incarnation, but a listed state of gone is not.
InstanceState StateOfNewIncarnation(const Instance& instance) {
  const bool first_contact = instance.incarnation == 0;
  return first_contact && instance.record.state == InstanceState::kLeaving
             ? InstanceState::kLeaving
             : InstanceState::kLive;
}

void ApplyRecord(Instance& instance,
                 std::int64_t revision,
                 const InstanceRecord& change) {
  const bool repeated = instance.list_revision > 0 && instance.listed == change;
  const bool moved = instance.list_revision > 0 &&
                     instance.listed.address != change.address &&
                     instance.record.address != change.address;
  instance.list_revision = revision;
  instance.listed = change;
  if (repeated) {
    // A different address in `record` comes from a later `Hello` and is kept.
    if (change.state != InstanceState::kLive) {
      instance.record.state = change.state;
    }
    return;
  }
  if (moved) {
    ReplaceIncarnation(instance, 0);
    instance.health = {};
  }
  instance.record = change;
  if (instance.said_leaving && change.state == InstanceState::kLive) {
    instance.record.state = InstanceState::kLeaving;
  }
}

}  // namespace

ApplyResult InstanceDirectory::ApplyChanges(const InstanceChanges& changes) {
  if (changes.revision <= list_revision_) {
    return ApplyResult::kUpToDate;
  }
  if (!changes.complete && changes.after > list_revision_) {
    return ApplyResult::kGap;
  }
  ApplyList(changes.revision, changes.records);
  if (!changes.complete) {
    return ApplyResult::kApplied;
  }
  for (auto& [name, instance] : instances_) {
    if (instance.list_revision > 0 &&
        instance.list_revision < changes.revision) {
      instance.list_revision = changes.revision;
      instance.listed.state = InstanceState::kGone;
      instance.record.state = InstanceState::kGone;
    }
  }
  return ApplyResult::kApplied;
}

InstanceChanges InstanceDirectory::ChangesAfter(std::int64_t after) const {
  InstanceChanges changes;
  changes.after = after;
  changes.revision = list_revision_;
  changes.complete = after < removed_revision_;
  for (const auto& [name, instance] : instances_) {
    if (instance.list_revision > (changes.complete ? 0 : after)) {
      changes.records.push_back(instance.listed);
    }
  }
  return changes;
}

bool InstanceDirectory::ApplyList(std::int64_t revision,
                                  std::span<const InstanceRecord> changes) {
  if (revision < list_revision_) {
    ++stale_answers_;
    return false;
  }
  list_revision_ = revision;
  for (const InstanceRecord& change : changes) {
    Instance& instance = instances_[change.instance];
    if (instance.list_revision >= revision) {
      continue;  // A repeated answer must not override a later `Hello`.
    }
    ApplyRecord(instance, revision, change);
  }
  index_is_current_ = false;
  return true;
}

HelloResult InstanceDirectory::OnHello(const InstanceRecord& record,
                                       Incarnation incarnation) {
  Instance& instance = instances_[record.instance];
  if (std::ranges::find(instance.past_incarnations, incarnation) !=
      instance.past_incarnations.end()) {
    return HelloResult::kPastIncarnation;
  }
  RecordSuccess(instance.health);
  if (instance.incarnation == incarnation) {
    return HelloResult::kSameIncarnation;
  }
  const InstanceState state = StateOfNewIncarnation(instance);
  ReplaceIncarnation(instance, incarnation);
  instance.record = record;
  instance.record.state = state;
  index_is_current_ = false;
  return HelloResult::kNewIncarnation;
}

void InstanceDirectory::OnLeaving(std::string_view instance,
                                  Incarnation incarnation) {
  Instance* found = FindMutable(instance);
  if (found == nullptr || found->incarnation != incarnation) {
    return;
  }
  found->said_leaving = true;
  UseListedAddress(*found);
  if (found->live()) {
    found->record.state = InstanceState::kLeaving;
  }
  index_is_current_ = false;
}

void InstanceDirectory::OnConnectFailed(std::string_view instance, Time now) {
  if (Instance* found = FindMutable(instance)) {
    RecordFailure(found->health, now);
    UseListedAddress(*found);
  }
}

void InstanceDirectory::OnSilence(std::string_view instance, Time now) {
  if (Instance* found = FindMutable(instance)) {
    RecordSilence(found->health, now);
  }
}

void InstanceDirectory::OnAnswer(std::string_view instance) {
  if (Instance* found = FindMutable(instance)) {
    RecordSuccess(found->health);
  }
}

void InstanceDirectory::RemoveGone(std::size_t keep) {
  std::vector<std::int64_t> gone;
  for (const auto& [name, instance] : instances_) {
    if (instance.record.state == InstanceState::kGone) {
      gone.push_back(instance.list_revision);
    }
  }
  std::ranges::sort(gone, std::greater());
  // Instances of the same revision are kept or removed together.
  const std::int64_t newest_removed = gone.size() > keep ? gone[keep] : -1;
  const std::size_t forgotten =
      std::erase_if(instances_, [&](const auto& item) {
        const Instance& instance = item.second;
        return instance.list_revision == 0
                   ? instance.health.consecutive_failures >=
                         kMaxFailuresOfUnlisted
                   : instance.record.state == InstanceState::kGone &&
                         instance.list_revision <= newest_removed;
      });
  if (forgotten > 0) {
    removed_revision_ = std::max(removed_revision_, newest_removed);
    index_is_current_ = false;
  }
}

std::vector<ServerCandidate> InstanceDirectory::ServersForModel(
    std::string_view base_model,
    std::string_view region,
    Time now) const {
  return Candidates(ModelKey(base_model), region, now);
}

std::vector<ServerCandidate> InstanceDirectory::ServersForService(
    std::string_view team,
    std::string_view service,
    std::string_view region,
    Time now) const {
  return Candidates(ServiceKey(team, service), region, now);
}

std::vector<const Instance*> InstanceDirectory::EntriesOf(
    std::string_view data_centre) const {
  std::vector<const Instance*> entries;
  for (const auto& [name, instance] : instances_) {
    if (instance.live() && instance.record.role == InstanceRole::kEntry &&
        instance.record.data_centre == data_centre) {
      entries.push_back(&instance);
    }
  }
  return entries;
}

std::vector<EntryLocation> InstanceDirectory::LiveEntries() const {
  std::vector<EntryLocation> entries;
  for (const auto& [name, instance] : instances_) {
    if (instance.live() && instance.record.role == InstanceRole::kEntry) {
      entries.push_back({name, instance.record.data_centre});
    }
  }
  return entries;
}

std::vector<const Instance*> InstanceDirectory::ConnectTargets(
    InstanceRole role,
    Time now) const {
  std::vector<const Instance*> targets;
  for (const auto& [name, instance] : instances_) {
    if (instance.record.role == role &&
        instance.record.state != InstanceState::kGone &&
        !OnProbation(instance.health, now)) {
      targets.push_back(&instance);
    }
  }
  return targets;
}

const Instance* InstanceDirectory::Find(std::string_view instance) const {
  const auto found = instances_.find(instance);
  return found == instances_.end() ? nullptr : &found->second;
}

Instance* InstanceDirectory::FindMutable(std::string_view instance) {
  const auto found = instances_.find(instance);
  return found == instances_.end() ? nullptr : &found->second;
}

void InstanceDirectory::RebuildIndex() const {
  index_.clear();
  for (const auto& [name, instance] : instances_) {
    if (instance.live() && instance.record.role == InstanceRole::kSidecar) {
      index_[OfferKey(instance.record.backend)].push_back(&instance);
    }
  }
  index_is_current_ = true;
}

std::vector<ServerCandidate> InstanceDirectory::Candidates(
    const std::string& key,
    std::string_view region,
    Time now) const {
  if (!index_is_current_) {
    RebuildIndex();
  }
  std::vector<ServerCandidate> candidates;
  const auto found = index_.find(key);
  if (found == index_.end()) {
    return candidates;
  }
  for (const Instance* instance : found->second) {
    candidates.push_back({instance, instance->record.region == region,
                          OnProbation(instance->health, now)});
  }
  std::ranges::stable_sort(candidates, {}, [](const ServerCandidate& server) {
    return std::tuple(!server.same_region, server.on_probation);
  });
  return candidates;
}

}  // namespace amaranthcove
