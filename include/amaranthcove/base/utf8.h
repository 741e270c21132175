#ifndef AMARANTHCOVE_BASE_UTF8_H_
#define AMARANTHCOVE_BASE_UTF8_H_

#include <string_view>

namespace amaranthcove {

// Returns whether `text` is well-formed UTF-8: no overlong forms, surrogates or
// code points above U+10FFFF. Thread-safe.
bool IsUtf8(std::string_view text);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_UTF8_H_
