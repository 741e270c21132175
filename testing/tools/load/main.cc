// load --entry ADDRESS... [options]
// Sends an open-loop workload to entries and prints, as JSON, a summary and one
// record for each request.

#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "testing/tools/load/load_run.h"
#include "testing/tools/load/summary.h"
#include "testing/tools/load/workload.h"

namespace {

namespace options = boost::program_options;
namespace load = amaranthcove::load;

constexpr int kUsageError = 2;

struct Arguments {
  std::vector<std::string> entries;
  std::uint64_t seed = 1;
  std::int64_t urgent_deadline_ms = 10000;
  std::int64_t patient_deadline_ms = 30000;
  load::WorkloadSettings workload;
};

options::options_description DescribeOptions(Arguments& arguments) {
  load::WorkloadSettings& workload = arguments.workload;
  const auto number = [](double& target) {
    return options::value(&target)->default_value(target);
  };
  options::options_description all("load");
  all.add_options()("entry", options::value(&arguments.entries)->required(),
                    "address of an entry's API; may be repeated")(
      "seed", options::value(&arguments.seed)->default_value(1), "seed")(
      "adapters",
      options::value(&workload.adapters)->default_value(workload.adapters),
      "number of adapters")(
      "teams", options::value(&workload.teams)->default_value(workload.teams),
      "teams that own them")("zipf", number(workload.zipf),
                             "exponent of the popularity")(
      "urgent-per-s", number(workload.urgent_per_s), "urgent requests")(
      "patient-per-s", number(workload.patient_per_s), "patient requests")(
      "urgent-tokens", number(workload.urgent_tokens), "mean answer length")(
      "patient-tokens", number(workload.patient_tokens), "mean answer length")(
      "length-s", number(workload.length_s), "duration of the arrivals")(
      "shift-at-s", number(workload.shift_at_s),
      "when cold adapters become hot")(
      "urgent-deadline-ms",
      options::value(&arguments.urgent_deadline_ms)->default_value(10000),
      "deadline of the kind \"counter\" in the documents")(
      "patient-deadline-ms",
      options::value(&arguments.patient_deadline_ms)->default_value(30000),
      "deadline of the kind \"report\" in the documents");
  return all;
}

int Run(const Arguments& arguments) {
  load::LoadRunSettings settings;
  settings.teams = arguments.workload.teams;
  for (const std::string& text : arguments.entries) {
    const auto address = amaranthcove::ParseAddress(text);
    if (!address) {
      std::cerr << "load: " << address.error().message << "\n";
      return kUsageError;
    }
    settings.entries.push_back(*address);
  }
  amaranthcove::EventLoop loop;
  const auto client = amaranthcove::HttpClient::Create(loop);
  load::LoadRun run(loop, *client, settings,
                    load::MakeWorkload(arguments.workload, arguments.seed));
  run.Start();
  loop.Run();
  nlohmann::json result = load::Summarise(
      run.records(),
      {std::chrono::milliseconds(arguments.urgent_deadline_ms),
       std::chrono::milliseconds(arguments.patient_deadline_ms)});
  result["records"] = load::ToJson(run.records());
  std::cout << result.dump() << std::endl;
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  const options::options_description description = DescribeOptions(arguments);
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "load: " << error.what() << "\n" << description;
    return kUsageError;
  }
  if (arguments.workload.adapters == 0 || arguments.workload.teams == 0) {
    std::cerr << "load: --adapters and --teams must be above 0\n";
    return kUsageError;
  }
  return Run(arguments);
}
