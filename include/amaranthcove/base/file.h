#ifndef AMARANTHCOVE_BASE_FILE_H_
#define AMARANTHCOVE_BASE_FILE_H_

#include <cstddef>
#include <string>

#include "amaranthcove/base/error.h"

namespace amaranthcove {

// Reads a whole file of at most `max_bytes`. Errors: kNotFound if it cannot be
// read, kInvalidArgument if it is longer. Messages do not repeat the file's
// name. Thread-safe.
Result<std::string> ReadFile(const std::string& file, std::size_t max_bytes);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_FILE_H_
