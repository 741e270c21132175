#ifndef AMARANTHCOVE_ENTRY_CATALOGUE_H_
#define AMARANTHCOVE_ENTRY_CATALOGUE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "amaranthcove/base/time.h"
#include "amaranthcove/documents/document_store.h"
#include "amaranthcove/service_document/service_document.h"

namespace amaranthcove {

// The service document in force of a team, parsed.
struct CatalogueEntry {
  std::int64_t revision = 0;
  ServiceDocument document;
};

// Stores the service documents known to an entry, and the parsed form of those
// in force.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class Catalogue {
 public:
  // Adopts a revision if it is newer and valid; see `DocumentStore::Adopt`.
  AdoptResult Adopt(Document document, Time now);

  // Returns the document of `team` in force, or null if there is none. The
  // pointer is valid until the next call of `Adopt`.
  const CatalogueEntry* Find(std::string_view team) const;

  // Returns all documents in force, by team.
  const std::map<std::string, CatalogueEntry, std::less<>>& entries() const {
    return entries_;
  }

  const DocumentStore& store() const { return store_; }

 private:
  DocumentStore store_;
  std::map<std::string, CatalogueEntry, std::less<>> entries_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_CATALOGUE_H_
