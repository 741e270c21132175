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

// The longest name of a team, adapter, kind, service, instance and so on.
inline constexpr std::size_t kMaxNameBytes = 64;

// Whether `name` is 1 to 64 letters, digits, '-', '_' or '.'. Thread-safe.
bool IsValidName(std::string_view name);

// What `IsValidName` allows, for error messages.
inline constexpr std::string_view kNameRule =
    "1 to 64 letters, digits, '-', '_' or '.'";

// Parses a decimal integer in its canonical form: no sign but '-', no leading
// zeros, nothing around it. Thread-safe.
std::optional<std::int64_t> ParseInteger(std::string_view text);

// Splits `text` at commas and trims the items; an empty text has no items.
// Items may be empty. Thread-safe.
std::vector<std::string> SplitList(std::string_view text);

// Inclusive bounds of a number.
struct IniRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

// Reads the entries of one section and collects every error. Each method reads
// one key. Without a fallback the key is required. After an error a method
// returns the fallback or, without one, an arbitrary valid value; the caller
// checks the error list before it uses any result.
//
// Thread safety: none. Preconditions: the section and the error list outlive
// the reader.
class IniSectionReader {
 public:
  IniSectionReader(const IniSection& section, IniErrors& errors)
      : section_(section), errors_(errors) {}

  // A name that satisfies `IsValidName`.
  std::string Name(std::string_view key);

  // Any text that is not empty.
  std::string Text(std::string_view key);

  std::int64_t Integer(std::string_view key,
                       IniRange range,
                       std::optional<std::int64_t> fallback = std::nullopt);

  // A decimal number within [min, max].
  double Number(std::string_view key, double min, double max, double fallback);

  // Items separated by commas; at least one, none empty, none twice. An absent
  // key is an error if `required`, and else an empty list.
  std::vector<std::string> List(std::string_view key, bool required);

  // An IPv4 address and port. Port 0 is refused unless `any_port`.
  Address ReadAddress(std::string_view key, bool any_port);

  // As `ReadAddress` for a list of at least one address without port 0.
  std::vector<Address> AddressList(std::string_view key, bool required = true);

  // One of the words of `choices`, which must not be empty.
  template <typename T>
  T Enum(std::string_view key,
         std::span<const std::pair<std::string_view, T>> choices,
         std::optional<T> fallback = std::nullopt) {
    const IniEntry* entry = Find(key, !fallback.has_value());
    const T otherwise = fallback.value_or(choices.front().second);
    if (entry == nullptr) {
      return otherwise;
    }
    std::string allowed;
    for (const auto& [word, value] : choices) {
      if (entry->value == word) {
        return value;
      }
      allowed += (allowed.empty() ? "" : ", ") + std::string(word);
    }
    AddError(key, "\"" + entry->value + "\" is not one of: " + allowed);
    return otherwise;
  }

  // Whether the section has `key`. Does not count as reading it.
  bool Has(std::string_view key) const;

  // Reports `key`, if present, as not allowed because of `reason`.
  void Forbid(std::string_view key, std::string_view reason);

  // Reports an error at the line of `key`, or at the section's line if the key
  // is absent.
  void AddError(std::string_view key, std::string message);

  // Reports every key that no method has read. If the key differs from a known
  // one only by its unit, the message names the right key. Call it last.
  void RefuseUnknownKeys();

 private:
  const IniEntry* Find(std::string_view key, bool required);

  const IniSection& section_;
  IniErrors& errors_;
  std::vector<std::string> known_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_INI_SCHEMA_H_
