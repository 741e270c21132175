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

// A team's service document in force.
struct CatalogueEntry {
  std::int64_t revision = 0;
  ServiceDocument document;
};

// The service documents that an entry knows, with the ones in force parsed.
//
// Thread safety: none; belongs to the loop's thread.
class Catalogue {
 public:
  // Offers a revision; see `DocumentStore::Adopt`.
  AdoptResult Adopt(Document document, Time now);

  // The document of `team` in force, or null if there is none. Valid until the
  // next call of `Adopt`.
  const CatalogueEntry* Find(std::string_view team) const;

  // All documents in force, by team.
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
