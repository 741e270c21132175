#ifndef AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_
#define AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_

#include <wire_types.h>
#include "amaranthcove/suspects/suspect_table.h"

namespace amaranthcove::wire {

// Convert suspect updates between their wire and internal types. Thread-safe.
Suspect ToWire(const SuspectUpdate& update);
SuspectUpdate FromWire(const Suspect& suspect);

}  // namespace amaranthcove::wire

#endif  // AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_
