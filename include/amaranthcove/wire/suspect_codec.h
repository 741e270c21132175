#ifndef AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_
#define AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_

#include "amaranthcove/suspects/suspect_table.h"
#include "src/wire/gen/wire_types.h"

namespace amaranthcove::wire {

// Conversions between the wire's and the program's suspect updates.
// Thread-safe.
Suspect ToWire(const SuspectUpdate& update);
SuspectUpdate FromWire(const Suspect& suspect);

}  // namespace amaranthcove::wire

#endif  // AMARANTHCOVE_WIRE_SUSPECT_CODEC_H_
