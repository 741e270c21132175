#ifndef AMARANTHCOVE_BASE_ERROR_H_
#define AMARANTHCOVE_BASE_ERROR_H_

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace amaranthcove {

// What kind of failure an `Error` reports. Callers branch on the code and show
// the message.
enum class ErrorCode {
  kInvalidArgument,   // The input breaks a rule; trying again cannot help.
  kNotFound,          // The named thing does not exist.
  kUnavailable,       // A peer or system call failed; trying again may help.
  kResourceExhausted  // A limit is reached.
};

// A failure as a value. Thread-safe as any value type.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// Either a `T` or an `Error`.
template <typename T>
using Result = tl::expected<T, Error>;

// Success, or an `Error`.
using Status = Result<void>;

// Builds the error alternative of any `Result`.
inline tl::unexpected<Error> MakeError(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_ERROR_H_
