#ifndef AMARANTHCOVE_SUSPECTS_FINGERPRINT_H_
#define AMARANTHCOVE_SUSPECTS_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace amaranthcove {

// Identifies the work that a request causes at a backend server. Entries and
// sidecars of all releases compute the same fingerprint, so that they all
// recognise a repeated request.
using Fingerprint = std::uint64_t;

// Returns the fingerprint of a request. `model` is the resolved model name. For
// a JSON body, the fingerprint does not depend on the order of keys, on white
// space, or on the top-level fields that do not affect the work: `model`,
// `stream`, `user` and the request ids `id`, `request_id`, `client_request_id`
// and `x_request_id`. A body that is not JSON or is nested more than 64 levels
// deep is hashed without changes. Thread-safe.
Fingerprint RequestFingerprint(std::string_view team,
                               std::string_view model,
                               std::string_view body);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUSPECTS_FINGERPRINT_H_
