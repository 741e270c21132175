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

// The response to a watch. Malformed items are skipped and counted, so that one
// of them does not block all later changes.
template <typename Item>
struct Changes {
  std::int64_t revision = 0;
  std::vector<Item> items;
  int malformed_items = 0;
};

// Parse the response bodies of section 10.4 of docs/design.md. The documents in
// a list have no text. Thread-safe.
//
// Errors: kInvalidArgument if the body as a whole is malformed.
Result<Changes<Document>> ParseDocuments(std::string_view body);
Result<Changes<InstanceRecord>> ParseInstances(std::string_view body);
Result<Document> ParseDocument(std::string_view body);

// Returns `text` percent-encoded as one segment of a URL path. Thread-safe.
std::string EncodePathSegment(std::string_view text);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_PLATFORM_CLIENT_PLATFORM_ANSWERS_H_
