#include "amaranthcove/settings/settings.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {
namespace {

std::string Process(const std::string& role) {
  return "[process]\nrole = " + role +
         "\ninstance = i-1\nregion = sofia\ndata_centre = sofia-1\n"
         "admin_address = 127.0.0.1:9101\npeer_address = 127.0.0.1:0\n"
         "cluster_key_file = cluster.key\n";
}

std::string ErrorsOf(const std::string& text) {
  const auto settings = ParseSettings(text);
  return settings ? "" : FormatIniErrors("f", settings.error());
}

}  // namespace

TEST_GROUP(Settings){};

// Guards against values being stored in the wrong field and against missing
// defaults.
TEST(Settings, ReadsBothRoles) {
  const auto entry =
      ParseSettings(Process("entry") +
                    "platform = 127.0.0.1:1, 127.0.0.1:2\n"
                    "peers = 127.0.0.1:3\n[entry]\n"
                    "http_address = 127.0.0.1:8080\ndrain_ms = 7\n");
  CHECK(entry.has_value());
  STRCMP_EQUAL("127.0.0.1:2", FormatAddress(entry->platform.at(1)).c_str());
  CHECK_EQUAL(3, entry->peers.at(0).port);
  CHECK(entry->entry->drain == std::chrono::milliseconds(7));
  CHECK(!entry->sidecar && !entry->drain_limit);
  const auto sidecar = ParseSettings(
      Process("sidecar") +
      "drain_limit_ms = 9\n[sidecar]\nbackend_kind = engine\n"
      "backend_address = 127.0.0.1:9301\nbase_model = base-1\nengines = 9\n");
  CHECK(sidecar.has_value());
  CHECK(sidecar->drain_limit == std::chrono::milliseconds(9));
  CHECK_EQUAL(9, sidecar->sidecar->engines);
  CHECK_EQUAL(256, sidecar->sidecar->queue_limit);
}

// Guards against keys or sections of another role, wrong units and invalid
// ports being ignored, so that a process starts with unintended settings.
TEST(Settings, RejectsInvalidKeysAndSections) {
  STRCMP_EQUAL(
      "f:9: [process] platform: \"65536\" is not a port (0 to 65535); expected "
      "A.B.C.D:PORT\n"
      "f:10: [entry] http_address: the key is missing\n"
      "f:11: [entry] drain_s: wrong or missing unit; the key is \"drain_ms\"\n"
      "f:12: [sidecar] the section is not allowed with role = entry\n"
      "f:13: [other] unknown section; allowed are: process, entry, sidecar\n",
      ErrorsOf(Process("entry") +
               "platform = 127.0.0.1:65536\n[entry]\ndrain_s = 1\n[sidecar]\n"
               "[other]\n")
          .c_str());
  STRCMP_EQUAL(
      "f:9: [process] platform: the key is not allowed: a sidecar does not "
      "read the platform\n"
      "f:10: [sidecar] service: the key is missing\n"
      "f:12: [sidecar] backend_address: port 0 is not allowed; expected 1 to "
      "65535\n"
      "f:14: [sidecar] base_model: the key is not allowed: it belongs to "
      "backend_kind = engine, not plain\n",
      ErrorsOf(Process("sidecar") +
               "platform = 127.0.0.1:1\n[sidecar]\nbackend_kind = plain\n"
               "backend_address = 127.0.0.1:0\nteam = t\nbase_model = b\n")
          .c_str());
  STRCMP_EQUAL("f: [process] the section is missing\n", ErrorsOf("").c_str());
}

// Guards against a relative key file being resolved against the working
// directory, which differs between a shell and a service manager.
TEST(Settings, KeyFileIsRelativeToTheSettingsFile) {
  std::string directory =
      (std::filesystem::temp_directory_path() / "settings.XXXXXX").string();
  CHECK(mkdtemp(directory.data()) != nullptr);
  const std::string file = directory + "/amaranthd.ini";
  const std::string key(kMinClusterKeyBytes, 'k');
  std::ofstream(file) << Process("sidecar")
                      << "[sidecar]\nbackend_kind = plain\nteam = t\n"
                         "backend_address = 127.0.0.1:1\nservice = s\n";
  std::ofstream(directory + "/cluster.key") << key << "\n";
  const auto settings = ReadSettings(file);
  CHECK(settings.has_value());
  CHECK(ReadClusterKey(settings->cluster_key_file).value_or("") == key);
  std::filesystem::remove_all(directory);
}

// Guards against handshakes with an empty, truncated or oversized key.
TEST(Settings, RejectsUnusableClusterKeys) {
  CHECK(ReadClusterKey("/nonexistent").error().code == ErrorCode::kNotFound);
  CHECK(ReadClusterKey("/").error().code == ErrorCode::kNotFound);
  CHECK(ReadClusterKey("/dev/null").error().code ==
        ErrorCode::kInvalidArgument);
  CHECK(ReadClusterKey("/dev/zero").error().code ==
        ErrorCode::kInvalidArgument);
}

}  // namespace amaranthcove
