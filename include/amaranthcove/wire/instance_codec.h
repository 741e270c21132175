#ifndef AMARANTHCOVE_WIRE_INSTANCE_CODEC_H_
#define AMARANTHCOVE_WIRE_INSTANCE_CODEC_H_

#include <optional>

#include <wire_types.h>
#include "amaranthcove/membership/instance_directory.h"

namespace amaranthcove::wire {

// Convert changes of the instance list between their wire and internal types.
// `FromWire` skips records with an unknown role, state or kind, without an
// instance name or with an invalid address. Thread-safe.
InstanceChanges ToWire(const amaranthcove::InstanceChanges& changes);
amaranthcove::InstanceChanges FromWire(const InstanceChanges& changes);

// Returns the instance record of the process that sent `hello`, or nothing if
// it would be skipped by `FromWire`, for example because the process is neither
// an entry nor a sidecar or has no address. Thread-safe.
std::optional<amaranthcove::InstanceRecord> ToInstanceRecord(
    const Hello& hello);

}  // namespace amaranthcove::wire

#endif  // AMARANTHCOVE_WIRE_INSTANCE_CODEC_H_
