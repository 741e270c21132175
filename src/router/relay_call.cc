#include "src/router/relay_call.h"

#include <algorithm>
#include <utility>

#include "amaranthcove/base/hash.h"
#include "platform/backend_request.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kFirstServerError = 500;
constexpr int kUnauthorizedStatus = 401;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// The time after which a silent server that is not given up is checked again.
constexpr Duration kSilenceExtension = milliseconds(500);

// An answer that is not a stream is passed on when it is complete. A faulty
// server may send without end, so buffered answers and events are bounded.
constexpr std::size_t kMaxAnswerBytes = 4 << 20;
constexpr std::size_t kMaxEventBytes = 1 << 20;

// A stream is aborted when its caller leaves more than this unread.
constexpr std::size_t kMaxUnreadBytes = 1 << 20;

// A request that crashes its server does so when the server begins to answer
// it. The parts of the prompt are not suspected later than this time after the
// first event, and are taken for sound if the answer goes on for longer.
constexpr Duration kBeginningOfAnswer = milliseconds(500);

// Returns the Content-Type of `head` without its parameters.
std::string MediaType(const HttpResponse& head) {
  const std::string_view type = FindHeader(head.headers, "content-type");
  return std::string(type.substr(0, type.find_first_of("; ")));
}

// Returns whether only the close of its connection ends the answer.
bool EndsWithItsConnection(const HttpResponse& head) {
  return FindHeader(head.headers, "content-length").empty() &&
         FindHeader(head.headers, "transfer-encoding").empty();
}

// Returns `route` with the priority of `workspace`, if it has its own.
Route WithWorkspacePriority(const Route& route, const Workspace* workspace) {
  Route result = route;
  if (workspace != nullptr && workspace->priority) {
    result.priority = *workspace->priority;
  }
  return result;
}

}  // namespace

RelayCall::RelayCall(Environment& environment,
                     HttpRequest request,
                     RequestInfo info,
                     const Route& route,
                     const CallerIdentity& identity,
                     std::unique_ptr<HttpResponder> responder)
    : environment_(environment),
      request_(std::move(request)),
      info_(std::move(info)),
      route_(WithWorkspacePriority(route, identity.workspace)),
      workspace_(identity.workspace == nullptr ? "" : identity.workspace->name),
      quota_cost_(identity.workspace == nullptr
                      ? 0
                      : QuotaCost(*identity.workspace, info_)),
      share_(identity.share),
      drops_caller_workspace_(identity.has_workspaces),
      responder_(std::move(responder)) {
  progress_.kind = route_.kind;
  progress_.resumable = route_.resumable;
  progress_.max_attempts = route_.max_attempts;
}

RelayCall::~RelayCall() {
  EventLoop& loop = environment_.loop;
  loop.Cancel(deadline_timer_);
  loop.Cancel(wait_timer_);
  loop.Cancel(silence_timer_);
  environment_.upstream.Cancel(call_);
  LeaveAnswerGate();
  environment_.fleet.places().End(place_ticket_);
}

void RelayCall::Start(Time now,
                      std::function<void(const RelayResult&)> on_done) {
  on_done_ = std::move(on_done);
  started_ = now;
  config_version_ = environment_.fleet.config_version();
  key_config_version_ = config_version_;
  config_age_ = environment_.fleet.ConfigAge(now);
  const Duration limit =
      std::min(route_.timeout, info_.caller_timeout.value_or(route_.timeout));
  deadline_ = now + limit;
  waiting_request_ = {route_.priority,
                      LatestLoadStart(route_, info_.caller_timeout, now),
                      share_};
  service_ = PickService(route_.services, Hash64(info_.attempt_id));
  const ServiceSpec* service = environment_.fleet.table().FindService(service_);
  is_generation_ =
      !info_.model.empty() && service != nullptr && service->engine.has_value();
  parts_ = IdentifyParts();
  environment_.fleet.AddRequest(service_, now);
  responder_->OnCallerGone([this] { OnCallerGone(); });
  deadline_timer_ =
      environment_.loop.RunAt(deadline_, [this] { OnDeadline(); });
  Place(now);
}

std::vector<PartId> RelayCall::IdentifyParts() const {
  const std::uint64_t target =
      Hash64(info_.host + " " + request_.method + " " + request_.path);
  std::vector<PartId> parts = {Hash64(request_.body, target)};
  if (!is_generation_) {
    return parts;
  }
  parts.reserve(1 + info_.prompt_parts.size());
  for (const std::string& part : info_.prompt_parts) {
    parts.push_back(HashPart(part));
    parts[0] = Hash64(part, parts[0]);
  }
  return parts;
}

void RelayCall::Place(Time now) {
  ++placements_;
  progress_.time_left = deadline_ - now;
  if (EndIfRevoked(now) || EndIfCrashCause(now)) {
    return;
  }
  Fleet& fleet = environment_.fleet;
  if (!is_generation_ && fleet.SharesPlaces(service_, now)) {
    WaitForPlace(now);
    return;
  }
  const std::optional<Placement> placement =
      is_generation_
          ? fleet.PlaceGeneration(service_, info_, Goal(), tried_, now)
          : fleet.PlacePlain(service_, tried_, Hash64(info_.attempt_id), now);
  if (!placement) {
    EndWithoutServer(now);
    return;
  }
  placement_ = *placement;
  expected_delay_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(placement_.expected_delay_ms));
  if (is_generation_ && IsRefusedAtOnce(route_, progress_, expected_delay_)) {
    TakeStep(RelayStep::kRefuse, now);
    return;
  }
  std::optional<std::int64_t> version;
  if (!is_generation_ ||
      fleet.IsAdapterReady(placement_.server.id, info_, now, version)) {
    SendOrAsk(version, now);
    return;
  }
  WaitForAdapter(now);
}

void RelayCall::EndWithoutServer(Time now) {
  paused_for_ = environment_.fleet.ShortestPause(service_, now);
  expected_delay_ = paused_for_.value_or(kDelayWithoutServer);
  environment_.log.Write(
      LogLevel::kWarn, "no_server",
      {{"request", info_.attempt_id}, {"service", service_}});
  TakeStep(NextStep(progress_, SendEnd::kNotSent, false), now);
}

void RelayCall::GiveBackPlace() {
  if (place_ticket_ != 0) {
    environment_.fleet.places().End(std::exchange(place_ticket_, 0));
    environment_.demand_changed();
  }
}

RequestGoal RelayCall::Goal() const {
  RequestGoal goal;
  if (info_.prompt_tokens > 0) {
    goal.prompt_tokens = static_cast<double>(info_.prompt_tokens);
  }
  goal.target_latency_ms = ToSeconds(route_.target_latency) * 1000;
  goal.target_gap_ms = ToSeconds(route_.target_gap) * 1000;
  return goal;
}

void RelayCall::AddPrompt(Time now) {
  if (is_generation_) {
    prompt_added_ = true;
    environment_.fleet.links().AddPrompt(placement_.server.id,
                                         info_.prompt_tokens, now);
    environment_.demand_changed();
  }
}

void RelayCall::RemovePrompt(Time now) {
  if (std::exchange(prompt_added_, false)) {
    environment_.fleet.links().RemovePrompt(placement_.server.id,
                                            info_.prompt_tokens, now);
  }
}

void RelayCall::OnServerChanged(std::string_view server, Time now) {
  if (placement_.server.id != server) {
    return;
  }
  const bool serving = environment_.fleet.TakesWork(placement_.server, now);
  if (state_ == State::kSending && !serving) {
    WithdrawUnsent(now);
  }
  if (state_ != State::kWaiting) {
    return;
  }
  if (!serving) {
    StopWaiting();
    Place(now);
    return;
  }
  std::optional<std::int64_t> version;
  if (asked_prompt_ == 0 &&
      environment_.fleet.IsAdapterReady(server, info_, now, version)) {
    StopWaiting();
    SendOrAsk(version, now);
  }
}

void RelayCall::WithdrawUnsent(Time now) {
  if (!environment_.upstream.IsUnsent(call_)) {
    return;
  }
  environment_.log.Write(
      LogLevel::kInfo, "send_withdrawn",
      {{"request", info_.attempt_id},
       {"server", placement_.server.id},
       {"after_ms", std::to_string(ToMilliseconds(now - sent_))}});
  environment_.upstream.Cancel(std::exchange(call_, 0));
  FinishSend(SendEnd::kNotSent, now);
}

void RelayCall::Send(std::optional<std::int64_t> version, Time now) {
  if (responder_->IsCallerGone()) {
    OnCallerGone();
    return;
  }
  if (EndIfRevoked(now) || EndIfCrashCause(now)) {
    return;  // The key or the cause changed while the request waited.
  }
  state_ = State::kSending;
  sent_ = now;
  backends_age_ = environment_.fleet.BackendsAge(now);
  const std::string& id = placement_.server.id;
  tried_.insert(id);
  ++progress_.may_have_run;
  AddPrompt(now);
  unread_at_send_ =
      is_generation_ ? environment_.fleet.UnreadTokens(id, now) : std::nullopt;
  has_head_ = false;
  first_event_of_send_.reset();
  has_settled_ = false;
  streaming_ = false;
  head_ = {};
  environment_.fleet.BeginSend(id, now);
  if (place_ticket_ != 0) {
    environment_.fleet.places().Start(place_ticket_, service_, id);
    environment_.demand_changed();
  }
  SendOptions options;
  options.expected_server = id;
  options.time_left = deadline_ - now;
  options.drops_caller_workspace = drops_caller_workspace_;
  options.workspace = workspace_;
  if (is_generation_) {
    options.priority = route_.priority;
    options.expected_version = version;
    environment_.fleet.links().AddRunning(id, {info_.model, info_.adapter},
                                          now);
  }
  if (progress_.answer_begun && !splitter_.last_id().empty()) {
    options.last_event_id = splitter_.last_id();
  }
  RestartSilenceTimer(FirstByteLimit(route_, progress_));
  call_ = environment_.upstream.Start(
      placement_.server.address,
      platform::EncodeBackendRequest(request_, options),
      {[this](const HttpResponse& head) { return MatchAnswer(head); },
       [this](const HttpResponse& head) { OnHead(head); },
       [this](std::string_view data) { OnData(data); },
       [this](UpstreamEnd end) {
         call_ = 0;
         OnUpstreamEnd(end, environment_.loop.Now());
       }},
      {used_connections_, info_.attempt_id.empty()});
  used_connections_.push_back(environment_.upstream.ConnectionOf(call_));
}

bool RelayCall::ContinuesStream(const HttpResponse& head) const {
  return answer_.is_signed == stream_is_signed_ &&
         MediaType(head) == stream_media_type_;
}

AnswerMatch RelayCall::MatchAnswer(const HttpResponse& head) const {
  const std::string id = platform::DecodeResponseHead(head).attempt_id;
  if (id.empty()) {
    return AnswerMatch::kUnidentified;
  }
  return id == info_.attempt_id ? AnswerMatch::kMatches : AnswerMatch::kOther;
}

void RelayCall::OnHead(const HttpResponse& head) {
  has_head_ = true;
  answer_ = platform::DecodeResponseHead(head);
  // A later server at the same address speaks for itself only.
  const bool is_chosen_server =
      answer_.server_id.empty() || answer_.server_id == placement_.server.id;
  if (is_chosen_server &&
      (answer_.server_leaves || answer_.wants_nothing_for)) {
    environment_.on_announcement(placement_.server, answer_,
                                 environment_.loop.Now());
  }
  head_ = head;
  streaming_ = route_.kind == CallKind::kStream && head.status == kOk &&
               (!progress_.answer_begun || ContinuesStream(head));
  if (!streaming_) {
    RestartSilenceTimer(std::nullopt);
  }
}

void RelayCall::OnData(std::string_view data) {
  if (streaming_) {
    OnStreamData(data);
  } else {
    head_.body += data;
    if (head_.body.size() > kMaxAnswerBytes) {
      OnAnswerTooLong();
    } else if (head_.body.size() > AnswerGate::kSmallAnswerBytes &&
               answer_ticket_ == 0) {
      EnterAnswerGate();
    }
  }
}

void RelayCall::EnterAnswerGate() {
  answer_ticket_ = environment_.answers.Enter(
      [this] { environment_.upstream.ResumeReading(call_); });
  if (!environment_.answers.HasPlace(answer_ticket_)) {
    environment_.upstream.PauseReading(call_);
  }
}

void RelayCall::LeaveAnswerGate() {
  environment_.answers.Leave(std::exchange(answer_ticket_, 0));
}

void RelayCall::OnAnswerTooLong() {
  environment_.log.Write(
      LogLevel::kWarn, "answer_too_long",
      {{"request", info_.attempt_id}, {"server", placement_.server.id}});
  environment_.upstream.Cancel(std::exchange(call_, 0));
  FinishSend(SendEnd::kBroken, environment_.loop.Now());
}

void RelayCall::OnStreamData(std::string_view data) {
  std::string events = splitter_.Append(data);
  if (splitter_.partial_event().size() > kMaxEventBytes) {
    OnAnswerTooLong();
    return;
  }
  if (events.empty()) {
    return;
  }
  RestartSilenceTimer(PauseLimit(progress_));
  const Time now = environment_.loop.Now();
  RecordProgress(now);
  if (progress_.answer_begun) {
    longest_pause_ = std::max(longest_pause_, now - last_event_);
    environment_.fleet.RecordPause(placement_.server, now - last_event_,
                                   route_.target_gap, now);
    last_event_ = now;
    RemovePrompt(now);
    responder_->Write(events);
    AbortSlowCaller();
    return;
  }
  RemovePrompt(now);
  progress_.answer_begun = true;
  last_event_ = now;
  first_event_ = now - sent_;
  // Otherwise, how much of the prompts before it was read is not known.
  const bool reads_only_this_prompt =
      unread_at_send_ && *unread_at_send_ <= info_.prompt_tokens;
  if (reads_only_this_prompt) {
    environment_.fleet.RecordFirstEvent(placement_, info_.prompt_tokens,
                                        *first_event_, now);
  }
  stream_is_signed_ = answer_.is_signed;
  stream_media_type_ = MediaType(head_);
  HttpResponse start = head_;
  start.body = std::move(events);
  responder_->Start(std::move(start));
}

void RelayCall::AbortSlowCaller() {
  const std::size_t unread = responder_->buffered_bytes();
  if (unread <= kMaxUnreadBytes) {
    return;
  }
  environment_.log.Write(LogLevel::kWarn, "caller_too_slow",
                         {{"request", info_.attempt_id},
                          {"unread_bytes", std::to_string(unread)}});
  responder_->Abort();
  OnCallerGone();
}

void RelayCall::OnUpstreamEnd(UpstreamEnd end, Time now) {
  switch (end) {
    case UpstreamEnd::kNotSent:
      FinishSend(SendEnd::kNotSent, now);
      return;
    case UpstreamEnd::kBroken:
    case UpstreamEnd::kTooLong:
      FinishSend(SendEnd::kBroken, now);
      return;
    case UpstreamEnd::kComplete:
      break;
  }
  if (streaming_ && !EndsWithWholeEvent()) {
    // Without a length, the close of the connection looks like the end.
    FinishSend(SendEnd::kBroken, now);
  } else if (streaming_) {
    CompleteStream(now);
  } else if (answer_.not_run) {
    FinishSend(SendEnd::kNotRun, now);
  } else {
    RecordSound(parts_, now);
    if (!is_generation_) {
      environment_.fleet.RecordServiceTime(service_, now - sent_);
    }
    FinishAnswer(now);
  }
}

void RelayCall::FinishAnswer(Time now) {
  if (head_.status >= kFirstServerError || progress_.answer_begun) {
    // An answer that is not a stream cannot continue a stream that has begun.
    FinishSend(SendEnd::kServerError, now);
  } else {
    FinishSend(SendEnd::kAnswered, now);
  }
}

bool RelayCall::EndsWithWholeEvent() const {
  if (!first_event_of_send_ && EndsWithItsConnection(head_)) {
    return false;  // Its server may have ended before the first event.
  }
  const std::string& rest = splitter_.partial_event();
  return progress_.answer_begun &&
         rest.find_first_not_of("\r\n") == std::string::npos;
}

void RelayCall::CompleteStream(Time now) {
  RecordSound(parts_, now);
  environment_.fleet.RecordRequestTime(placement_, now - sent_, now);
  EndActivity();
  RecordHealth(SendEnd::kAnswered, now);
  responder_->Write(splitter_.partial_event());
  responder_->End();
  Done(RelayOutcome::kAnswered, kOk, now);
}

void RelayCall::EndActivity() {
  LeaveAnswerGate();
  GiveBackPlace();
  environment_.loop.Cancel(std::exchange(silence_timer_, 0));
  environment_.fleet.EndSend(placement_.server.id);
  RemovePrompt(environment_.loop.Now());
  if (is_generation_) {
    AgentLinks& links = environment_.fleet.links();
    links.RemoveRunning(placement_.server.id, {info_.model, info_.adapter});
    links.ReportEnd(placement_.server.id, environment_.loop.Now());
  }
}

void RelayCall::RecordHealth(SendEnd end, Time now) {
  if (!environment_.fleet.IsServing(placement_.server)) {
    return;  // The next start of the server may have the same id.
  }
  BackendResult result = BackendResult::kServed;
  switch (end) {
    case SendEnd::kNotSent:
      result = BackendResult::kNotReachable;
      break;
    case SendEnd::kNotRun:
      if (answer_.server_id.empty() ||
          answer_.server_id == placement_.server.id) {
        return;  // Full, or lacks the adapter; not a fault of the server.
      }
      // Another start of a server has taken over the address.
      result = BackendResult::kNotReachable;
      break;
    case SendEnd::kAnswered:
      break;
    case SendEnd::kServerError:
      result = BackendResult::kError;
      break;
    case SendEnd::kBroken:
      result = BackendResult::kBroken;
      break;
    case SendEnd::kSilent:
      if (has_head_) {
        return;  // A long answer that was cut off by its deadline.
      }
      result = BackendResult::kSilent;
      break;
  }
  environment_.fleet.RecordServerResult(placement_.server.id, result, now);
}

void RelayCall::FinishSend(SendEnd end, Time now) {
  RelayProgress after = progress_;
  after.time_left = deadline_ - now;
  if (end == SendEnd::kNotSent || end == SendEnd::kNotRun) {
    ++after.not_run;
  }
  const bool within_budget = MaySendAgain(after, end) &&
                             (end == SendEnd::kNotSent ||
                              environment_.fleet.TrySpendRetry(service_, now));
  ApplySendEnd(end, within_budget, now);
}

void RelayCall::ApplySendEnd(SendEnd end, bool within_budget, Time now) {
  state_ = State::kNew;
  if (end == SendEnd::kBroken) {
    ReportLost(now);
  }
  EndActivity();
  RecordHealth(end, now);
  LogSendEnd(end, now);
  if (end == SendEnd::kNotSent || end == SendEnd::kNotRun) {
    --progress_.may_have_run;
    ++progress_.not_run;
  }
  if (end == SendEnd::kNotRun && is_generation_) {
    environment_.fleet.links().MarkAbsent(placement_.server.id,
                                          {info_.model, info_.adapter});
  }
  splitter_.DropPartialEvent();
  progress_.time_left = deadline_ - now;
  TakeStep(NextStep(progress_, end, within_budget), now);
}

bool RelayCall::EndIfCrashCause(Time now) {
  const CrashCause* cause = environment_.crashes.FindCause(parts_, now);
  if (cause == nullptr) {
    return false;
  }
  LogHeldBack(*cause, now);
  expected_delay_ = cause->until - now;
  TakeStep(NextStep(progress_, SendEnd::kNotSent, false), now);
  return true;
}

bool RelayCall::EndIfRevoked(Time now) {
  const std::int64_t version = environment_.fleet.config_version();
  if (workspace_.empty() || version == key_config_version_) {
    return false;
  }
  const RouteTable& table = environment_.fleet.table();
  const CallerIdentity identity = IdentifyCaller(table, route_, info_);
  if (identity.allowed && (identity.workspace == nullptr ||
                           identity.workspace->name == workspace_)) {
    key_config_version_ = version;
    return false;
  }
  environment_.log.Write(LogLevel::kInfo, "key_revoked",
                         {{"request", info_.attempt_id},
                          {"workspace", workspace_},
                          {"config", std::to_string(version)}});
  if (progress_.answer_begun) {
    TakeStep(RelayStep::kBreakOff, now);
  } else if (progress_.may_have_run > 0) {
    TakeStep(RelayStep::kFail, now);
  } else {
    SendErrorAnswer(RelayOutcome::kUnauthorized, kUnauthorizedStatus, now);
  }
  return true;
}

void RelayCall::ReportLost(Time now) {
  LostRequest lost = {Hash64(info_.attempt_id), parts_};
  if (has_settled_) {
    lost.parts.resize(1);
  }
  if (is_generation_) {
    environment_.fleet.links().ReportLost(placement_.server.id, std::move(lost),
                                          now);
    environment_.demand_changed();
  } else {
    environment_.crash_checker.Check(placement_.server, std::move(lost));
  }
}

void RelayCall::RecordProgress(Time now) {
  if (!first_event_of_send_) {
    first_event_of_send_ = now;
  }
  if (!has_settled_ && now - *first_event_of_send_ >= kBeginningOfAnswer) {
    has_settled_ = true;
    RecordSound(std::span(parts_).subspan(1), now);
  }
}

void RelayCall::RecordSound(std::span<const PartId> parts, Time now) {
  for (const ClearedPart& cleared :
       environment_.crashes.RecordSound(parts, now)) {
    environment_.fleet.links().ReportSound(cleared, now);
    environment_.demand_changed();
  }
}

void RelayCall::RestartSilenceTimer(std::optional<Duration> limit) {
  environment_.loop.Cancel(std::exchange(silence_timer_, 0));
  if (limit) {
    silence_timer_ = environment_.loop.RunAfter(*limit, [this] {
      silence_timer_ = 0;
      OnSilence();
    });
  }
}

void RelayCall::OnSilence() {
  if (state_ != State::kSending) {
    return;
  }
  const Time now = environment_.loop.Now();
  progress_.time_left = deadline_ - now;
  if (!MaySendAgain(progress_, SendEnd::kSilent)) {
    return;
  }
  // If the server is busy, or the retry budget allows no other send, waiting
  // for a slow answer is better than giving up.
  if (IsServerBusy(now) || !environment_.fleet.TrySpendRetry(service_, now)) {
    RestartSilenceTimer(kSilenceExtension);
    return;
  }
  // Closing the connection makes the server stop its work on the request.
  environment_.upstream.Cancel(std::exchange(call_, 0));
  ApplySendEnd(SendEnd::kSilent, true, now);
}

bool RelayCall::IsServerBusy(Time now) const {
  if (!is_generation_) {
    return false;
  }
  const EngineSnapshot* snapshot =
      environment_.fleet.links().Snapshot(placement_.server.id, now);
  return snapshot != nullptr && snapshot->reachable &&
         IsLikelyBusy(snapshot->running);
}

void RelayCall::OnDeadline() {
  deadline_timer_ = 0;
  const Time now = environment_.loop.Now();
  progress_.time_left = Duration::zero();
  if (state_ == State::kWaiting) {
    StopWaiting();
    TakeStep(NextStep(progress_, SendEnd::kNotSent, false), now);
    return;
  }
  environment_.upstream.Cancel(std::exchange(call_, 0));
  FinishSend(SendEnd::kSilent, now);
}

void RelayCall::OnCallerGone() {
  if (state_ == State::kDone) {
    return;
  }
  StopWaiting();
  if (state_ == State::kSending) {
    environment_.upstream.Cancel(std::exchange(call_, 0));
    EndActivity();
  }
  Done(RelayOutcome::kCallerGone, 0, environment_.loop.Now());
}

void RelayCall::TakeStep(RelayStep step, Time now) {
  switch (step) {
    case RelayStep::kSendAgain:
      Place(now);
      return;
    case RelayStep::kPassOn: {
      const int status = head_.status;
      responder_->Send(std::move(head_));
      Done(RelayOutcome::kAnswered, status, now);
      return;
    }
    case RelayStep::kRefuse:
      SendErrorAnswer(RelayOutcome::kRefused, kServiceUnavailable, now);
      return;
    case RelayStep::kFail:
      SendErrorAnswer(RelayOutcome::kFailed, kBadGateway, now);
      return;
    case RelayStep::kTimeOut:
      SendErrorAnswer(RelayOutcome::kTimedOut, kGatewayTimeout, now);
      return;
    case RelayStep::kBreakOff:
      responder_->Abort();
      Done(RelayOutcome::kBrokenOff, kOk, now);
      return;
  }
}

void RelayCall::SendErrorAnswer(RelayOutcome outcome, int status, Time now) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  if (outcome == RelayOutcome::kRefused) {
    response.headers.push_back(
        {"Retry-After", FormatSeconds(paused_for_.value_or(
                            RetryAfter(expected_delay_, deadline_ - now)))});
  }
  const bool not_run = outcome == RelayOutcome::kRefused ||
                       outcome == RelayOutcome::kUnauthorized;
  response.body = std::string(R"({"error":{"code":")") +
                  std::string(RelayOutcomeName(outcome)) + R"(","outcome":")" +
                  (not_run ? "not_run" : "unknown") + R"("}})";
  responder_->Send(std::move(response));
  Done(outcome, status, now);
}

void RelayCall::Done(RelayOutcome outcome, int status, Time now) {
  state_ = State::kDone;
  environment_.loop.Cancel(std::exchange(deadline_timer_, 0));
  environment_.loop.Cancel(std::exchange(silence_timer_, 0));
  LogRequestEnd(outcome, status, now);
  RelayResult result;
  result.outcome = outcome;
  result.status = status;
  result.service = service_;
  result.duration = now - started_;
  result.may_have_run = progress_.may_have_run > 0;
  result.workspace = workspace_;
  result.quota_cost = quota_cost_;
  on_done_(result);
}

}  // namespace amaranthcove
