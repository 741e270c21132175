#include "amaranthcove/service_document/document_validator.h"

#include "amaranthcove/service_document/service_document.h"

namespace amaranthcove {

std::vector<std::string> ValidateServiceDocument(std::string_view team,
                                                 std::string_view text) {
  std::vector<std::string> messages;
  const auto parsed = ParseServiceDocument(text);
  if (!parsed) {
    for (const IniError& error : parsed.error()) {
      messages.push_back(FormatIniErrors("document", {error}));
    }
    return messages;
  }
  if (parsed->team != team) {
    messages.push_back("the document names team \"" + parsed->team + "\"");
  }
  return messages;
}

}  // namespace amaranthcove
