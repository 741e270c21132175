// The amaranthd daemon. Runs an entry, a sidecar, a router or an adapter agent,
// depending on its settings.

#include <malloc.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/program_options.hpp>

#include "amaranthcove/base/crash_log.h"
#include "amaranthcove/base/file.h"
#include "amaranthcove/daemon/daemon.h"
#include "amaranthcove/ini/ini.h"
#include "amaranthcove/log/log.h"
#include "amaranthcove/node/node.h"
#include "amaranthcove/settings/settings.h"

namespace {

constexpr int kExitInvalidSettings = 1;
constexpr int kExitUsage = 2;

constexpr std::size_t kMaxSettingsBytes = 65'536;

// Returns the sections of `file` if it configures a router or an adapter agent.
// Returns nothing for other roles, and for invalid or unreadable files, whose
// errors `ReadSettings` reports.
std::optional<std::vector<amaranthcove::IniSection>> ReadNodeSections(
    const std::string& file) {
  const auto text = amaranthcove::ReadFile(file, kMaxSettingsBytes);
  if (!text) {
    return std::nullopt;
  }
  auto sections = amaranthcove::ParseIni(*text);
  if (!sections || !amaranthcove::IsNodeRole(*sections)) {
    return std::nullopt;
  }
  return std::move(*sections);
}

int RunWithNodeSettings(const std::string& file,
                        const std::vector<amaranthcove::IniSection>& sections,
                        bool check_only) {
  const auto settings = amaranthcove::ParseNodeSettings(sections);
  if (!settings) {
    std::cerr << amaranthcove::FormatIniErrors(file, settings.error());
    return kExitInvalidSettings;
  }
  if (check_only) {
    std::cout << file << ": settings are valid\n";
    return 0;
  }
  const amaranthcove::Logging logging(
      std::visit([](const auto& role) { return role.log_level; }, *settings),
      amaranthcove::LogOutput::kStdout);
  const int exit_code = amaranthcove::RunNode(file, *settings);
  std::cout.flush();
  // Skips static destructors: log4cplus waits for its worker thread when it is
  // destroyed. Under the platform's scheduler that wait did not end and the
  // process was killed.
  std::_Exit(exit_code);
}

// Allocations from this size on go back to the system when they are freed. The
// allocator would otherwise raise its threshold with each large body, and keep
// the memory.
constexpr int kLargeAllocationBytes = 256 << 10;

int RunWithSettings(const std::string& file, bool check_only) {
  if (const auto sections = ReadNodeSections(file)) {
    return RunWithNodeSettings(file, *sections, check_only);
  }
  const auto settings = amaranthcove::ReadSettings(file);
  if (!settings) {
    std::cerr << amaranthcove::FormatIniErrors(file, settings.error());
    return kExitInvalidSettings;
  }
  const auto key = amaranthcove::ReadClusterKey(settings->cluster_key_file);
  if (!key) {
    std::cerr << key.error().message << "\n";
    return kExitInvalidSettings;
  }
  if (check_only) {
    std::cout << file << ": settings are valid\n";
    return 0;
  }
  const amaranthcove::Logging logging(settings->log_level);
  return amaranthcove::RunDaemon(*settings, *key);
}

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description(
      "usage: amaranthd --settings FILE [--check-settings]");
  description.add_options()("settings", options::value<std::string>(),
                            "settings file (INI)")(
      "check-settings", "validate the settings and exit")(
      "help", "show this text")("version", "show the version");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << "amaranthd: " << error.what() << "\n" << description;
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (values.contains("version")) {
    std::cout << "amaranthd " AMARANTHCOVE_VERSION "\n";
    return 0;
  }
  if (!values.contains("settings")) {
    std::cerr << "amaranthd: --settings is missing\n" << description;
    return kExitUsage;
  }
  mallopt(M_MMAP_THRESHOLD, kLargeAllocationBytes);
  amaranthcove::InstallCrashLog(STDOUT_FILENO);
  return RunWithSettings(values["settings"].as<std::string>(),
                         values.contains("check-settings"));
}
