#ifndef AMARANTHCOVE_WIRE_DOCUMENT_CODEC_H_
#define AMARANTHCOVE_WIRE_DOCUMENT_CODEC_H_

#include <wire_types.h>

#include "amaranthcove/documents/document_store.h"

namespace amaranthcove::wire {

// Convert documents and revisions between their wire and internal types.
// Thread-safe.
Document ToWire(const amaranthcove::Document& document);
amaranthcove::Document FromWire(const Document& document);
DocumentRevision ToWire(const KnownRevision& known);
KnownRevision FromWire(const DocumentRevision& revision);

}  // namespace amaranthcove::wire

#endif  // AMARANTHCOVE_WIRE_DOCUMENT_CODEC_H_
