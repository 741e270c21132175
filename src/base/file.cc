#include "amaranthcove/base/file.h"

#include <fstream>

namespace amaranthcove {

Result<std::string> ReadFile(const std::string& file, std::size_t max_bytes) {
  std::ifstream stream(file, std::ios::binary);
  // Reads one byte more than allowed to detect a file that is too long.
  std::string content(max_bytes + 1, '\0');
  stream.read(content.data(), static_cast<std::streamsize>(content.size()));
  // A directory can be opened, but reading it sets badbit.
  if (!stream.is_open() || stream.bad()) {
    return MakeError(ErrorCode::kNotFound, "the file cannot be read");
  }
  content.resize(static_cast<std::size_t>(stream.gcount()));
  if (content.size() > max_bytes) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        "the file exceeds " + std::to_string(max_bytes) + " bytes");
  }
  return content;
}

}  // namespace amaranthcove
