#include "amaranthcove/settings/settings.h"

#include <array>
#include <filesystem>
#include <utility>

#include "amaranthcove/base/file.h"
#include "amaranthcove/ini/schema.h"

namespace amaranthcove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxSettingsBytes = 65'536;
constexpr IniRange kDrainRangeMs = {0, 600'000};
// The upper bound is one week.
constexpr IniRange kDrainLimitRangeMs = {1, 604'800'000};
constexpr IniRange kEngineCountRange = {1, 1'000'000};
constexpr IniRange kQueueLimitRange = {1, 1'000'000};
constexpr double kMinStoreLoadsPerS = 0.01;
constexpr double kMaxStoreLoadsPerS = 100'000;

constexpr std::pair<std::string_view, Role> kRoles[] = {
    {"entry", Role::kEntry},
    {"sidecar", Role::kSidecar}};
constexpr std::pair<std::string_view, BackendKind> kBackendKinds[] = {
    {"engine", BackendKind::kEngine},
    {"plain", BackendKind::kPlain}};
constexpr std::pair<std::string_view, LogLevel> kLogLevels[] = {
    {"debug", LogLevel::kDebug},
    {"info", LogLevel::kInfo},
    {"warn", LogLevel::kWarn},
    {"error", LogLevel::kError}};

void ReadProcess(IniSectionReader& reader, Settings& settings) {
  settings.role = reader.Enum<Role>("role", kRoles);
  settings.instance = reader.Name("instance");
  settings.region = reader.Name("region");
  settings.data_centre = reader.Name("data_centre");
  settings.admin_address = reader.ReadAddress("admin_address", true);
  settings.peer_address = reader.ReadAddress("peer_address", true);
  settings.cluster_key_file = reader.Text("cluster_key_file");
  settings.log_level =
      reader.Enum<LogLevel>("log_level", kLogLevels, LogLevel::kInfo);
  if (settings.role == Role::kEntry) {
    settings.platform = reader.AddressList("platform");
    settings.peers = reader.AddressList("peers", false);
  } else {
    reader.Forbid("peers", "only entries connect to other entries");
    reader.Forbid("platform", "a sidecar does not read the platform");
  }
  if (reader.Has("drain_limit_ms")) {
    settings.drain_limit =
        milliseconds(reader.Integer("drain_limit_ms", kDrainLimitRangeMs));
  } else {
    // Registers the absent key as known for ReportUnknownKeys.
    reader.Integer("drain_limit_ms", kDrainLimitRangeMs, 1);
  }
  reader.ReportUnknownKeys();
}

EntrySettings ReadEntry(IniSectionReader& reader) {
  EntrySettings entry;
  entry.http_address = reader.ReadAddress("http_address", true);
  entry.drain = milliseconds(reader.Integer(
      "drain_ms", kDrainRangeMs, ToMilliseconds(EntrySettings().drain)));
  reader.ReportUnknownKeys();
  return entry;
}

void ReadEngineKeys(IniSectionReader& reader, SidecarSettings& sidecar) {
  constexpr std::string_view kReason =
      "it belongs to backend_kind = plain, not engine";
  sidecar.base_model = reader.Name("base_model");
  sidecar.store_loads_per_s =
      reader.Number("store_loads_per_s", kMinStoreLoadsPerS, kMaxStoreLoadsPerS,
                    sidecar.store_loads_per_s);
  sidecar.engines =
      static_cast<int>(reader.Integer("engines", kEngineCountRange));
  reader.Forbid("team", kReason);
  reader.Forbid("service", kReason);
}

void ReadPlainKeys(IniSectionReader& reader, SidecarSettings& sidecar) {
  constexpr std::string_view kReason =
      "it belongs to backend_kind = engine, not plain";
  sidecar.team = reader.Name("team");
  sidecar.service = reader.Name("service");
  reader.Forbid("base_model", kReason);
  reader.Forbid("store_loads_per_s", kReason);
  reader.Forbid("engines", kReason);
}

SidecarSettings ReadSidecar(IniSectionReader& reader) {
  SidecarSettings sidecar;
  sidecar.backend_kind =
      reader.Enum<BackendKind>("backend_kind", kBackendKinds);
  sidecar.backend_address = reader.ReadAddress("backend_address", false);
  sidecar.queue_limit = static_cast<int>(
      reader.Integer("queue_limit", kQueueLimitRange, sidecar.queue_limit));
  if (sidecar.backend_kind == BackendKind::kEngine) {
    ReadEngineKeys(reader, sidecar);
  } else {
    ReadPlainKeys(reader, sidecar);
  }
  reader.ReportUnknownKeys();
  return sidecar;
}

// Reads the section that belongs to the role, [entry] or [sidecar], and reports
// every other section.
void ReadRoleSection(const IniSection& section,
                     Settings& settings,
                     IniErrors& errors) {
  const std::string title = IniSectionTitle(section);
  IniSectionReader reader(section, errors);
  if (title != RoleName(Role::kEntry) && title != RoleName(Role::kSidecar)) {
    errors.push_back({section.line, title, "",
                      "unknown section; allowed are: process, entry, sidecar"});
  } else if (title != RoleName(settings.role)) {
    errors.push_back({section.line, title, "",
                      "the section is not allowed with role = " +
                          std::string(RoleName(settings.role))});
  } else if (settings.role == Role::kEntry) {
    settings.entry = ReadEntry(reader);
  } else {
    settings.sidecar = ReadSidecar(reader);
  }
}

}  // namespace

std::string_view RoleName(Role role) {
  return role == Role::kEntry ? "entry" : "sidecar";
}

tl::expected<Settings, IniErrors> ParseSettings(std::string_view text) {
  auto sections = ParseIni(text);
  if (!sections) {
    return tl::unexpected<IniErrors>(std::move(sections.error()));
  }
  Settings settings;
  IniErrors errors;
  bool has_process = false;
  // [process] is read first because its role determines which other sections
  // are allowed.
  for (const IniSection& section : *sections) {
    if (IniSectionTitle(section) == "process") {
      IniSectionReader reader(section, errors);
      ReadProcess(reader, settings);
      has_process = true;
    }
  }
  if (!has_process) {
    return tl::unexpected<IniErrors>(
        IniErrors{{0, "process", "", "the section is missing"}});
  }
  for (const IniSection& section : *sections) {
    if (IniSectionTitle(section) != "process") {
      ReadRoleSection(section, settings, errors);
    }
  }
  if (!settings.entry && !settings.sidecar) {
    errors.push_back({0, std::string(RoleName(settings.role)), "",
                      "the section is missing"});
  }
  if (!errors.empty()) {
    SortIniErrors(errors);
    return tl::unexpected<IniErrors>(std::move(errors));
  }
  return settings;
}

tl::expected<Settings, IniErrors> ReadSettings(const std::string& file) {
  const Result<std::string> text = ReadFile(file, kMaxSettingsBytes);
  if (!text) {
    return tl::unexpected<IniErrors>(
        IniErrors{{0, "", "", text.error().message}});
  }
  auto settings = ParseSettings(*text);
  if (settings) {
    // operator/ discards the directory if cluster_key_file is absolute.
    settings->cluster_key_file =
        (std::filesystem::path(file).parent_path() / settings->cluster_key_file)
            .string();
  }
  return settings;
}

Result<std::string> ReadClusterKey(const std::string& file) {
  Result<std::string> key = ReadFile(file, kMaxClusterKeyBytes);
  if (!key) {
    return MakeError(key.error().code, "cluster key file \"" + file +
                                           "\": " + key.error().message);
  }
  key->erase(key->find_last_not_of(" \t\r\n") + 1);
  if (key->size() < kMinClusterKeyBytes) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "cluster key file \"" + file + "\": the key has " +
                         std::to_string(key->size()) + " bytes; at least " +
                         std::to_string(kMinClusterKeyBytes) + " are needed");
  }
  return std::move(*key);
}

}  // namespace amaranthcove
