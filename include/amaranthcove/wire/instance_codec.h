#ifndef AMARANTHCOVE_WIRE_INSTANCE_CODEC_H_
#define AMARANTHCOVE_WIRE_INSTANCE_CODEC_H_

#include <optional>

#include <wire_types.h>
#include "amaranthcove/membership/instance_directory.h"

namespace amaranthcove::wire {

// Conversions of changes of the instance list. Records with an unknown role,
// state, kind or address are left out. Thread-safe.
InstanceChanges ToWire(const amaranthcove::InstanceChanges& changes);
amaranthcove::InstanceChanges FromWire(const InstanceChanges& changes);

// How a process describes itself; nothing if it is neither an entry nor a
// sidecar or has no address. Thread-safe.
std::optional<amaranthcove::InstanceRecord> RecordOf(const Hello& hello);

}  // namespace amaranthcove::wire

#endif  // AMARANTHCOVE_WIRE_INSTANCE_CODEC_H_
