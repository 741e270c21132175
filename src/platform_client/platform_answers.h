#ifndef AMARANTHCOVE_SRC_PLATFORM_CLIENT_PLATFORM_ANSWERS_H_
#define AMARANTHCOVE_SRC_PLATFORM_CLIENT_PLATFORM_ANSWERS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/error.h"
#include "amaranthcove/documents/document_store.h"
#include "amaranthcove/membership/instance.h"

namespace amaranthcove::internal {

// An answer of a watch. Items that are not understood are left out, so that one
// of them does not hold up all later changes.
template <typename Item>
struct Changes {
  std::int64_t revision = 0;
  std::vector<Item> items;
  int malformed_items = 0;
};

// Parse the bodies of section 10.4 of docs/design.md. Announced documents have
// no text. Errors: kInvalidArgument if the body as a whole is not understood.
Result<Changes<Document>> ParseDocuments(std::string_view body);
Result<Changes<InstanceRecord>> ParseInstances(std::string_view body);
Result<Document> ParseDocument(std::string_view body);

// `text` as one segment of a URL path.
std::string EncodePathSegment(std::string_view text);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_PLATFORM_CLIENT_PLATFORM_ANSWERS_H_
