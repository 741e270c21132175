#include "amaranthcove/wire/instance_codec.h"

#include <optional>
#include <utility>

#include "amaranthcove/base/address.h"

namespace amaranthcove::wire {

namespace {

const char* StateName(InstanceState state) {
  switch (state) {
    case InstanceState::kLive:
      return "live";
    case InstanceState::kLeaving:
      return "leaving";
    case InstanceState::kGone:
      return "gone";
  }
  return "";
}

std::optional<InstanceState> ParseState(const std::string& name) {
  for (const InstanceState state :
       {InstanceState::kLive, InstanceState::kLeaving, InstanceState::kGone}) {
    if (name == StateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

InstanceRecord ToWire(const amaranthcove::InstanceRecord& record) {
  InstanceRecord result;
  result.instance = record.instance;
  result.role = record.role == InstanceRole::kEntry ? "entry" : "sidecar";
  result.address = FormatAddress(record.address);
  result.region = record.region;
  result.data_centre = record.data_centre;
  result.state = StateName(record.state);
  if (record.backend.kind != OfferKind::kNone) {
    Backend backend;
    backend.kind =
        record.backend.kind == OfferKind::kEngine ? "engine" : "plain";
    backend.base_model = record.backend.base_model;
    backend.team = record.backend.team;
    backend.service_name = record.backend.service;
    result.__set_backend(backend);
  }
  return result;
}

std::optional<amaranthcove::InstanceRecord> FromWire(
    const InstanceRecord& record) {
  const auto state = ParseState(record.state);
  const auto address = ParseAddress(record.address);
  const bool known_role = record.role == "entry" || record.role == "sidecar";
  const bool known_kind = !record.__isset.backend ||
                          record.backend.kind == "engine" ||
                          record.backend.kind == "plain";
  if (!state || !address || record.instance.empty() || !known_role ||
      !known_kind) {
    return std::nullopt;
  }
  amaranthcove::InstanceRecord result;
  result.instance = record.instance;
  result.role =
      record.role == "entry" ? InstanceRole::kEntry : InstanceRole::kSidecar;
  result.address = *address;
  result.region = record.region;
  result.data_centre = record.data_centre;
  result.state = *state;
  if (record.__isset.backend) {
    result.backend = {record.backend.kind == "engine" ? OfferKind::kEngine
                                                      : OfferKind::kPlain,
                      record.backend.base_model, record.backend.team,
                      record.backend.service_name};
  }
  return result;
}

}  // namespace

InstanceChanges ToWire(const amaranthcove::InstanceChanges& changes) {
  InstanceChanges result;
  result.after = changes.after;
  result.revision = changes.revision;
  result.complete = changes.complete;
  for (const amaranthcove::InstanceRecord& record : changes.records) {
    result.changes.push_back(ToWire(record));
  }
  return result;
}

amaranthcove::InstanceChanges FromWire(const InstanceChanges& changes) {
  amaranthcove::InstanceChanges result;
  result.after = changes.after;
  result.revision = changes.revision;
  result.complete = changes.complete;
  for (const InstanceRecord& record : changes.changes) {
    if (auto known = FromWire(record)) {
      result.records.push_back(std::move(*known));
    }
  }
  return result;
}

std::optional<amaranthcove::InstanceRecord> ToInstanceRecord(
    const Hello& hello) {
  InstanceRecord record;
  record.instance = hello.instance;
  record.role = hello.role;
  record.address = hello.peer_address;
  record.region = hello.region;
  record.data_centre = hello.data_centre;
  record.state = "live";
  if (hello.__isset.backend) {
    record.__set_backend(hello.backend);
  }
  return FromWire(record);
}

}  // namespace amaranthcove::wire
