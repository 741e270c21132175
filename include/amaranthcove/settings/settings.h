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

// The role of an amaranthd process that has these settings.
enum class Role { kEntry, kSidecar };

// The kind of backend server that a sidecar serves.
enum class BackendKind { kEngine, kPlain };

// The minimum severity of logged events.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

// Section [entry].
struct EntrySettings {
  Address http_address;  // Of the caller API. Port 0 means any free port.
  // How long the listener stays open after /readyz begins to report 503.
  Duration drain = std::chrono::seconds(5);
};

// Section [sidecar].
struct SidecarSettings {
  BackendKind backend_kind = BackendKind::kEngine;
  Address backend_address;
  std::string base_model;  // Engines only.
  std::string team;        // Plain services only.
  std::string service;     // Plain services only.
  // Loads per second that the weight store allows the whole deployment.
  double store_loads_per_s = 3.0;
  int engines = 1;        // Number of engines that share the weight store.
  int queue_limit = 256;  // Maximum number of queued requests.
};

// The settings of an entry or a sidecar (section 11 of the design).
struct Settings {
  Role role = Role::kEntry;
  std::string instance;
  std::string region;
  std::string data_centre;
  Address admin_address;
  Address peer_address;
  std::string cluster_key_file;
  LogLevel log_level = LogLevel::kInfo;
  // Entries only. Addresses of the platform, tried in turn.
  std::vector<Address> platform;
  // Entries only. Entries to connect to while no link to another entry is
  // ready, as at a start while the platform is down.
  std::vector<Address> peers;
  // Maximum duration of a graceful shutdown. If it is not set, the shutdown
  // lasts until all work is finished.
  std::optional<Duration> drain_limit;
  std::optional<EntrySettings> entry;      // Present if role is kEntry.
  std::optional<SidecarSettings> sidecar;  // Present if role is kSidecar.
};

// Returns the name used in settings: "entry" or "sidecar". Thread-safe.
std::string_view RoleName(Role role);

// Parses and validates settings. Errors: all errors found, in line order; keys
// and sections are checked only if the INI syntax is valid. Thread-safe.
tl::expected<Settings, IniErrors> ParseSettings(std::string_view text);

// Reads and parses `file`. A relative `cluster_key_file` is resolved against
// the directory of `file`. Errors: those of `ParseSettings`, or one error with
// line 0 if the file cannot be read or is too large. Thread-safe.
tl::expected<Settings, IniErrors> ReadSettings(const std::string& file);

// Bounds on the size of the cluster key in bytes. HMAC-SHA256 gains nothing
// from a key longer than its block of 64 bytes; the upper bound leaves room for
// an encoded key.
inline constexpr std::size_t kMinClusterKeyBytes = 32;
inline constexpr std::size_t kMaxClusterKeyBytes = 1024;

// Reads the cluster key from `file` and strips trailing white space. Errors:
// kNotFound if the file cannot be read, kInvalidArgument if the key is too
// short or the file too long. No message contains the key. Thread-safe.
Result<std::string> ReadClusterKey(const std::string& file);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SETTINGS_SETTINGS_H_
