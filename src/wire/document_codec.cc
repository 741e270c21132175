#include "amaranthcove/wire/document_codec.h"

namespace amaranthcove::wire {

Document ToWire(const amaranthcove::Document& document) {
  Document result;
  result.team = document.team;
  result.revision = document.revision;
  result.removed = document.removed;
  result.text = document.text;
  return result;
}

amaranthcove::Document FromWire(const Document& document) {
  return {document.team, document.revision, document.removed, document.text};
}

DocumentRevision ToWire(const KnownRevision& known) {
  DocumentRevision result;
  result.team = known.team;
  result.revision = known.revision;
  return result;
}

KnownRevision FromWire(const DocumentRevision& revision) {
  return {revision.team, revision.revision};
}

}  // namespace amaranthcove::wire
