#ifndef AMARANTHCOVE_MEMBERSHIP_INSTANCE_H_
#define AMARANTHCOVE_MEMBERSHIP_INSTANCE_H_

#include <string>

#include "amaranthcove/base/address.h"

namespace amaranthcove {

enum class InstanceRole { kEntry, kSidecar };

enum class InstanceState {
  kLive,
  kLeaving,  // Finishes its work and takes no new work.
  kGone
};

enum class OfferKind {
  kNone,    // Entries.
  kEngine,  // A model engine; `base_model` is set.
  kPlain    // A plain service; `team` and `service` are set.
};

// What the backend server of a sidecar offers.
struct BackendOffer {
  OfferKind kind = OfferKind::kNone;
  std::string base_model;
  std::string team;
  std::string service;

  bool operator==(const BackendOffer&) const = default;
};

// An instance as the instance list or its own `Hello` describes it.
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
