#ifndef AMARANTHCOVE_INI_SCHEMA_H_
#define AMARANTHCOVE_INI_SCHEMA_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/ini/ini.h"

namespace amaranthcove {

// Maximum length of a name, such as that of a team, adapter, kind or instance.
inline constexpr std::size_t kMaxNameBytes = 64;

// Returns whether `name` consists of 1 to 64 letters, digits, '-', '_' or '.'.
// Thread-safe.
bool IsValidName(std::string_view name);

// Describes in error messages what `IsValidName` allows.
inline constexpr std::string_view kNameRule =
    "1 to 64 letters, digits, '-', '_' or '.'";

// Parses a decimal integer in canonical form: no '+', no leading zeros, no
// surrounding text. Returns nothing for other text. Thread-safe.
std::optional<std::int64_t> ParseInteger(std::string_view text);

// Splits `text` at commas and trims the items. Items may be empty; a blank text
// has no items. Thread-safe.
std::vector<std::string> SplitList(std::string_view text);

// Inclusive bounds of a number.
struct IniRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

// Reads the entries of one section and appends all errors to a list. Each
// reading method reads one key. A key without a fallback is required unless the
// method's comment says otherwise. After an error, the methods return the
// fallback or an arbitrary value, so callers must check the error list before
// they use any result.
//
// Thread safety: none. Preconditions: the section and the error list outlive
// the reader.
class IniSectionReader {
 public:
  IniSectionReader(const IniSection& section, IniErrors& errors)
      : section_(section), errors_(errors) {}

  // Reads a name that satisfies `IsValidName`.
  std::string Name(std::string_view key);

  // Reads a text that must not be empty.
  std::string Text(std::string_view key);

  // Reads an integer within `range`, in the form of `ParseInteger`.
  std::int64_t Integer(std::string_view key,
                       IniRange range,
                       std::optional<std::int64_t> fallback = std::nullopt);

  // Reads a decimal number within [min, max].
  double Number(std::string_view key, double min, double max, double fallback);

  // Reads a list of comma-separated items. Empty lists, empty items and
  // duplicate items are errors. An absent key is an error if `required`;
  // otherwise it gives an empty list.
  std::vector<std::string> List(std::string_view key, bool required);

  // Reads an IPv4 address and port. Port 0 is an error unless
  // `allow_port_zero`.
  Address ReadAddress(std::string_view key, bool allow_port_zero);

  // Reads a `List` of addresses. Port 0 is an error.
  std::vector<Address> AddressList(std::string_view key, bool required = true);

  // Reads one of the words of `choices`. Preconditions: `choices` is not empty.
  template <typename T>
  T Enum(std::string_view key,
         std::span<const std::pair<std::string_view, T>> choices,
         std::optional<T> fallback = std::nullopt) {
    const IniEntry* entry = Find(key, !fallback.has_value());
    const T default_value = fallback.value_or(choices.front().second);
    if (entry == nullptr) {
      return default_value;
    }
    std::string allowed;
    for (const auto& [word, value] : choices) {
      if (entry->value == word) {
        return value;
      }
      allowed += (allowed.empty() ? "" : ", ") + std::string(word);
    }
    AddError(key, "\"" + entry->value + "\" is not one of: " + allowed);
    return default_value;
  }

  // Returns whether the section has `key`. Does not mark the key as known.
  bool Has(std::string_view key) const;

  // Reports an error with `reason` if `key` is present.
  void Forbid(std::string_view key, std::string_view reason);

  // Reports an error at the line of `key`, or at the section's line if the key
  // is absent.
  void AddError(std::string_view key, std::string message);

  // Reports every key that no method has read. If the key differs from a known
  // one only by its unit, the message names the known key. Preconditions: all
  // keys of the section have been read.
  void ReportUnknownKeys();

 private:
  // Returns the entry of `key` or null, and marks the key as known. Reports an
  // error if the key is absent and `required`.
  const IniEntry* Find(std::string_view key, bool required);

  const IniSection& section_;
  IniErrors& errors_;
  std::vector<std::string> known_keys_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_INI_SCHEMA_H_
