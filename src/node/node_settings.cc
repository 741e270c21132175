#include "amaranthcove/node/node_settings.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "amaranthcove/ini/schema.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

enum class NodeRole { kRouter, kAdapterAgent };

constexpr std::pair<std::string_view, NodeRole> kRoles[] = {
    {"router", NodeRole::kRouter},
    {"adapter_agent", NodeRole::kAdapterAgent}};
constexpr std::pair<std::string_view, LogLevel> kLogLevels[] = {
    {"debug", LogLevel::kDebug},
    {"info", LogLevel::kInfo},
    {"warn", LogLevel::kWarn},
    {"error", LogLevel::kError}};

constexpr std::pair<std::string_view, SharedPlaces> kSharedPlaces[] = {
    {"off", SharedPlaces::kOff},
    {"on", SharedPlaces::kOn},
    {"auto", SharedPlaces::kAuto}};
constexpr std::pair<std::string_view, bool> kBooleans[] = {{"true", true},
                                                           {"false", false}};

constexpr IniRange kPortRange = {1, 65'535};
constexpr IniRange kStopRangeMs = {500, 600'000};
constexpr IniRange kLeavingRangeMs = {1000, 600'000};
constexpr IniRange kConfigRangeMs = {200, 600'000};
constexpr IniRange kRetryWindowRangeMs = {100, 3'600'000};
constexpr double kMaxOvershoot = 10;
constexpr double kMaxTolerance = 1e12;
constexpr IniRange kRevocationRangeMs = {100, 3'600'000};
constexpr IniRange kDescriptorRange = {0, 1 << 20};
constexpr IniRange kMemoryRangeMb = {32, 1 << 20};
constexpr double kMaxRetryRatio = 10;
constexpr double kMaxRetryExtra = 1'000'000;

struct ProcessSection {
  NodeRole role = NodeRole::kRouter;
  std::string instance;
  std::string data_centre;
  Address admin_address;
  LogLevel log_level = LogLevel::kInfo;
};

ProcessSection ReadProcess(IniSectionReader& reader) {
  ProcessSection process;
  process.role = reader.Enum<NodeRole>("role", kRoles);
  process.instance = reader.Name("instance");
  process.data_centre = reader.Name("data_centre");
  process.admin_address = reader.ReadAddress("admin_address", true);
  process.log_level =
      reader.Enum<LogLevel>("log_level", kLogLevels, LogLevel::kInfo);
  reader.ReportUnknownKeys();
  return process;
}

RouterSettings ReadRouter(IniSectionReader& reader) {
  RouterSettings router;
  router.http_address = reader.ReadAddress("http_address", true);
  router.readiness_address = reader.ReadAddress("readiness_address", true);
  router.agent_address = reader.ReadAddress("agent_address", true);
  router.agent_port =
      static_cast<std::uint16_t>(reader.Integer("agent_port", kPortRange));
  router.metadata_store = reader.ReadAddress("metadata_store", false);
  router.leaving_limit =
      milliseconds(reader.Integer("leaving_limit_ms", kLeavingRangeMs,
                                  ToMilliseconds(router.leaving_limit)));
  router.config_limit = milliseconds(reader.Integer(
      "config_limit_ms", kConfigRangeMs, ToMilliseconds(router.config_limit)));
  router.retry_ratio =
      reader.Number("retry_ratio", 0, kMaxRetryRatio, router.retry_ratio);
  router.retry_extra =
      reader.Number("retry_extra", 0, kMaxRetryExtra, router.retry_extra);
  router.retry_window =
      milliseconds(reader.Integer("retry_window_ms", kRetryWindowRangeMs,
                                  ToMilliseconds(router.retry_window)));
  router.stop_limit = milliseconds(reader.Integer(
      "stop_limit_ms", kStopRangeMs, ToMilliseconds(router.stop_limit)));
  router.quota_overshoot = reader.Number("quota_overshoot", 0, kMaxOvershoot,
                                         router.quota_overshoot);
  router.quota_tolerance = reader.Number("quota_tolerance", 0, kMaxTolerance,
                                         router.quota_tolerance);
  router.revocation_strict = reader.Enum<bool>("revocation_strict", kBooleans,
                                               router.revocation_strict);
  router.revocation_limit =
      milliseconds(reader.Integer("revocation_limit_ms", kRevocationRangeMs,
                                  ToMilliseconds(router.revocation_limit)));
  router.shared_places = reader.Enum<SharedPlaces>(
      "shared_places", kSharedPlaces, router.shared_places);
  router.max_descriptors = static_cast<int>(reader.Integer(
      "max_descriptors", kDescriptorRange, router.max_descriptors));
  router.memory_mb = static_cast<int>(
      reader.Integer("memory_mb", kMemoryRangeMb, router.memory_mb));
  reader.ReportUnknownKeys();
  return router;
}

AgentSettings ReadAgent(IniSectionReader& reader) {
  AgentSettings agent;
  agent.agent_address = reader.ReadAddress("agent_address", true);
  agent.engine = reader.ReadAddress("engine", false);
  reader.ReportUnknownKeys();
  return agent;
}

const IniSection* FindSection(const std::vector<IniSection>& sections,
                              std::string_view type) {
  const auto found =
      std::find_if(sections.begin(), sections.end(),
                   [type](const IniSection& s) { return s.type == type; });
  return found == sections.end() ? nullptr : &*found;
}

void ReportOtherSections(const std::vector<IniSection>& sections,
                         std::string_view expected,
                         IniErrors& errors) {
  for (const IniSection& section : sections) {
    if ((section.type != "process" && section.type != expected) ||
        !section.name.empty()) {
      errors.push_back({section.line, IniSectionTitle(section), "",
                        "only [process] and [" + std::string(expected) +
                            "] are allowed for this role"});
    }
  }
}

template <typename Settings>
Settings WithProcessSettings(Settings settings, const ProcessSection& process) {
  settings.instance = process.instance;
  settings.data_centre = process.data_centre;
  settings.admin_address = process.admin_address;
  settings.log_level = process.log_level;
  return settings;
}

}  // namespace

bool IsNodeRole(const std::vector<IniSection>& sections) {
  const IniSection* process = FindSection(sections, "process");
  if (process == nullptr) {
    return false;
  }
  return std::any_of(
      process->entries.begin(), process->entries.end(),
      [](const IniEntry& entry) {
        return entry.key == "role" &&
               (entry.value == "router" || entry.value == "adapter_agent");
      });
}

tl::expected<NodeSettings, IniErrors> ParseNodeSettings(
    const std::vector<IniSection>& sections) {
  IniErrors errors;
  const IniSection* process_section = FindSection(sections, "process");
  if (process_section == nullptr) {
    return tl::unexpected(
        IniErrors{{0, "process", "", "the section is missing"}});
  }
  IniSectionReader process_reader(*process_section, errors);
  const ProcessSection process = ReadProcess(process_reader);
  const bool is_router = process.role == NodeRole::kRouter;
  const std::string_view title = is_router ? "router" : "adapter_agent";
  ReportOtherSections(sections, title, errors);
  const IniSection* section = FindSection(sections, title);
  if (section == nullptr) {
    errors.push_back({0, std::string(title), "", "the section is missing"});
    SortIniErrors(errors);
    return tl::unexpected(std::move(errors));
  }
  IniSectionReader reader(*section, errors);
  NodeSettings settings;
  if (is_router) {
    settings = WithProcessSettings(ReadRouter(reader), process);
  } else {
    settings = WithProcessSettings(ReadAgent(reader), process);
  }
  if (!errors.empty()) {
    SortIniErrors(errors);
    return tl::unexpected(std::move(errors));
  }
  return settings;
}

}  // namespace amaranthcove
