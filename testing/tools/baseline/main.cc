// Runs the daemon with the decision functions of a baseline, for experiments.

#include <exception>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

#include "amaranthcove/daemon/daemon.h"
#include "amaranthcove/log/log.h"
#include "amaranthcove/settings/settings.h"
#include "testing/tools/baseline/baselines.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description(
      "usage: amaranthd_baseline --settings FILE --baseline NAME");
  description.add_options()("settings",
                            options::value<std::string>()->required(),
                            "settings file (INI)")(
      "baseline", options::value<std::string>()->required(),
      "policy, least_loaded or hashing");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "amaranthd_baseline: " << error.what() << "\n" << description;
    return 2;
  }
  const auto baseline = amaranthcove::baseline::FindBaseline(
      values["baseline"].as<std::string>());
  if (!baseline) {
    std::cerr << "amaranthd_baseline: --baseline is unknown\n" << description;
    return 2;
  }
  const auto file = values["settings"].as<std::string>();
  const auto settings = amaranthcove::ReadSettings(file);
  if (!settings) {
    std::cerr << amaranthcove::FormatIniErrors(file, settings.error());
    return 1;
  }
  const auto key = amaranthcove::ReadClusterKey(settings->cluster_key_file);
  if (!key) {
    std::cerr << key.error().message << "\n";
    return 1;
  }
  const amaranthcove::Logging logging(settings->log_level);
  return amaranthcove::RunDaemon(*settings, *key, *baseline);
}
