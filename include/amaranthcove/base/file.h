#ifndef AMARANTHCOVE_BASE_FILE_H_
#define AMARANTHCOVE_BASE_FILE_H_

#include <cstddef>
#include <string>

#include "amaranthcove/base/error.h"

namespace amaranthcove {

// Reads the contents of `file`. Errors: kNotFound if it cannot be read,
// kInvalidArgument if it is longer than `max_bytes`. Messages do not contain
// the name of the file. Thread-safe.
Result<std::string> ReadFile(const std::string& file, std::size_t max_bytes);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_FILE_H_
