#include "amaranthcove/sidecar/plain_backend.h"

#include <openssl/rand.h>

#include <algorithm>
#include <utility>

#include "amaranthcove/base/hash.h"
#include "amaranthcove/policy/admission.h"

namespace amaranthcove {

namespace {

constexpr std::size_t kOperationKeyBytes = 32;
constexpr int kHttpUnavailable = 503;

// The stored answer to an operation whose call never reached the backend
// server.
constexpr std::string_view kNotReachedBody =
    R"({"error":{"code":"backend_unreachable","message":"The backend server )"
    R"(could not be reached; the call did not run. Use a new operation id.",)"
    R"("outcome":"not_run"}})";

std::string NewOperationKey() {
  std::string key(kOperationKeyBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(key.data()),
             static_cast<int>(key.size()));
  return key;
}

// Hashes method, path and body with separators, so that different requests
// cannot form the same text.
std::uint64_t RequestHash(const wire::Submit& request) {
  return Hash64(request.method + "\n" + request.path + "\n" + request.body);
}

HttpRequest ToHttp(const wire::Submit& request) {
  HttpRequest http{request.method, request.path, {}, request.body, false};
  if (!request.content_type.empty()) {
    http.headers.push_back({"Content-Type", request.content_type});
  }
  if (!request.operation_id.empty()) {
    http.headers.push_back({"X-Operation-Id", request.operation_id});
  }
  return http;
}

}  // namespace

PlainBackend::PlainBackend(EventLoop& loop,
                           HttpClient& http,
                           WorkObserver& observer,
                           const PlainBackendSettings& settings,
                           Incarnation incarnation)
    : loop_(loop),
      http_(http),
      observer_(observer),
      settings_(settings),
      random_{static_cast<std::uint64_t>(incarnation)},
      operations_(settings.instance, incarnation, NewOperationKey()) {}

void PlainBackend::Submit(WorkItem work) {
  if (!work.request.operation_id.empty()) {
    SubmitOperation(work);
    return;
  }
  if (queue_.size() >= settings_.queue_limit) {
    Refuse(work.attempt,
           {"queue_full", "The queue is full.",
            policy::RetryAfter(std::chrono::seconds(1), random_)});
    return;
  }
  queue_.push_back(std::move(work));
  RunQueued();
}

void PlainBackend::SubmitWhileLeaving(WorkItem work) {
  const std::string& id = work.request.operation_id;
  if (id.empty()) {
    Refuse(work.attempt,
           {"leaving", "The backend server is leaving.", Duration(0)});
    return;
  }
  if (operations_.Retire(id, loop_.Now()) == Outcome::kNotRun) {
    Refuse(work.attempt,
           {"operation_retired",
            "The backend server is leaving; the operation will not run.",
            Duration(0)});
    return;
  }
  SubmitOperation(work);
}

void PlainBackend::SubmitOperation(const WorkItem& work) {
  const std::string& id = work.request.operation_id;
  const BeginResult result =
      operations_.Begin(id, RequestHash(work.request), loop_.Now());
  if (result.decision == BeginDecision::kRun) {
    RunOperation(work);
  } else if (result.decision == BeginDecision::kRunning) {
    ++counters_.operations_joined;
    executions_[id].waiters.push_back(work.attempt);
  } else {
    AnswerOperation(work.attempt, result);
  }
}

void PlainBackend::RunOperation(const WorkItem& work) {
  ++counters_.operations_run;
  const std::string id = work.request.operation_id;
  executions_[id] = {{work.attempt}, loop_.Now()};
  http_.Fetch(settings_.server, ToHttp(work.request),
              loop_.Now() + settings_.operation_timeout,
              [this, id](HttpCallEnd end, const HttpResponse& response) {
                OnOperationEnd(id, end, response);
              });
}

void PlainBackend::OnOperationEnd(const std::string& id,
                                  HttpCallEnd end,
                                  const HttpResponse& response) {
  const Time now = loop_.Now();
  if (end == HttpCallEnd::kComplete) {
    operations_.Complete(
        id,
        {response.status,
         std::string(FindHeader(response.headers, "Content-Type")),
         response.body},
        now);
  } else if (end == HttpCallEnd::kConnectFailed) {
    operations_.Complete(
        id,
        {kHttpUnavailable, "application/json", std::string(kNotReachedBody)},
        now);
  } else {
    ++counters_.operations_unknown;
    operations_.CompleteUnknown(id, now);
  }
  const Execution execution = std::move(executions_[id]);
  executions_.erase(id);
  for (const AttemptId& waiter : execution.waiters) {
    if (end == HttpCallEnd::kComplete) {
      SendAnswer(waiter, response.status,
                 FindHeader(response.headers, "Content-Type"), response.body);
    } else if (end == HttpCallEnd::kConnectFailed) {
      SendAnswer(waiter, kHttpUnavailable, "application/json", kNotReachedBody);
    } else {
      AnswerOperation(waiter, {BeginDecision::kDone, Outcome::kUnknown, {}});
    }
  }
}

void PlainBackend::AnswerOperation(const AttemptId& attempt,
                                   const BeginResult& result) {
  WorkResult end;
  end.outcome = result.outcome;
  switch (result.decision) {
    case BeginDecision::kRun:
    case BeginDecision::kRunning:
      return;
    case BeginDecision::kDone:
      if (result.answer) {
        ++counters_.operations_replayed;
        SendAnswer(attempt, result.answer->status, result.answer->content_type,
                   result.answer->body);
        return;
      }
      end.error_code = "answer_lost";
      end.message = "The operation was started; its answer is not available.";
      break;
    case BeginDecision::kMismatch:
      end.error_code = "operation_mismatch";
      end.message = "The operation id was used for another request.";
      break;
    case BeginDecision::kLost:
      ++counters_.operations_unknown;
      end.error_code = "operation_lost";
      end.message = "The process that kept the operation no longer does.";
      break;
    case BeginDecision::kRetired:
      Refuse(attempt, {"operation_retired", "The operation id was retired.",
                       Duration(0)});
      return;
    case BeginDecision::kForged:
      Refuse(attempt, {"operation_unknown", "The operation id was not issued.",
                       Duration(0)});
      return;
  }
  observer_.OnEnd(attempt, end);
}

Outcome PlainBackend::Cancel(const AttemptId& attempt) {
  const auto queued = std::find_if(
      queue_.begin(), queue_.end(),
      [&](const WorkItem& work) { return work.attempt == attempt; });
  if (queued != queue_.end()) {
    queue_.erase(queued);
    return Outcome::kNotRun;
  }
  const auto running = running_.find(attempt);
  if (running != running_.end()) {
    http_.Cancel(running->second);
    running_.erase(running);
    RunQueued();
    return Outcome::kUnknown;
  }
  // The operation is not interrupted; only the waiting attempt is removed.
  for (auto& [id, execution] : executions_) {
    std::erase(execution.waiters, attempt);
  }
  return Outcome::kUnknown;
}

std::string PlainBackend::IssueOperation(Time now) {
  const Result<std::string> id = operations_.Issue(now);
  if (!id) {
    return "";
  }
  ++counters_.operations_issued;
  return *id;
}

void PlainBackend::RunQueued() {
  while (!queue_.empty() && running_.size() < settings_.max_running) {
    const WorkItem work = std::move(queue_.front());
    queue_.pop_front();
    if (work.deadline <= loop_.Now()) {
      Refuse(work.attempt,
             {"deadline_exceeded", "The deadline passed before it could start.",
              Duration(0)});
      continue;
    }
    RunCall(work);
  }
}

void PlainBackend::RunCall(const WorkItem& work) {
  ++counters_.calls;
  const AttemptId attempt = work.attempt;
  const Time started_at = loop_.Now();
  running_[attempt] =
      http_.Fetch(settings_.server, ToHttp(work.request), work.deadline,
                  [this, attempt, started_at](HttpCallEnd end,
                                              const HttpResponse& response) {
                    OnCallEnd(attempt, started_at, end, response);
                  });
}

void PlainBackend::OnCallEnd(const AttemptId& attempt,
                             Time started_at,
                             HttpCallEnd end,
                             const HttpResponse& response) {
  running_.erase(attempt);
  if (end == HttpCallEnd::kComplete) {
    SendAnswer(attempt, response.status,
               FindHeader(response.headers, "Content-Type"), response.body);
  } else if (end == HttpCallEnd::kConnectFailed) {
    Refuse(attempt,
           {"backend_unreachable", "The backend server could not be reached.",
            policy::RetryAfter(std::chrono::seconds(1), random_)});
  } else {
    ++counters_.broken;
    WorkResult work_result;
    const bool timed_out = end == HttpCallEnd::kTimedOut;
    work_result.error_code = timed_out ? "deadline_exceeded" : "answer_broken";
    work_result.message = timed_out ? "The deadline passed while it ran."
                                    : "The backend server's answer broke off.";
    work_result.outcome = Outcome::kUnknown;
    work_result.queued = loop_.Now() - started_at;
    observer_.OnEnd(attempt, work_result);
  }
  RunQueued();
}

void PlainBackend::SendAnswer(const AttemptId& attempt,
                              int status,
                              std::string_view content_type,
                              std::string_view body) {
  ++counters_.completed;
  observer_.OnHead(attempt, status, content_type);
  observer_.OnData(attempt, body);
  observer_.OnEnd(attempt, {});
}

void PlainBackend::Refuse(const AttemptId& attempt,
                          const WorkRefusal& refusal) {
  ++counters_.refused;
  observer_.OnRefused(attempt, refusal);
}

wire::ServerReport PlainBackend::Report(std::string_view /*model*/,
                                        Time /*now*/) const {
  wire::ServerReport report;
  report.urgent_queued = static_cast<std::int32_t>(queue_.size());
  report.running =
      static_cast<std::int32_t>(running_.size() + executions_.size());
  report.batch_size = static_cast<std::int32_t>(settings_.max_running);
  return report;
}

std::size_t PlainBackend::active() const {
  return queue_.size() + running_.size() + executions_.size();
}

nlohmann::json PlainBackend::Dump(Time /*now*/) const {
  return {{"kind", "plain"},
          {"address", FormatAddress(settings_.server)},
          {"team", settings_.team},
          {"service", settings_.service},
          {"queued", queue_.size()},
          {"running", running_.size()},
          {"operations",
           {{"remembered", operations_.size()},
            {"running", operations_.running()},
            {"answer_bytes", operations_.answer_bytes()}}},
          {"counters",
           {{"calls", counters_.calls},
            {"completed", counters_.completed},
            {"refused", counters_.refused},
            {"broken", counters_.broken},
            {"operations_issued", counters_.operations_issued},
            {"operations_run", counters_.operations_run},
            {"operations_joined", counters_.operations_joined},
            {"operations_replayed", counters_.operations_replayed},
            {"operations_unknown", counters_.operations_unknown}}}};
}

}  // namespace amaranthcove
