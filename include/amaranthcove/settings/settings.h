#ifndef AMARANTHCOVE_SETTINGS_SETTINGS_H_
#define AMARANTHCOVE_SETTINGS_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/ini/ini.h"

namespace amaranthcove {

// Which part of the system a process is.
enum class Role { kEntry, kSidecar };

// What a sidecar's backend server is.
enum class BackendKind { kEngine, kPlain };

// The least severe events that are logged.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

// Section [entry].
struct EntrySettings {
  Address http_address;  // Caller API; port 0 means any free port.
  // How long the listener stays open once /readyz reports 503.
  Duration drain = std::chrono::seconds(5);
};

// Section [sidecar].
struct SidecarSettings {
  BackendKind backend_kind = BackendKind::kEngine;
  Address backend_address;
  std::string base_model;  // Engines only.
  std::string team;        // Plain services only.
  std::string service;     // Plain services only.
  // Loads per second of the weight store for the whole deployment.
  double store_loads_per_s = 3.0;
  int engines = 1;  // Engines that share the weight store.
  int queue_limit = 256;
};

// The settings of one amaranthd process (section 11 of the design).
struct Settings {
  Role role = Role::kEntry;
  std::string instance;
  std::string region;
  std::string data_centre;
  Address admin_address;
  Address peer_address;
  std::string cluster_key_file;
  LogLevel log_level = LogLevel::kInfo;
  std::vector<Address> platform;  // Entries only; tried in turn.
  // Entries only; other entries, asked first while the platform is down.
  std::vector<Address> peers;
  // How long a graceful shutdown may take; without a value, until all work is
  // done.
  std::optional<Duration> drain_limit;
  std::optional<EntrySettings> entry;      // Present if role is kEntry.
  std::optional<SidecarSettings> sidecar;  // Present if role is kSidecar.
};

// The name used in settings: "entry" or "sidecar".
std::string_view RoleName(Role role);

// Parses and validates settings. Errors: all of the file, in line order.
// Thread-safe.
tl::expected<Settings, IniErrors> ParseSettings(std::string_view text);

// Reads `file` and parses it. A relative cluster_key_file is resolved against
// the directory of `file`. A file that cannot be read is an error without line.
tl::expected<Settings, IniErrors> ReadSettings(const std::string& file);

// Bounds of the cluster key in bytes. HMAC-SHA256 gains nothing from more than
// one block of 64 bytes; the upper bound leaves room for an encoded key.
inline constexpr std::size_t kMinClusterKeyBytes = 32;
inline constexpr std::size_t kMaxClusterKeyBytes = 1024;

// Reads the cluster key: the bytes of `file` without white space at the end.
// Errors: kNotFound if the file cannot be read, kInvalidArgument if the key is
// too short or too long. No message contains the key.
Result<std::string> ReadClusterKey(const std::string& file);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SETTINGS_SETTINGS_H_
