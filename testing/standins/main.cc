// standin KIND [--listen ADDRESS]... [options of the kind]
//
// Simulates external systems of one kind in one process, one on each --listen
// address. Prints "listening KIND INDEX ADDRESS" for each and exits on SIGTERM
// or SIGINT.

#include <signal.h>

#include <array>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/net/http_server.h"
#include "testing/standins/engine.h"
#include "testing/standins/plain_service.h"
#include "testing/standins/platform.h"
#include "testing/standins/weight_store.h"

namespace {

namespace options = boost::program_options;
using amaranthcove::Address;
using amaranthcove::Duration;
using amaranthcove::EventLoop;
using amaranthcove::HttpClient;
using amaranthcove::HttpRequest;
using amaranthcove::HttpResponder;
using amaranthcove::HttpServer;
using amaranthcove::standins::StandIn;

constexpr int kUsageError = 2;
constexpr std::size_t kMaxBodyBytes = 8 << 20;

struct RunningStandIn {
  std::unique_ptr<StandIn> stand_in;
  std::unique_ptr<HttpServer> server;
};

options::options_description DescribeOptions(const std::string& kind) {
  options::options_description all("standin " + kind);
  auto add = all.add_options();
  add("listen",
      options::value<std::vector<std::string>>()->required()->composing(),
      "IPv4 address and port; may be repeated");
  if (kind == "engine") {
    add("base-model", options::value<std::string>()->default_value("base-1"),
        "name of the base model");
    add("batch-size", options::value<std::size_t>()->default_value(8),
        "batch places");
    add("slots", options::value<std::size_t>()->default_value(4),
        "adapter slots");
    add("queue-limit", options::value<std::size_t>()->default_value(8),
        "requests that wait for a batch place");
    add("step-us", options::value<std::int64_t>()->default_value(20000),
        "duration of a step with one adapter");
    add("step-us-per-adapter",
        options::value<std::int64_t>()->default_value(500),
        "added for each further adapter in the batch");
    add("prefill-bytes-per-step",
        options::value<std::size_t>()->default_value(512),
        "prompt bytes processed in one step");
    add("prefix-cache-entries",
        options::value<std::size_t>()->default_value(64),
        "prompts that the prefix cache holds");
    add("report-lag-ms", options::value<std::int64_t>()->default_value(500),
        "interval of load reports");
    add("restart-ms", options::value<std::int64_t>()->default_value(300),
        "duration of a restart");
    add("fencing", options::value<std::string>()->default_value("check"),
        "check or ignore fencing numbers");
    add("store", options::value<std::string>(), "address of the weight store");
  } else if (kind == "plain") {
    add("delay-ms", options::value<std::int64_t>()->default_value(0),
        "time from execution to answer");
  } else if (kind == "platform") {
    add("calls-per-s", options::value<std::int64_t>()->default_value(2000),
        "budget of calls and pending watches");
    add("instance-lag-ms", options::value<std::int64_t>()->default_value(0),
        "time until a change of an instance is visible");
  } else if (kind == "weights") {
    add("loads-per-s", options::value<double>()->default_value(3.0),
        "refill of the token bucket");
    add("burst", options::value<double>()->default_value(2.0),
        "size of the token bucket");
    add("load-ms", options::value<std::int64_t>()->default_value(250),
        "duration of a load");
    add("queue-limit", options::value<int>()->default_value(64),
        "waiting requests");
  }
  return all;
}

Duration Milliseconds(const options::variables_map& values, const char* name) {
  return std::chrono::milliseconds(values[name].as<std::int64_t>());
}

Duration Microseconds(const options::variables_map& values, const char* name) {
  return Duration(values[name].as<std::int64_t>());
}

amaranthcove::Result<amaranthcove::standins::EngineSettings>
ParseEngineSettings(const options::variables_map& values) {
  amaranthcove::standins::EngineSettings settings;
  settings.base_model = values["base-model"].as<std::string>();
  settings.batch_size = values["batch-size"].as<std::size_t>();
  settings.slots = values["slots"].as<std::size_t>();
  settings.queue_limit = values["queue-limit"].as<std::size_t>();
  settings.step = Microseconds(values, "step-us");
  settings.step_per_adapter = Microseconds(values, "step-us-per-adapter");
  settings.prefill_bytes_per_step =
      values["prefill-bytes-per-step"].as<std::size_t>();
  settings.prefix_cache_entries =
      values["prefix-cache-entries"].as<std::size_t>();
  settings.report_lag = Milliseconds(values, "report-lag-ms");
  settings.restart_time = Milliseconds(values, "restart-ms");
  const std::string fencing = values["fencing"].as<std::string>();
  if (fencing != "check" && fencing != "ignore") {
    return amaranthcove::MakeError(
        amaranthcove::ErrorCode::kInvalidArgument,
        "--fencing takes check or ignore, not " + fencing);
  }
  settings.checks_fencing = fencing == "check";
  if (settings.prefill_bytes_per_step == 0 || settings.batch_size == 0) {
    return amaranthcove::MakeError(
        amaranthcove::ErrorCode::kInvalidArgument,
        "--batch-size and --prefill-bytes-per-step must be above 0");
  }
  if (values.contains("store")) {
    auto store = amaranthcove::ParseAddress(values["store"].as<std::string>());
    if (!store.has_value()) {
      return tl::unexpected(store.error());
    }
    settings.store = std::move(*store);
  }
  return settings;
}

amaranthcove::Result<std::unique_ptr<StandIn>> Create(
    const std::string& kind,
    const options::variables_map& values,
    EventLoop& loop,
    HttpClient& client) {
  if (kind == "engine") {
    const auto settings = ParseEngineSettings(values);
    if (!settings.has_value()) {
      return tl::unexpected(settings.error());
    }
    return std::make_unique<amaranthcove::standins::Engine>(loop, client,
                                                            *settings);
  }
  if (kind == "plain") {
    amaranthcove::standins::PlainServiceSettings settings;
    settings.delay = Milliseconds(values, "delay-ms");
    return std::make_unique<amaranthcove::standins::PlainService>(loop,
                                                                  settings);
  }
  if (kind == "platform") {
    amaranthcove::standins::PlatformSettings settings;
    settings.calls_per_s = values["calls-per-s"].as<std::int64_t>();
    settings.instance_lag = Milliseconds(values, "instance-lag-ms");
    return std::make_unique<amaranthcove::standins::Platform>(loop, settings);
  }
  amaranthcove::standins::WeightStoreSettings settings;
  settings.loads_per_s = values["loads-per-s"].as<double>();
  settings.burst = values["burst"].as<double>();
  settings.load_time = Milliseconds(values, "load-ms");
  settings.queue_limit = values["queue-limit"].as<int>();
  return std::make_unique<amaranthcove::standins::WeightStore>(loop, settings);
}

amaranthcove::Result<RunningStandIn> Listen(
    const std::string& kind,
    const std::string& address_text,
    const options::variables_map& values,
    EventLoop& loop,
    HttpClient& client) {
  const auto address = amaranthcove::ParseAddress(address_text);
  if (!address.has_value()) {
    return tl::unexpected(address.error());
  }
  auto stand_in = Create(kind, values, loop, client);
  if (!stand_in.has_value()) {
    return tl::unexpected(stand_in.error());
  }
  HttpServer::Options server_options;
  server_options.limits.max_body_bytes = kMaxBodyBytes;
  auto server = HttpServer::Listen(
      loop, *address, server_options,
      [target = stand_in->get()](HttpRequest request,
                                 std::unique_ptr<HttpResponder> responder) {
        target->Handle(std::move(request), std::move(responder));
      });
  if (!server.has_value()) {
    return tl::unexpected(server.error());
  }
  return RunningStandIn{std::move(*stand_in), std::move(*server)};
}

int Run(const std::string& kind, const options::variables_map& values) {
  EventLoop loop;
  const auto client = HttpClient::Create(loop);
  const std::array<int, 2> signals = {SIGTERM, SIGINT};
  const auto handled =
      loop.HandleSignals(signals, [&loop](int) { loop.Stop(); });
  if (!handled.has_value()) {
    std::cerr << "standin: " << handled.error().message << "\n";
    return 1;
  }
  std::vector<RunningStandIn> all;
  for (const auto& address : values["listen"].as<std::vector<std::string>>()) {
    auto listening = Listen(kind, address, values, loop, *client);
    if (!listening.has_value()) {
      std::cerr << "standin: " << listening.error().message << "\n";
      return 1;
    }
    std::cout << "listening " << kind << " " << all.size() << " "
              << amaranthcove::FormatAddress(listening->server->local_address())
              << std::endl;
    all.push_back(std::move(*listening));
  }
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string kind = argc > 1 ? argv[1] : "";
  if (kind != "engine" && kind != "plain" && kind != "platform" &&
      kind != "weights") {
    std::cerr << "usage: standin engine|plain|platform|weights "
                 "--listen ADDRESS [option...]\n";
    return kUsageError;
  }
  const options::options_description description = DescribeOptions(kind);
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc - 1, argv + 1, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "standin: " << error.what() << "\n" << description;
    return kUsageError;
  }
  return Run(kind, values);
}
