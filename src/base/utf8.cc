#include "amaranthcove/base/utf8.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace amaranthcove {

namespace {

// The lead bytes that begin sequences of one length, and the range of the
// second byte, which excludes overlong forms, surrogates and code points above
// U+10FFFF.
struct LeadRange {
  std::uint8_t first;
  std::uint8_t last;
  std::size_t length;
  std::uint8_t min_second;
  std::uint8_t max_second;
};

constexpr std::array<LeadRange, 9> kLeadRanges = {{
    {0x00, 0x7F, 1, 0x80, 0xBF},
    {0xC2, 0xDF, 2, 0x80, 0xBF},
    {0xE0, 0xE0, 3, 0xA0, 0xBF},
    {0xE1, 0xEC, 3, 0x80, 0xBF},
    {0xED, 0xED, 3, 0x80, 0x9F},
    {0xEE, 0xEF, 3, 0x80, 0xBF},
    {0xF0, 0xF0, 4, 0x90, 0xBF},
    {0xF1, 0xF3, 4, 0x80, 0xBF},
    {0xF4, 0xF4, 4, 0x80, 0x8F},
}};

// Returns the length of the sequence at the beginning of `text`; 0 if it is
// malformed. Precondition: `text` is not empty.
std::size_t SequenceLength(std::string_view text) {
  const auto byte = [text](std::size_t i) {
    return static_cast<std::uint8_t>(text[i]);
  };
  const auto* const lead =
      std::find_if(kLeadRanges.begin(), kLeadRanges.end(),
                   [first = byte(0)](const LeadRange& range) {
                     return first >= range.first && first <= range.last;
                   });
  if (lead == kLeadRanges.end() || lead->length > text.size()) {
    return 0;
  }
  if (lead->length > 1 &&
      (byte(1) < lead->min_second || byte(1) > lead->max_second)) {
    return 0;
  }
  for (std::size_t i = 2; i < lead->length; ++i) {
    if (byte(i) < 0x80 || byte(i) > 0xBF) {
      return 0;
    }
  }
  return lead->length;
}

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = SequenceLength(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace amaranthcove
