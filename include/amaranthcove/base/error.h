#ifndef AMARANTHCOVE_BASE_ERROR_H_
#define AMARANTHCOVE_BASE_ERROR_H_

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace amaranthcove {

// The category of an `Error`. Code branches on the category; the message is for
// people.
enum class ErrorCode {
  kInvalidArgument,   // The input is invalid; a retry cannot succeed.
  kNotFound,          // The requested object does not exist.
  kUnavailable,       // A peer or system call failed; a retry may succeed.
  kResourceExhausted  // A limit was reached.
};

// A failure. Concurrent reads are safe; writes need external synchronisation.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// Either a `T` or an `Error`.
template <typename T>
using Result = tl::expected<T, Error>;

// Success, or an `Error`.
using Status = Result<void>;

// Returns an error that converts to any `Result`. Thread-safe.
inline tl::unexpected<Error> MakeError(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_ERROR_H_
