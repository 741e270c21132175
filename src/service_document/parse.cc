#include <algorithm>
#include <optional>
#include <utility>

#include "amaranthcove/ini/schema.h"
#include "amaranthcove/service_document/service_document.h"
#include "src/service_document/names.h"

namespace amaranthcove {
namespace {

// The upper bound is one day: long reports run overnight and may start late.
constexpr IniRange kDeadlineRangeMs = {1, 86'400'000};
constexpr IniRange kVersionRange = {1, 1'000'000'000};

// Builds a service document from its sections and collects all errors.
class Parser {
 public:
  tl::expected<ServiceDocument, IniErrors> Parse(
      const std::vector<IniSection>& sections) {
    for (const IniSection& section : sections) {
      ReadSection(section);
    }
    if (!has_service_) {
      errors_.push_back({0, "service", "", "the section is missing"});
    }
    if (!has_kind_) {
      errors_.push_back(
          {0, "", "", "at least one section [kind NAME] is needed"});
    }
    CheckAliasNames();
    if (!errors_.empty()) {
      SortIniErrors(errors_);
      return tl::unexpected<IniErrors>(std::move(errors_));
    }
    return std::move(document_);
  }

 private:
  void ReadSection(const IniSection& section) {
    IniSectionReader reader(section, errors_);
    if (section.type == "service" && CheckUnnamed(section)) {
      ReadService(reader);
    } else if (section.type == "kind" && CheckNamed(section)) {
      ReadKind(section.name, reader);
    } else if (section.type == "adapter" && CheckNamed(section)) {
      ReadAdapter(section, reader);
    } else if (section.type == "plain" && CheckNamed(section)) {
      ReadPlainService(section.name, reader);
    } else if (section.type == "backend_servers" && CheckUnnamed(section)) {
      ReadBackendServers(reader);
    } else if (!IsKnownType(section.type)) {
      AddError(section,
               "unknown section; allowed are: service, kind NAME, adapter "
               "NAME, plain NAME, backend_servers");
    }
  }

  static bool IsKnownType(std::string_view type) {
    return type == "service" || type == "kind" || type == "adapter" ||
           type == "plain" || type == "backend_servers";
  }

  bool CheckUnnamed(const IniSection& section) {
    if (!section.name.empty()) {
      AddError(section,
               "the section takes no name; expected [" + section.type + "]");
    }
    // Set even if the name is invalid, so that the section is not also reported
    // as missing.
    has_service_ = has_service_ || section.type == "service";
    return section.name.empty();
  }

  bool CheckNamed(const IniSection& section) {
    has_kind_ = has_kind_ || section.type == "kind";
    if (IsValidName(section.name)) {
      return true;
    }
    AddError(section, "the section needs a name: [" + section.type +
                          " NAME] with " + std::string(kNameRule));
    return false;
  }

  void AddError(const IniSection& section, std::string message) {
    errors_.push_back(
        {section.line, IniSectionTitle(section), "", std::move(message)});
  }

  void ReadService(IniSectionReader& reader) {
    document_.team = reader.Name("team");
    document_.base_model = reader.Name("base_model");
    document_.objective = reader.Enum<Objective>("objective", kObjectives);
    reader.ReportUnknownKeys();
  }

  void ReadKind(const std::string& name, IniSectionReader& reader) {
    RequestKind kind;
    kind.name = name;
    kind.urgency = reader.Enum<Urgency>("urgency", kUrgencies);
    kind.deadline = std::chrono::milliseconds(
        reader.Integer("deadline_ms", kDeadlineRangeMs));
    reader.ReportUnknownKeys();
    document_.kinds.push_back(std::move(kind));
  }

  void ReadAdapter(const IniSection& section, IniSectionReader& reader) {
    std::set<std::int64_t> versions;
    for (const std::string& item : reader.List("versions", true)) {
      const std::optional<std::int64_t> version = ParseVersion(item);
      if (version) {
        versions.insert(*version);
      } else if (!item.empty()) {
        AddVersionError(reader, "versions", item);
      }
    }
    for (const std::string& item : reader.List("aliases", false)) {
      ReadAlias(section, item, versions, reader);
    }
    reader.ReportUnknownKeys();
    document_.adapters.emplace(section.name, std::move(versions));
  }

  static std::optional<std::int64_t> ParseVersion(std::string_view text) {
    const std::optional<std::int64_t> version = ParseInteger(text);
    const bool valid = version && *version >= kVersionRange.min &&
                       *version <= kVersionRange.max;
    return valid ? version : std::nullopt;
  }

  static void AddVersionError(IniSectionReader& reader,
                              std::string_view key,
                              const std::string& text) {
    reader.AddError(key, "\"" + text + "\" is not a version; expected an " +
                             "integer from " +
                             std::to_string(kVersionRange.min) + " to " +
                             std::to_string(kVersionRange.max));
  }

  void ReadAlias(const IniSection& section,
                 const std::string& item,
                 const std::set<std::int64_t>& versions,
                 IniSectionReader& reader) {
    if (item.empty()) {
      return;  // `List` has reported the empty item.
    }
    const std::size_t equals = item.find('=');
    const std::string name = item.substr(0, equals);
    if (equals == std::string::npos || !IsValidName(name)) {
      reader.AddError("aliases", "\"" + item + "\" is not ALIAS=VERSION with " +
                                     "an ALIAS of " + std::string(kNameRule));
      return;
    }
    const std::string version_text = item.substr(equals + 1);
    const std::optional<std::int64_t> version = ParseVersion(version_text);
    if (!version) {
      AddVersionError(reader, "aliases", version_text);
      return;
    }
    if (!versions.contains(*version)) {
      reader.AddError("aliases", "alias \"" + name + "\" names version " +
                                     version_text +
                                     ", which \"versions\" does not have");
    }
    const auto [other, is_new] =
        document_.aliases.emplace(name, AdapterVersion{section.name, *version});
    if (!is_new) {
      reader.AddError("aliases", "alias \"" + name + "\" already belongs to " +
                                     "adapter \"" + other->second.adapter +
                                     "\"");
    }
    alias_sections_.push_back({name, &section});
  }

  // Reports aliases that equal the name of another adapter: a request for that
  // name would run the aliased adapter instead. Runs after all sections are
  // read, since the adapters may be in any order.
  void CheckAliasNames() {
    for (const auto& [alias, section] : alias_sections_) {
      if (alias != section->name && document_.adapters.contains(alias)) {
        IniSectionReader(*section, errors_)
            .AddError("aliases",
                      "alias \"" + alias + "\" is the name of another adapter");
      }
    }
  }

  void ReadPlainService(const std::string& name, IniSectionReader& reader) {
    PlainService service;
    for (const std::string& item : reader.List("never_repeat", false)) {
      const std::optional<NeverRepeatRule> rule = ParseRule(item);
      if (rule) {
        service.never_repeat.push_back(*rule);
      } else if (!item.empty()) {
        reader.AddError("never_repeat",
                        "\"" + item + "\" is not METHOD PATH-PREFIX, such as " +
                            "\"POST /orders\": the method in capital letters, "
                            "the prefix without '%', '?', '#' and empty or dot "
                            "segments");
      }
    }
    reader.ReportUnknownKeys();
    document_.plain_services.emplace(name, std::move(service));
  }

  static std::optional<NeverRepeatRule> ParseRule(std::string_view text) {
    const std::size_t space = text.find_first_of(" \t");
    const std::string_view method = text.substr(0, space);
    const bool is_method =
        !method.empty() &&
        std::all_of(method.begin(), method.end(),
                    [](char c) { return c >= 'A' && c <= 'Z'; });
    if (!is_method || space == std::string_view::npos) {
      return std::nullopt;
    }
    const std::size_t begin = text.find_first_not_of(" \t", space);
    const std::string_view prefix = text.substr(begin);
    if (!IsNormalisedPrefix(prefix)) {
      return std::nullopt;
    }
    return NeverRepeatRule{std::string(method), std::string(prefix)};
  }

  // Returns whether a normalised path can begin with `prefix`. A prefix that
  // matches no path is an error: its rule would have no effect, and calls that
  // it is meant to protect might be repeated without any warning.
  static bool IsNormalisedPrefix(std::string_view prefix) {
    return prefix.starts_with('/') &&
           prefix.find_first_of("%?#\\ \t") == std::string_view::npos &&
           prefix.find("//") == std::string_view::npos &&
           prefix.find("/./") == std::string_view::npos &&
           prefix.find("/../") == std::string_view::npos &&
           !prefix.ends_with("/.") && !prefix.ends_with("/..");
  }

  void ReadBackendServers(IniSectionReader& reader) {
    for (const std::string& item : reader.List("checks_fencing", false)) {
      if (IsValidName(item)) {
        document_.checks_fencing.insert(item);
      } else if (!item.empty()) {
        reader.AddError("checks_fencing", "\"" + item + "\" is not a name; " +
                                              "allowed are " +
                                              std::string(kNameRule));
      }
    }
    reader.ReportUnknownKeys();
  }

  ServiceDocument document_;
  IniErrors errors_;
  bool has_service_ = false;
  bool has_kind_ = false;
  std::vector<std::pair<std::string, const IniSection*>> alias_sections_;
};

}  // namespace

tl::expected<ServiceDocument, IniErrors> ParseServiceDocument(
    std::string_view text) {
  if (text.size() > kMaxServiceDocumentBytes) {
    return tl::unexpected<IniErrors>(IniErrors{
        {0, "", "",
         "the document has " + std::to_string(text.size()) +
             " bytes; at most " + std::to_string(kMaxServiceDocumentBytes) +
             " are allowed"}});
  }
  auto sections = ParseIni(text);
  if (!sections) {
    return tl::unexpected<IniErrors>(std::move(sections.error()));
  }
  return Parser().Parse(*sections);
}

}  // namespace amaranthcove
