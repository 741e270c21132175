#ifndef AMARANTHCOVE_MEMBERSHIP_INSTANCE_H_
#define AMARANTHCOVE_MEMBERSHIP_INSTANCE_H_

#include <string>

#include "amaranthcove/base/address.h"

namespace amaranthcove {

enum class InstanceRole { kEntry, kSidecar };

enum class InstanceState {
  kLive,
  kLeaving,  // Completes its current work and accepts no new work.
  kGone
};

// The kind of a sidecar's backend server.
enum class OfferKind {
  kNone,    // An entry, which has no backend server.
  kEngine,  // A model engine; `base_model` is set.
  kPlain    // A plain service; `team` and `service` are set.
};

// The model or service that the backend server of a sidecar serves.
struct BackendOffer {
  OfferKind kind = OfferKind::kNone;
  std::string base_model;
  std::string team;
  std::string service;

  bool operator==(const BackendOffer&) const = default;
};

// The description of an instance in the instance list or in its own `Hello`.
struct InstanceRecord {
  std::string instance;
  InstanceRole role = InstanceRole::kEntry;
  Address address;
  std::string region;
  std::string data_centre;
  InstanceState state = InstanceState::kLive;
  BackendOffer backend;

  bool operator==(const InstanceRecord&) const = default;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_MEMBERSHIP_INSTANCE_H_
