#ifndef AMARANTHCOVE_INI_INI_H_
#define AMARANTHCOVE_INI_INI_H_

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace amaranthcove {

// Maximum length of a line in bytes, without its line end. Debian's build of
// inih reads lines into a buffer of 200 bytes and silently splits longer ones.
inline constexpr int kMaxIniLineBytes = 197;

// One "key = value" line.
struct IniEntry {
  std::string key;
  std::string value;  // Without surrounding white space and comments.
  int line = 0;       // 1 for the first line.

  bool operator==(const IniEntry&) const = default;
};

// A section "[TYPE]" or "[TYPE NAME]" with its entries in file order.
struct IniSection {
  std::string type;
  std::string name;  // Empty in "[TYPE]".
  int line = 0;      // Line of the header.
  std::vector<IniEntry> entries;

  bool operator==(const IniSection&) const = default;
};

// An error in a file.
struct IniError {
  int line = 0;         // 0 if the error concerns the file as a whole.
  std::string section;  // "TYPE" or "TYPE NAME". May be empty.
  std::string key;      // May be empty.
  std::string message;  // What is wrong and what is allowed.
};

using IniErrors = std::vector<IniError>;

// Parses `text` with inih's rules: comments begin with ';' or '#' at the start
// of a line, or with " ;" after a value. Rejects continuation lines, lines
// longer than `kMaxIniLineBytes`, entries before the first section, text after
// a section header, duplicate sections and duplicate keys. Errors: all errors,
// in line order. Thread-safe.
tl::expected<std::vector<IniSection>, IniErrors> ParseIni(
    std::string_view text);

// Returns "TYPE" or "TYPE NAME". Thread-safe.
std::string IniSectionTitle(const IniSection& section);

// Sorts `errors` by line; the sort is stable. Thread-safe.
void SortIniErrors(IniErrors& errors);

// Returns one line per error: "FILE:LINE: [SECTION] KEY: MESSAGE". Parts that
// an error lacks are left out. Thread-safe.
std::string FormatIniErrors(std::string_view file, const IniErrors& errors);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_INI_INI_H_
