#ifndef AMARANTHCOVE_OPERATIONS_OPERATION_ID_H_
#define AMARANTHCOVE_OPERATIONS_OPERATION_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "amaranthcove/base/error.h"
#include "amaranthcove/base/ids.h"

namespace amaranthcove {

// The parts of an operation id "op1.INSTANCE.INCARNATION.SEQUENCE.TAG". Only
// the sidecar incarnation named in the id may run the operation.
struct OperationId {
  std::string instance;
  Incarnation incarnation = 0;
  std::int64_t sequence = 0;
  std::string tag;  // 16 lower-case hex digits; not verified by parsing.

  bool operator==(const OperationId&) const = default;
};

// Parses the canonical text of an id. Other spellings of the same numbers, such
// as leading zeros, are errors, so that one operation has one id. Does not
// verify the tag, so an entry can route by the result without the key. Errors:
// kInvalidArgument with a message that names the invalid part. Thread-safe.
Result<OperationId> ParseOperationId(std::string_view text);

// Returns the canonical text of `id`. Thread-safe.
std::string FormatOperationId(const OperationId& id);

// Returns the tag for the other parts of `id`: the first 16 hex digits of their
// HMAC-SHA256 under `key`. Thread-safe.
std::string OperationTag(const OperationId& id, std::string_view key);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_OPERATIONS_OPERATION_ID_H_
