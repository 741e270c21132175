#ifndef AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_
#define AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_

#include <wire_types.h>
#include "amaranthcove/suspects/suspect_table.h"

namespace amaranthcove::wire {

// Conversions between the wire's and the program's suspect updates.
// Thread-safe.
Suspect ToWire(const SuspectUpdate& update);
SuspectUpdate FromWire(const Suspect& suspect);

}  // namespace amaranthcove::wire

#endif  // AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_
