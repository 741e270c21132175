#include "testing/tools/load/load_run.h"

#include <charconv>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace amaranthcove::load {

namespace {

constexpr int kHttpOk = 200;

std::int64_t ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Copies code and outcome from the body of an error response to `record`.
void ParseErrorBody(const std::string& body, Record& record) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error") ||
      !json["error"].is_object()) {
    record.code = "no_error_body";
    return;
  }
  record.code = json["error"].value("code", "");
  record.outcome = json["error"].value("outcome", "");
}

std::string_view CodeOf(HttpCallEnd end) {
  switch (end) {
    case HttpCallEnd::kComplete:
      return "";
    case HttpCallEnd::kConnectFailed:
      return "connect_failed";
    case HttpCallEnd::kBroken:
      return "broken";
    case HttpCallEnd::kTimedOut:
      return "timed_out";
  }
  return "";
}

}  // namespace

LoadRun::LoadRun(EventLoop& loop,
                 HttpClient& client,
                 const LoadRunSettings& settings,
                 std::vector<PlannedRequest> workload)
    : loop_(loop),
      client_(client),
      settings_(settings),
      records_(workload.size()),
      responses_(workload.size()) {
  for (std::size_t i = 0; i < workload.size(); ++i) {
    records_[i].planned = workload[i];
  }
}

void LoadRun::Start() {
  run_start_ = SteadyNow();
  for (std::size_t i = 0; i < records_.size(); ++i) {
    loop_.RunAt(run_start_ + records_[i].planned.at, [this, i] { Send(i); });
  }
  if (records_.empty()) {
    loop_.Stop();
  }
}

void LoadRun::Send(std::size_t index) {
  Record& record = records_[index];
  const PlannedRequest& planned = record.planned;
  const Time now = SteadyNow();
  record.start = now - run_start_;
  const std::string model = ModelName(planned.adapter, settings_.teams);
  const nlohmann::json body = {{"model", model},
                               {"prompt", "request " + std::to_string(index)},
                               {"max_tokens", planned.tokens}};
  HttpRequest request{
      "POST",
      "/v1/completions",
      {{"Content-Type", "application/json"},
       {"X-Request-Kind",
        planned.urgent ? settings_.urgent_kind : settings_.patient_kind}},
      body.dump()};
  const Address& entry = settings_.entries[index % settings_.entries.size()];
  client_.Start(
      entry, std::move(request), now + settings_.call_limit,
      {[this, index](const HttpResponse& head) {
         records_[index].first_byte = SteadyNow() - run_start_;
         responses_[index] = head;
       },
       [this, index](std::string_view data) { responses_[index].body += data; },
       [this, index](HttpCallEnd end) { OnEnd(index, end); }});
}

void LoadRun::OnEnd(std::size_t index, HttpCallEnd end) {
  Record& record = records_[index];
  const HttpResponse answer = std::exchange(responses_[index], {});
  record.end = SteadyNow() - run_start_;
  if (end != HttpCallEnd::kComplete) {
    record.code = CodeOf(end);
    record.outcome = "unknown";
  } else {
    record.status = answer.status;
    record.load_stall_ms =
        ParseNumber(FindHeader(answer.headers, "X-Load-Stall-Ms"));
    record.queue_ms = ParseNumber(FindHeader(answer.headers, "X-Queue-Ms"));
    if (answer.status == kHttpOk) {
      record.outcome = "completed";
    } else {
      ParseErrorBody(answer.body, record);
    }
  }
  if (++ended_count_ == records_.size()) {
    loop_.Stop();
  }
}

}  // namespace amaranthcove::load
