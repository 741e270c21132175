// path_bench --target ADDRESS [options]
//
// Keeps a fixed number of requests in flight on one HTTP server for a fixed
// time and prints one JSON line with requests, events, failures and latencies.
// Prompts contain the seed. A request counts as failed unless its response is
// complete, has status 200 and, if streamed, the expected number of events.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"

namespace {

namespace options = boost::program_options;
using amaranthcove::Address;
using amaranthcove::Duration;
using amaranthcove::EventLoop;
using amaranthcove::HttpCallEnd;
using amaranthcove::HttpClient;
using amaranthcove::HttpRequest;
using amaranthcove::HttpResponse;
using amaranthcove::SteadyNow;
using amaranthcove::Time;

constexpr int kUsageError = 2;
constexpr int kHttpOk = 200;

// Limits of the options, so that a mistyped value cannot overload the machine.
constexpr int kMaxInFlight = 4096;
constexpr int kMaxSeconds = 120;

struct BenchSettings {
  Address target;
  std::string path;
  std::vector<std::string> models;  // If empty, GET requests without a body.
  bool streamed = false;
  int tokens = 0;
  int in_flight = 0;
  Duration warm_up = Duration::zero();
  Duration duration = Duration::zero();
  std::uint64_t seed = 0;
};

struct Totals {
  std::int64_t requests = 0;
  std::int64_t failures = 0;
  std::int64_t events = 0;
  std::int64_t pieces = 0;
  std::vector<std::int64_t> first_byte_us;
  std::vector<std::int64_t> whole_us;
};

// Counts server-sent events in a body that arrives in pieces.
class EventCounter {
 public:
  // Returns the number of events that end in `piece`.
  std::int64_t Count(std::string_view piece) {
    std::int64_t events = 0;
    for (const char character : piece) {
      const bool line_end = character == '\n';
      if (line_end && after_line_end_) {
        ++events;
        after_line_end_ = false;
      } else {
        after_line_end_ = line_end;
      }
    }
    return events;
  }

 private:
  bool after_line_end_ = false;
};

// Sends requests one after the other, with at most one in flight.
class Worker {
 public:
  Worker(EventLoop& loop,
         HttpClient& client,
         const BenchSettings& settings,
         std::uint64_t number,
         Totals& totals)
      : loop_(loop),
        client_(client),
        settings_(settings),
        number_(number),
        totals_(totals) {}

  // Sends requests until `end` and measures from `measure_from` on.
  void Run(Time measure_from, Time end) {
    measure_from_ = measure_from;
    end_ = end;
    Next();
  }

  bool idle() const { return idle_; }

 private:
  void Next() {
    request_start_ = SteadyNow();
    idle_ = request_start_ >= end_;
    if (idle_) {
      return;
    }
    first_byte_ = Time();
    status_ = 0;
    events_ = 0;
    counter_ = EventCounter();
    HttpClient::Callbacks callbacks;
    callbacks.on_head = [this](const HttpResponse& head) {
      status_ = head.status;
    };
    callbacks.on_data = [this](std::string_view data) { OnData(data); };
    callbacks.on_end = [this](HttpCallEnd end) { OnEnd(end); };
    client_.Start(settings_.target, MakeRequest(),
                  request_start_ + std::chrono::minutes(1),
                  std::move(callbacks));
  }

  HttpRequest MakeRequest() {
    if (settings_.models.empty()) {
      return {"GET", settings_.path, {}, ""};
    }
    ++sent_;
    const std::string& model =
        settings_.models[(number_ + sent_) % settings_.models.size()];
    const nlohmann::json body = {
        {"model", model},
        {"stream", settings_.streamed},
        {"max_tokens", settings_.tokens},
        {"prompt", "prompt " + std::to_string(settings_.seed) + " " +
                       std::to_string(number_) + " " + std::to_string(sent_)}};
    return {"POST",
            settings_.path,
            {{"Content-Type", "application/json"}},
            body.dump()};
  }

  void OnData(std::string_view data) {
    if (first_byte_ == Time()) {
      first_byte_ = SteadyNow();
    }
    const std::int64_t events = counter_.Count(data);
    events_ += events;
    if (loop_.Now() >= measure_from_ && loop_.Now() < end_) {
      totals_.events += events;
      ++totals_.pieces;
    }
  }

  void OnEnd(HttpCallEnd end) {
    const Time now = SteadyNow();
    // The final marker is an event as well.
    const bool all_events_arrived =
        !settings_.streamed || events_ == settings_.tokens + 1;
    const bool whole = end == HttpCallEnd::kComplete && status_ == kHttpOk &&
                       all_events_arrived;
    if (!whole) {
      ++totals_.failures;
      // Waits, so as not to flood a server that refuses requests.
      loop_.RunAfter(std::chrono::milliseconds(10), [this] { Next(); });
      return;
    }
    if (now >= measure_from_ && now < end_) {
      ++totals_.requests;
      totals_.first_byte_us.push_back((first_byte_ - request_start_).count());
      totals_.whole_us.push_back((now - request_start_).count());
    }
    Next();
  }

  EventLoop& loop_;
  HttpClient& client_;
  const BenchSettings& settings_;
  const std::uint64_t number_;
  Totals& totals_;
  Time measure_from_;
  Time end_;
  Time request_start_;
  Time first_byte_;
  int status_ = 0;
  std::int64_t events_ = 0;
  std::uint64_t sent_ = 0;
  EventCounter counter_;
  bool idle_ = true;
};

nlohmann::json Percentiles(std::vector<std::int64_t> values) {
  if (values.empty()) {
    return nullptr;
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](std::size_t percent) {
    return values[(values.size() - 1) * percent / 100];
  };
  return {{"p50", at(50)}, {"p95", at(95)}, {"p99", at(99)}};
}

nlohmann::json Measure(const BenchSettings& settings) {
  EventLoop loop;
  const auto client = HttpClient::Create(loop);
  Totals totals;
  std::vector<std::unique_ptr<Worker>> workers;
  const Time measure_from = SteadyNow() + settings.warm_up;
  const Time end = measure_from + settings.duration;
  for (int i = 0; i < settings.in_flight; ++i) {
    workers.push_back(std::make_unique<Worker>(
        loop, *client, settings, static_cast<std::uint64_t>(i), totals));
    workers.back()->Run(measure_from, end);
  }
  // Requests still in progress at the end are dropped with `client`.
  while (SteadyNow() < end) {
    loop.RunOnce(std::chrono::milliseconds(50));
  }
  return {{"requests", totals.requests},
          {"failures", totals.failures},
          {"events", totals.events},
          {"pieces", totals.pieces},
          {"seconds", amaranthcove::ToSeconds(settings.duration)},
          {"first_byte_us", Percentiles(std::move(totals.first_byte_us))},
          {"whole_us", Percentiles(std::move(totals.whole_us))}};
}

options::options_description DescribeOptions() {
  options::options_description all("path_bench");
  auto add = all.add_options();
  add("target", options::value<std::string>()->required(),
      "IPv4 address and port");
  add("path", options::value<std::string>()->default_value("/v1/completions"),
      "path of every request");
  add("model", options::value<std::vector<std::string>>()->composing(),
      "model name; may be repeated; none means GET without a body");
  add("stream", options::bool_switch(), "ask for server-sent events");
  add("tokens", options::value<int>()->default_value(16),
      "tokens of each answer");
  add("in-flight", options::value<int>()->default_value(1),
      "requests kept in flight");
  add("warm-up-ms", options::value<int>()->default_value(500),
      "time before the measurement");
  add("duration-ms", options::value<int>()->default_value(2000),
      "time of the measurement");
  add("seed", options::value<std::uint64_t>()->default_value(1),
      "seed of the prompts");
  return all;
}

amaranthcove::Result<BenchSettings> ParseSettings(
    const options::variables_map& values) {
  BenchSettings settings;
  const auto target =
      amaranthcove::ParseAddress(values["target"].as<std::string>());
  if (!target) {
    return tl::unexpected(target.error());
  }
  settings.target = *target;
  settings.path = values["path"].as<std::string>();
  if (values.contains("model")) {
    settings.models = values["model"].as<std::vector<std::string>>();
  }
  settings.streamed = values["stream"].as<bool>();
  settings.tokens = values["tokens"].as<int>();
  settings.in_flight = values["in-flight"].as<int>();
  settings.warm_up = std::chrono::milliseconds(values["warm-up-ms"].as<int>());
  settings.duration =
      std::chrono::milliseconds(values["duration-ms"].as<int>());
  settings.seed = values["seed"].as<std::uint64_t>();
  if (settings.in_flight < 1 || settings.in_flight > kMaxInFlight ||
      settings.warm_up + settings.duration >
          std::chrono::seconds(kMaxSeconds)) {
    return amaranthcove::MakeError(amaranthcove::ErrorCode::kInvalidArgument,
                                   "--in-flight takes 1 to 4096, and the whole "
                                   "run at most 120 s");
  }
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, DescribeOptions()),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "path_bench: " << error.what() << "\n" << DescribeOptions();
    return kUsageError;
  }
  const auto settings = ParseSettings(values);
  if (!settings) {
    std::cerr << "path_bench: " << settings.error().message << "\n";
    return kUsageError;
  }
  std::cout << Measure(*settings).dump() << std::endl;
  return 0;
}
