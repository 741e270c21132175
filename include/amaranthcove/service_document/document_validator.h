#ifndef AMARANTHCOVE_SERVICE_DOCUMENT_DOCUMENT_VALIDATOR_H_
#define AMARANTHCOVE_SERVICE_DOCUMENT_DOCUMENT_VALIDATOR_H_

#include <string>
#include <string_view>
#include <vector>

namespace amaranthcove {

// Validates `text` as the service document of `team`. Returns one message per
// error, or an empty vector if the document is valid. A document that names
// another team is invalid. Thread-safe.
std::vector<std::string> ValidateServiceDocument(std::string_view team,
                                                 std::string_view text);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SERVICE_DOCUMENT_DOCUMENT_VALIDATOR_H_
