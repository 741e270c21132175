#include "amaranthcove/ini/schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>

namespace amaranthcove {
namespace {

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string_view TrimBlanks(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

// Returns `key` without its unit, if it has one.
std::string_view WithoutUnit(std::string_view key) {
  constexpr std::array<std::string_view, 12> kUnits = {
      "_ms",    "_s",       "_us",  "_ns",    "_min",    "_h",
      "_hours", "_seconds", "_sec", "_per_s", "_per_ms", "_per_min"};
  std::string_view shortest = key;
  for (const std::string_view unit : kUnits) {
    if (key.ends_with(unit) && key.size() - unit.size() < shortest.size()) {
      shortest = key.substr(0, key.size() - unit.size());
    }
  }
  return shortest;
}

std::string Quoted(std::string_view text) {
  // Uses += because g++ 12 reports a false -Wrestrict warning for operator+ in
  // optimised builds.
  std::string quoted = "\"";
  quoted += text;
  quoted += '"';
  return quoted;
}

std::string FormatNumber(double number) {
  std::ostringstream out;
  out << number;
  return out.str();
}

}  // namespace

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end || std::to_string(number) != text) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  if (TrimBlanks(text).empty()) {
    return items;
  }
  for (;;) {
    const std::size_t comma = text.find(',');
    items.emplace_back(TrimBlanks(text.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return items;
    }
    text.remove_prefix(comma + 1);
  }
}

std::string IniSectionReader::Name(std::string_view key) {
  const IniEntry* entry = Find(key, true);
  if (entry == nullptr) {
    return {};
  }
  if (!IsValidName(entry->value)) {
    AddError(key, Quoted(entry->value) + " is not a name; allowed are " +
                      std::string(kNameRule));
  }
  return entry->value;
}

std::string IniSectionReader::Text(std::string_view key) {
  const IniEntry* entry = Find(key, true);
  if (entry == nullptr) {
    return {};
  }
  if (entry->value.empty()) {
    AddError(key, "the value is empty");
  }
  return entry->value;
}

std::int64_t IniSectionReader::Integer(std::string_view key,
                                       IniRange range,
                                       std::optional<std::int64_t> fallback) {
  const IniEntry* entry = Find(key, !fallback.has_value());
  const std::int64_t default_value = fallback.value_or(range.min);
  if (entry == nullptr) {
    return default_value;
  }
  const std::optional<std::int64_t> number = ParseInteger(entry->value);
  if (!number || *number < range.min || *number > range.max) {
    AddError(key, Quoted(entry->value) + " is not an integer from " +
                      std::to_string(range.min) + " to " +
                      std::to_string(range.max));
    return default_value;
  }
  return *number;
}

double IniSectionReader::Number(std::string_view key,
                                double min,
                                double max,
                                double fallback) {
  const IniEntry* entry = Find(key, false);
  if (entry == nullptr) {
    return fallback;
  }
  double number = 0;
  const char* end = entry->value.data() + entry->value.size();
  const auto [rest, error] = std::from_chars(entry->value.data(), end, number);
  if (error != std::errc() || rest != end || !std::isfinite(number) ||
      number < min || number > max) {
    AddError(key, Quoted(entry->value) + " is not a number from " +
                      FormatNumber(min) + " to " + FormatNumber(max));
    return fallback;
  }
  return number;
}

std::vector<std::string> IniSectionReader::List(std::string_view key,
                                                bool required) {
  const IniEntry* entry = Find(key, required);
  if (entry == nullptr) {
    return {};
  }
  std::vector<std::string> items = SplitList(entry->value);
  if (items.empty()) {
    AddError(key, "the list is empty");
  }
  for (auto item = items.begin(); item != items.end(); ++item) {
    if (item->empty()) {
      AddError(key, "the list has an empty item");
    } else if (std::find(items.begin(), item, *item) != item) {
      AddError(key, Quoted(*item) + " is in the list twice");
    }
  }
  return items;
}

Address IniSectionReader::ReadAddress(std::string_view key,
                                      bool allow_port_zero) {
  const IniEntry* entry = Find(key, true);
  if (entry == nullptr) {
    return {};
  }
  const Result<Address> address = ParseAddress(entry->value);
  if (!address) {
    AddError(key, address.error().message + "; expected A.B.C.D:PORT");
    return {};
  }
  if (address->port == 0 && !allow_port_zero) {
    AddError(key, "port 0 is not allowed; expected 1 to 65535");
  }
  return *address;
}

std::vector<Address> IniSectionReader::AddressList(std::string_view key,
                                                   bool required) {
  std::vector<Address> addresses;
  for (const std::string& item : List(key, required)) {
    const Result<Address> address = ParseAddress(item);
    if (!address) {
      AddError(key, address.error().message + "; expected A.B.C.D:PORT");
    } else if (address->port == 0) {
      AddError(key, "port 0 is not allowed; expected 1 to 65535");
    } else {
      addresses.push_back(*address);
    }
  }
  return addresses;
}

bool IniSectionReader::Has(std::string_view key) const {
  return std::any_of(section_.entries.begin(), section_.entries.end(),
                     [&](const IniEntry& entry) { return entry.key == key; });
}

void IniSectionReader::Forbid(std::string_view key, std::string_view reason) {
  if (Find(key, false) != nullptr) {
    AddError(key, "the key is not allowed: " + std::string(reason));
  }
}

void IniSectionReader::AddError(std::string_view key, std::string message) {
  int line = section_.line;
  for (const IniEntry& entry : section_.entries) {
    if (entry.key == key) {
      line = entry.line;
    }
  }
  errors_.push_back(
      {line, IniSectionTitle(section_), std::string(key), std::move(message)});
}

void IniSectionReader::ReportUnknownKeys() {
  for (const IniEntry& entry : section_.entries) {
    if (std::find(known_keys_.begin(), known_keys_.end(), entry.key) !=
        known_keys_.end()) {
      continue;
    }
    std::string allowed;
    std::string hint;
    for (const std::string& known : known_keys_) {
      allowed += (allowed.empty() ? "" : ", ") + known;
      if (WithoutUnit(known) != known &&
          WithoutUnit(known) == WithoutUnit(entry.key)) {
        hint = "wrong or missing unit; the key is \"" + known + "\"";
      }
    }
    // Does not call AddError, which searches for the line of the key: a section
    // with thousands of unknown keys would take quadratic time.
    errors_.push_back(
        {entry.line, IniSectionTitle(section_), entry.key,
         hint.empty() ? "unknown key; allowed are: " + allowed : hint});
  }
}

const IniEntry* IniSectionReader::Find(std::string_view key, bool required) {
  known_keys_.emplace_back(key);
  for (const IniEntry& entry : section_.entries) {
    if (entry.key == key) {
      return &entry;
    }
  }
  if (required) {
    AddError(key, "the key is missing");
  }
  return nullptr;
}

}  // namespace amaranthcove
