#include "amaranthcove/entry/call.h"

#include <algorithm>
#include <utility>

#include "amaranthcove/operations/operation_id.h"

namespace amaranthcove {

namespace {

constexpr int kMaxAttempts = 4;
constexpr int kMaxReplans = 2;
constexpr int kHttpOk = 200;
constexpr int kPreconditionRequired = 428;

// Added to the deadline of a call, so that the response of a sidecar that stops
// work at the deadline still arrives.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(200);

// Timeout for the sidecar's confirmation of a cancel.
constexpr Duration kCancelTimeout = std::chrono::milliseconds(500);

// A streamed call is aborted when more bytes than this wait to be sent to a
// slow caller.
constexpr std::size_t kMaxBufferedBytes = 4 << 20;

// Size limit for a response that is collected before it is sent.
constexpr std::size_t kMaxCollectedBodyBytes = 16 << 20;

constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

}  // namespace

Call::Call(CallContext& context,
           HttpRequest request,
           CallPlan plan,
           std::string request_id,
           std::unique_ptr<HttpResponder> responder,
           std::function<void()> on_done)
    : context_(context),
      request_(std::move(request)),
      plan_(std::move(plan)),
      request_id_(std::move(request_id)),
      responder_(std::move(responder)),
      on_done_(std::move(on_done)),
      deadline_(context.loop.Now() + plan_.deadline) {}

Call::~Call() {
  *alive_ = false;
  context_.loop.Cancel(deadline_timer_);
  context_.loop.Cancel(retry_timer_);
}

void Call::Start() {
  context_.explain.Begin(request_id_, context_.loop.Now(),
                         {{"team", plan_.team},
                          {"model", plan_.model},
                          {"service", plan_.service},
                          {"path", plan_.path},
                          {"urgent", plan_.urgent},
                          {"operation_id", plan_.operation_id},
                          {"document_revision", plan_.document_revision},
                          {"deadline_ms", ToMilliseconds(plan_.deadline)}});
  ++(plan_.urgent ? context_.counters.urgent_calls
                  : context_.counters.patient_calls);
  context_.chooser.RecordRequest(plan_, context_.loop.Now());
  context_.retry_budget.OnFirstAttempt();
  responder_->OnCallerGone([this] { OnCallerGone(); });
  deadline_timer_ = context_.loop.RunAt(deadline_ + kDeadlineGrace, [this] {
    deadline_timer_ = 0;
    OnDeadline();
  });
  switch (plan_.kind) {
    case CallKind::kNeedsOperationId:
      RequestOperationId();
      return;
    case CallKind::kOperation:
      DispatchOperation();
      return;
    case CallKind::kModel:
    case CallKind::kPlain:
      Dispatch();
      return;
  }
}

void Call::RequestOperationId() {
  context_.issuer.Issue(plan_, [this, alive = alive_](const std::string& id) {
    if (*alive) {
      OnOperationIdIssued(id);
    }
  });
}

void Call::OnOperationIdIssued(const std::string& id) {
  Explain("operation_offered", {{"operation_id", id}});
  if (id.empty()) {
    Fail({503, "no_backend_server",
          "No backend server issued an operation id for this call.",
          Outcome::kNotRun,
          policy::RetryAfter(std::chrono::seconds(1), context_.random)});
    return;
  }
  HttpResponse response =
      ErrorResponse({kPreconditionRequired, "operation_id_required",
                     "This call must not be repeated. Send it with the "
                     "Idempotency-Key of this answer.",
                     Outcome::kNotRun},
                    request_id_);
  response.headers.push_back({"Idempotency-Key", id});
  ++context_.counters.failed_not_run;
  responder_->Send(std::move(response));
  Done();
}

void Call::DispatchOperation() {
  // Only the process named in the id may run the operation. The directory only
  // provides its address.
  const auto id = ParseOperationId(plan_.operation_id);
  const Instance* instance = context_.directory.Find(id->instance);
  if (instance == nullptr || instance->record.role != InstanceRole::kSidecar) {
    Fail({409, "operation_lost",
          "The process that keeps the operation is not known here.",
          Outcome::kUnknown});
    return;
  }
  Send(id->instance, instance->record.address);
}

void Call::Dispatch() {
  const Time now = context_.loop.Now();
  if (plan_.kind == CallKind::kModel) {
    const SuspectClassification classification =
        context_.suspects.Classify(plan_.fingerprint, now);
    if (classification.decision == SuspectDecision::kRefused) {
      Fail({422, "crashes_server",
            "Requests with this content crash backend servers.",
            Outcome::kNotRun});
      return;
    }
  }
  auto server = context_.chooser.Choose(plan_, tried_instances_, now);
  if (!server && !tried_instances_.empty()) {
    // No untried server is left, but one of the others may have recovered.
    tried_instances_.clear();
    server = context_.chooser.Choose(plan_, tried_instances_, now);
  }
  if (!server) {
    Fail({503, "no_backend_server", server.error().message, Outcome::kNotRun,
          policy::RetryAfter(std::chrono::seconds(1), context_.random)});
    return;
  }
  Explain("chosen", std::move(server->explanation));
  Send(server->instance, server->address);
}

void Call::Send(const std::string& instance, const Address& address) {
  ++attempts_;
  ++context_.counters.attempts;
  attempt_instance_ = instance;
  tried_instances_.insert(instance);
  attempt_ = context_.links.NewAttempt();
  attempt_sent_at_ = context_.loop.Now();
  context_.chooser.OnSent(instance);
  context_.links.Submit(instance, address, MakeSubmit(), deadline_, this);
}

wire::Submit Call::MakeSubmit() {
  const Time now = context_.loop.Now();
  wire::Submit submit;
  submit.attempt = wire::ToWire(*attempt_);
  submit.team = plan_.team;
  submit.model = plan_.model;
  submit.service_name = plan_.service;
  submit.method = plan_.method;
  submit.path = plan_.path;
  submit.body = plan_.body;
  submit.content_type = plan_.content_type;
  submit.streamed = plan_.streamed;
  submit.urgent = plan_.urgent;
  submit.operation_id = plan_.operation_id;
  submit.fingerprint = static_cast<std::int64_t>(plan_.fingerprint);
  submit.run_alone =
      plan_.kind == CallKind::kModel &&
      context_.suspects.Classify(plan_.fingerprint, now).decision ==
          SuspectDecision::kRunAlone;
  submit.request_id = request_id_;
  submit.document_revision = plan_.document_revision;
  submit.objective =
      plan_.objective == Objective::kStalls ? "stalls" : "batch_efficiency";
  return submit;
}

void Call::OnChunk(const wire::Chunk& chunk) {
  if (chunk.sequence == 0) {
    status_ = chunk.__isset.status ? chunk.status : kHttpOk;
    content_type_ = chunk.content_type;
  }
  ++context_.counters.relayed_chunks;
  context_.counters.relayed_bytes += chunk.data.size();
  if (plan_.streamed && status_ == kHttpOk) {
    RelayChunk(chunk);
    return;
  }
  collected_body_ += chunk.data;
  if (collected_body_.size() > kMaxCollectedBodyBytes) {
    const AttemptId attempt = *attempt_;
    attempt_.reset();
    context_.links.Cancel(attempt, kCancelTimeout, nullptr);
    Fail({502, "answer_too_large", "The answer is too large.",
          Outcome::kUnknown});
  }
}

void Call::RelayChunk(const wire::Chunk& chunk) {
  std::string event = "data: ";
  event += chunk.data;
  event += "\n\n";
  if (!response_started_) {
    response_started_ = true;
    responder_->Start({kHttpOk,
                       {{"Content-Type", content_type_},
                        {"X-Request-Id", request_id_},
                        {"Cache-Control", "no-store"}},
                       std::move(event)});
    return;
  }
  responder_->Write(event);
  if (responder_->buffered_bytes() > kMaxBufferedBytes) {
    Explain("caller_too_slow", {{"bytes", responder_->buffered_bytes()}});
    OnCallerGone();
  }
}

void Call::OnEnd(const wire::AnswerEnd& end) {
  attempt_.reset();
  context_.chooser.OnReport(attempt_instance_, end.report, context_.loop.Now());
  Explain("answer_end", {{"instance", attempt_instance_},
                         {"code", end.error_code},
                         {"outcome", end.outcome},
                         {"chunks", end.chunks},
                         {"queue_ms", end.queue_ms},
                         {"load_stall_ms", end.load_stall_ms}});
  (plan_.urgent ? context_.counters.urgent_stall_s
                : context_.counters.patient_stall_s) +=
      ToSeconds(std::chrono::milliseconds(end.load_stall_ms));
  if (end.error_code.empty()) {
    if (plan_.kind == CallKind::kModel) {
      context_.chooser.OnServed(plan_,
                                context_.loop.Now() - attempt_sent_at_ -
                                    std::chrono::milliseconds(end.queue_ms));
    }
    FinishResponse(end);
    return;
  }
  const Outcome outcome =
      end.outcome == OutcomeName(Outcome::kCompleted) ? Outcome::kCompleted
      : end.outcome == OutcomeName(Outcome::kNotRun)  ? Outcome::kNotRun
                                                      : Outcome::kUnknown;
  may_have_run_ = may_have_run_ || outcome == Outcome::kUnknown;
  RetryOrFail(
      {StatusOfCode(end.error_code), end.error_code, end.message, outcome});
}

void Call::OnRefused(const wire::Refused& refused) {
  attempt_.reset();
  context_.chooser.OnReport(attempt_instance_, refused.report,
                            context_.loop.Now());
  Explain("refused", {{"instance", attempt_instance_}, {"code", refused.code}});
  const auto retry_after = std::chrono::milliseconds(refused.retry_after_ms);
  RetryOrFail({StatusOfCode(refused.code), refused.code, refused.message,
               Outcome::kNotRun, retry_after});
}

void Call::OnLost(std::string_view code) {
  attempt_.reset();
  may_have_run_ = true;
  Explain("lost", {{"instance", attempt_instance_}, {"code", code}});
  RetryOrFail({StatusOfCode(code), std::string(code),
               "The connection to the backend server was lost.",
               Outcome::kUnknown});
}

bool Call::ProvesNotRun(std::string_view code) const {
  // Another entry may have sent the same operation, so only the sidecar that
  // issued the id can tell that it has not run. A call for another service
  // never runs under the id, whichever entry sends it.
  return plan_.kind != CallKind::kOperation || code == "operation_retired" ||
         code == "operation_unknown" || code == "wrong_service";
}

bool Call::MayRetry(std::string_view code) const {
  return !response_started_ && plan_.kind != CallKind::kOperation &&
         IsWorthRetrying(code) && attempts_ < kMaxAttempts &&
         context_.loop.Now() < deadline_;
}

void Call::RetryOrFail(ApiError error) {
  collected_body_.clear();
  status_ = 0;
  if (!MayRetry(error.code)) {
    Fail(std::move(error));
    return;
  }
  if (error.code == "stale_document") {
    auto plan = PlanCall(request_, context_.catalogue);
    if (!plan || ++replans_ > kMaxReplans) {
      Fail(plan ? std::move(error) : std::move(plan.error()));
      return;
    }
    plan_ = std::move(*plan);
    tried_instances_.clear();
  } else if (!context_.retry_budget.TakeRetry()) {
    ++context_.counters.retries_denied;
    Fail(std::move(error));
    return;
  }
  ++context_.counters.retries;
  const Duration delay = policy::BackoffDelay(
      static_cast<std::uint32_t>(attempts_ - 1), {}, context_.random);
  Explain("retry", {{"delay_ms", ToMilliseconds(delay)}});
  retry_timer_ = context_.loop.RunAfter(delay, [this] {
    retry_timer_ = 0;
    if (plan_.kind == CallKind::kNeedsOperationId) {
      RequestOperationId();
    } else {
      Dispatch();
    }
  });
}

void Call::FinishResponse(const wire::AnswerEnd& end) {
  ++context_.counters.completed;
  if (response_started_) {
    responder_->Write(kDoneEvent);
    responder_->End();
    Done();
    return;
  }
  if (plan_.streamed && end.chunks == 0) {
    // A stream that ended successfully without any event.
    responder_->Start(
        {kHttpOk,
         {{"Content-Type", "text/event-stream"}, {"X-Request-Id", request_id_}},
         std::string(kDoneEvent)});
    responder_->End();
    Done();
    return;
  }
  HttpResponse response;
  response.status = status_;
  response.headers = {{"X-Request-Id", request_id_},
                      {"X-Load-Stall-Ms", std::to_string(end.load_stall_ms)},
                      {"X-Queue-Ms", std::to_string(end.queue_ms)}};
  if (!content_type_.empty()) {
    response.headers.push_back({"Content-Type", content_type_});
  }
  response.body = std::move(collected_body_);
  responder_->Send(std::move(response));
  Done();
}

void Call::Fail(ApiError error) {
  if (error.outcome == Outcome::kNotRun &&
      (may_have_run_ || !ProvesNotRun(error.code))) {
    error.outcome = Outcome::kUnknown;
  }
  ++(error.outcome == Outcome::kNotRun ? context_.counters.failed_not_run
                                       : context_.counters.failed_unknown);
  Explain("failed",
          {{"code", error.code}, {"outcome", OutcomeName(error.outcome)}});
  if (response_started_) {
    ++context_.counters.broken_after_start;
    responder_->Write("event: error\ndata: " + ErrorJson(error, request_id_) +
                      "\n\n");
    responder_->Abort();
  } else {
    responder_->Send(ErrorResponse(error, request_id_));
  }
  Done();
}

void Call::OnDeadline() {
  context_.loop.Cancel(std::exchange(retry_timer_, 0));
  ApiError error{504, "deadline_exceeded", "The deadline passed.",
                 Outcome::kUnknown};
  if (!attempt_) {
    error.outcome = Outcome::kNotRun;
    Fail(std::move(error));
    return;
  }
  const AttemptId attempt = *attempt_;
  attempt_.reset();
  if (plan_.kind == CallKind::kOperation) {
    // The operation continues. A caller that sends it again gets its response.
    context_.links.Cancel(attempt, kCancelTimeout, nullptr);
    Fail(std::move(error));
    return;
  }
  context_.links.Cancel(attempt, kCancelTimeout,
                        [this, alive = alive_, error](Outcome outcome) {
                          if (*alive) {
                            ApiError result = error;
                            result.outcome = outcome;
                            Fail(std::move(result));
                          }
                        });
}

void Call::OnCallerGone() {
  ++context_.counters.callers_gone;
  Explain("caller_gone", nlohmann::json::object());
  if (attempt_) {
    // For an operation, this stops only the wait for its response.
    context_.links.Cancel(*attempt_, kCancelTimeout, nullptr);
    attempt_.reset();
  }
  responder_->Abort();
  Done();
}

void Call::Explain(std::string_view event, nlohmann::json fields) {
  context_.explain.Add(request_id_, context_.loop.Now(), event,
                       std::move(fields));
}

void Call::Done() {
  context_.loop.Cancel(std::exchange(deadline_timer_, 0));
  context_.loop.Cancel(std::exchange(retry_timer_, 0));
  // The callback may destroy this object.
  const auto on_done = std::move(on_done_);
  on_done();
}

}  // namespace amaranthcove
