#ifndef AMARANTHCOVE_SUSPECTS_FINGERPRINT_H_
#define AMARANTHCOVE_SUSPECTS_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace amaranthcove {

// Identifies what a request asks of the backend server, so that a repetition
// of it is recognised on every entry and sidecar of every release.
using Fingerprint = std::uint64_t;

// The fingerprint of a request. `model` is the resolved name. In a JSON object
// the order of keys, white space and the top-level fields that do not change
// the work do not matter: `model`, `stream`, `user` and the request ids `id`,
// `request_id`, `client_request_id` and `x_request_id`. A body that is not
// JSON, or is nested more than 64 levels deep, counts as it is. Thread-safe.
Fingerprint RequestFingerprint(std::string_view team,
                               std::string_view model,
                               std::string_view body);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUSPECTS_FINGERPRINT_H_
