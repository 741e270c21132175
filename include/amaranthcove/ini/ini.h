#ifndef AMARANTHCOVE_INI_INI_H_
#define AMARANTHCOVE_INI_INI_H_

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace amaranthcove {

// The longest line that is accepted, in bytes without its line end. Debian's
// build of inih reads lines into a buffer of 200 bytes and would split longer
// ones silently.
inline constexpr int kMaxIniLineBytes = 197;

// One "key = value" line.
struct IniEntry {
  std::string key;
  std::string value;  // Without surrounding white space and comments.
  int line = 0;       // Counted from 1.

  bool operator==(const IniEntry&) const = default;
};

// A section "[TYPE]" or "[TYPE NAME]" with its entries in file order.
struct IniSection {
  std::string type;
  std::string name;  // Empty in "[TYPE]".
  int line = 0;
  std::vector<IniEntry> entries;

  bool operator==(const IniSection&) const = default;
};

// One reason to refuse a file.
struct IniError {
  int line = 0;         // 0 if the error concerns the file as a whole.
  std::string section;  // "TYPE" or "TYPE NAME"; may be empty.
  std::string key;      // May be empty.
  std::string message;  // What is wrong and what is allowed.
};

using IniErrors = std::vector<IniError>;

// Parses `text` with inih's rules: comments begin with ';' or '#' at the start
// of a line, or with " ;" after a value. Continuation lines, lines longer than
// kMaxIniLineBytes, entries before the first section, text after a section
// header, duplicate sections and duplicate keys are refused. Errors: all of the
// file, in line order. Thread-safe.
tl::expected<std::vector<IniSection>, IniErrors> ParseIni(
    std::string_view text);

// "TYPE" or "TYPE NAME". Thread-safe.
std::string IniSectionTitle(const IniSection& section);

// Sorts `errors` by line and keeps the order of errors of one line.
void SortIniErrors(IniErrors& errors);

// One line for each error: "FILE:LINE: [SECTION] KEY: MESSAGE", with the parts
// that are present. Thread-safe.
std::string FormatIniErrors(std::string_view file, const IniErrors& errors);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_INI_INI_H_
