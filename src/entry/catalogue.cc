#include "amaranthcove/entry/catalogue.h"

#include <utility>

#include "amaranthcove/service_document/document_validator.h"

namespace amaranthcove {

AdoptResult Catalogue::Adopt(Document document, Time now) {
  const std::string team = document.team;
  const AdoptResult result =
      store_.Adopt(std::move(document), &ValidateServiceDocument, now);
  if (result != AdoptResult::kAdopted) {
    return result;
  }
  const Document& in_force = store_.Find(team)->in_force;
  if (in_force.removed) {
    entries_.erase(team);
    return result;
  }
  auto parsed = ParseServiceDocument(in_force.text);
  if (parsed) {
    entries_[team] = {in_force.revision, std::move(*parsed)};
  }
  return result;
}

const CatalogueEntry* Catalogue::Find(std::string_view team) const {
  const auto found = entries_.find(team);
  return found == entries_.end() ? nullptr : &found->second;
}

}  // namespace amaranthcove
