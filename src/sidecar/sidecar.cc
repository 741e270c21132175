#include "amaranthcove/sidecar/sidecar.h"

#include <utility>
#include <vector>

#include "amaranthcove/operations/operation_id.h"
#include "amaranthcove/service_document/document_validator.h"
#include "amaranthcove/wire/document_codec.h"

namespace amaranthcove {

namespace {

// Maximum size of the data in one chunk. Longer pieces are split, so that a
// frame stays well below the frame size limit and one answer does not delay the
// others on the connection.
constexpr std::size_t kMaxChunkBytes = 256 << 10;

}  // namespace

Sidecar::Sidecar(PeerContext& context,
                 const SidecarOptions& options,
                 const BackendFactory& make_backend)
    : context_(context), options_(options), backend_(make_backend(*this)) {
  context_.fill_heartbeat = [this](wire::Heartbeat& heartbeat) {
    heartbeat.__set_report(Report(""));
  };
}

Sidecar::~Sidecar() {
  for (auto& [attempt, answer] : answers_) {
    context_.loop.Cancel(answer.expiry);
  }
}

Status Sidecar::Start() {
  auto listener =
      TcpListener::Listen(context_.loop, options_.peer_address,
                          [this](std::unique_ptr<TcpConnection> connection) {
                            OnAccept(std::move(connection));
                          });
  if (!listener) {
    return tl::unexpected<Error>(listener.error());
  }
  listener_ = std::move(*listener);
  context_.self.peer_address = FormatAddress(listener_->local_address());
  backend_->Start();
  return {};
}

void Sidecar::OnAccept(std::unique_ptr<TcpConnection> connection) {
  links_.push_back(std::make_unique<Link>());
  Link* link = links_.back().get();
  link->connection = PeerConnection::Accept(
      context_, std::move(connection),
      {[this, link](const wire::Hello&) { OnLinkReady(*link); },
       [this, link](const wire::Frame& frame) { OnFrame(*link, frame); },
       [this, link](PeerCloseReason) { OnLinkClosed(link); }});
}

void Sidecar::OnLinkReady(Link& link) {
  const wire::Hello& remote = link.connection->remote();
  link.entry = {remote.instance, remote.incarnation};
  link_by_entry_[link.entry] = &link;
  UpdateBusy(link.entry);
  if (leaving_) {
    wire::Frame frame;
    wire::Leaving leaving;
    leaving.instance = context_.self.instance;
    frame.__set_leaving(leaving);
    link.connection->Send(frame);
  }
}

void Sidecar::OnLinkClosed(Link* link) {
  const auto current = link_by_entry_.find(link->entry);
  if (current != link_by_entry_.end() && current->second == link) {
    link_by_entry_.erase(current);
    for (auto& [attempt, answer] : answers_) {
      if (EntryKey(attempt.instance, attempt.incarnation) == link->entry) {
        answer.attached = false;
        SetExpiry(attempt, answer, options_.orphan_timeout);
      }
    }
  }
  std::erase_if(links_, [&](const auto& entry) { return entry.get() == link; });
}

void Sidecar::OnFrame(Link& link, const wire::Frame& frame) {
  if (frame.__isset.submit) {
    OnSubmit(link, frame.submit);
  } else if (frame.__isset.acknowledge) {
    OnAcknowledge(frame.acknowledge);
  } else if (frame.__isset.cancel) {
    OnCancel(link, frame.cancel);
  } else if (frame.__isset.resume) {
    OnResume(link, frame.resume);
  } else if (frame.__isset.issue_operation) {
    OnIssueOperation(link, frame.issue_operation);
  } else if (frame.__isset.document) {
    OnDocument(frame.document);
  } else if (frame.__isset.suspect) {
    backend_->OnSuspectReport(frame.suspect, context_.loop.Now());
  } else if (frame.__isset.leaving_notice &&
             frame.leaving_notice.instance == context_.self.instance) {
    Leave();
  }
}

void Sidecar::OnSubmit(Link& link, const wire::Submit& submit) {
  const Time now = context_.loop.Now();
  const AttemptId attempt = wire::FromWire(submit.attempt);
  // An entry may submit only its own attempts.
  if (EntryKey(attempt.instance, attempt.incarnation) != link.entry) {
    return;
  }
  const AdmitResult admitted =
      attempts_.Admit(attempt, submit.low_water_mark, now);
  if (admitted.decision == AdmitDecision::kDuplicate) {
    ++counters_.duplicates;
    return;
  }
  if (admitted.decision == AdmitDecision::kRefused) {
    ++counters_.late_copies;
    if (admitted.outcome == Outcome::kNotRun) {
      SendRefused(link, attempt,
                  {"attempt_over", "The attempt is over.", Duration(0)});
    } else {
      SendLost(link, attempt, "answer_lost");
    }
    return;
  }
  ++counters_.submitted;
  if (!IsForThisBackend(submit)) {
    attempts_.Refuse(attempt, now);
    RefuseOtherService(link, submit);
    return;
  }
  if (submit.operation_id.empty() && !CheckDocument(link, submit)) {
    attempts_.Refuse(attempt, now);
    SendRefused(link, attempt,
                {"stale_document", "A newer service document is in force.",
                 Duration(0)});
    return;
  }
  Answer& answer =
      answers_.try_emplace(attempt, options_.answer_buffer_bytes).first->second;
  answer.model = submit.model;
  ++answers_by_entry_[link.entry];
  UpdateBusy(link.entry);
  WorkItem work{attempt, submit, now,
                now + std::chrono::milliseconds(submit.remaining_ms)};
  if (leaving_) {
    backend_->SubmitWhileLeaving(std::move(work));
  } else {
    backend_->Submit(std::move(work));
  }
}

bool Sidecar::IsForThisBackend(const wire::Submit& submit) const {
  const wire::Backend& offer = context_.self.backend;
  if (offer.kind == "plain") {
    return submit.team == offer.team &&
           submit.service_name == offer.service_name;
  }
  return submit.operation_id.empty() && submit.service_name.empty();
}

void Sidecar::RefuseOtherService(Link& link, const wire::Submit& submit) {
  const AttemptId attempt = wire::FromWire(submit.attempt);
  const Result<OperationId> id = ParseOperationId(submit.operation_id);
  if (id && id->incarnation != context_.self.incarnation) {
    SendLost(link, attempt, "operation_lost");
    return;
  }
  SendRefused(link, attempt,
              {"wrong_service",
               "The backend server, or the operation id, belongs to another "
               "service.",
               Duration(0)});
}

bool Sidecar::CheckDocument(Link& link, const wire::Submit& submit) {
  const DocumentState* known = documents_.Find(submit.team);
  const std::int64_t in_force = known == nullptr ? 0 : known->in_force.revision;
  wire::Frame frame;
  if (submit.document_revision > in_force) {
    wire::DocumentsRequest request;
    request.__set_team(submit.team);
    for (const KnownRevision& revision : documents_.Revisions()) {
      if (revision.team == submit.team) {
        request.known.push_back(wire::ToWire(revision));
      }
    }
    frame.__set_documents_request(request);
    link.connection->Send(frame);
  } else if (submit.document_revision < in_force) {
    ++counters_.stale_documents;
    frame.__set_document(wire::ToWire(known->in_force));
    link.connection->Send(frame);
    return false;
  }
  return true;
}

void Sidecar::OnDocument(const wire::Document& document) {
  documents_.Adopt(wire::FromWire(document), &ValidateServiceDocument,
                   context_.loop.Now());
}

void Sidecar::OnResume(Link& link, const wire::Resume& resume) {
  const AttemptId attempt = wire::FromWire(resume.attempt);
  const auto found = answers_.find(attempt);
  if (found == answers_.end()) {
    const Outcome outcome = attempts_.Cancel(attempt, context_.loop.Now());
    if (outcome == Outcome::kNotRun) {
      SendRefused(link, attempt,
                  {"not_received", "The request did not arrive.", Duration(0)});
    } else {
      SendLost(link, attempt, "answer_lost");
    }
    return;
  }
  ++counters_.resumed;
  Answer& answer = found->second;
  context_.loop.Cancel(std::exchange(answer.expiry, 0));
  const auto missing = answer.chunks.ReplayFrom(resume.next_sequence);
  if (!missing) {
    Abandon(attempt);
    return;
  }
  answer.attached = true;
  for (const BufferedChunk& chunk : *missing) {
    SendChunk(attempt, answer, chunk.sequence, chunk.data);
  }
  if (answer.last_frame) {
    SendToEntry(attempt, *answer.last_frame);
    SetExpiry(attempt, answer, options_.answer_retention);
  }
}

void Sidecar::OnCancel(Link& link, const wire::Cancel& cancel) {
  const Time now = context_.loop.Now();
  const AttemptId attempt = wire::FromWire(cancel.attempt);
  if (EntryKey(attempt.instance, attempt.incarnation) != link.entry) {
    return;
  }
  ++counters_.cancelled;
  Outcome outcome = Outcome::kUnknown;
  const auto found = answers_.find(attempt);
  if (found == answers_.end()) {
    outcome = attempts_.Cancel(attempt, now);
  } else {
    if (!found->second.last_frame) {
      outcome = backend_->Cancel(attempt);
    }
    RecordOutcome(attempt, outcome);
    RemoveAnswer(attempt);
  }
  wire::Cancelled cancelled;
  cancelled.attempt = cancel.attempt;
  cancelled.outcome = std::string(OutcomeName(outcome));
  wire::Frame frame;
  frame.__set_cancelled(cancelled);
  link.connection->Send(frame);
}

void Sidecar::OnAcknowledge(const wire::Acknowledge& acknowledge) {
  const AttemptId attempt = wire::FromWire(acknowledge.attempt);
  const auto found = answers_.find(attempt);
  if (found == answers_.end()) {
    return;
  }
  Answer& answer = found->second;
  // A number above the count of chunks also acknowledges the last frame.
  if (answer.last_frame &&
      acknowledge.next_sequence > answer.chunks.next_sequence()) {
    RemoveAnswer(attempt);
    return;
  }
  answer.chunks.Acknowledge(acknowledge.next_sequence);
}

void Sidecar::OnIssueOperation(Link& link, const wire::IssueOperation& issue) {
  wire::OperationIssued issued;
  issued.call = issue.call;
  if (leaving_) {
    issued.code = "leaving";
  } else {
    issued.operation_id = backend_->IssueOperation(context_.loop.Now());
    issued.code = issued.operation_id.empty() ? "operations_full" : "";
  }
  wire::Frame frame;
  frame.__set_operation_issued(issued);
  link.connection->Send(frame);
}

void Sidecar::OnHead(const AttemptId& attempt,
                     int status,
                     std::string_view content_type) {
  const auto found = answers_.find(attempt);
  if (found == answers_.end()) {
    return;
  }
  found->second.status = status;
  found->second.content_type = content_type;
}

void Sidecar::OnData(const AttemptId& attempt, std::string_view data) {
  const auto found = answers_.find(attempt);
  if (found == answers_.end()) {
    return;
  }
  Answer& answer = found->second;
  do {
    const std::string_view piece = data.substr(0, kMaxChunkBytes);
    data.remove_prefix(piece.size());
    const std::int64_t sequence = answer.chunks.Append(std::string(piece));
    if (answer.attached) {
      SendChunk(attempt, answer, sequence, piece);
    }
  } while (!data.empty());
}

void Sidecar::SendChunk(const AttemptId& attempt,
                        const Answer& answer,
                        std::int64_t sequence,
                        std::string_view data) {
  wire::Chunk& chunk = chunk_frame_.chunk;
  chunk_frame_.__isset.chunk = true;
  chunk.attempt.instance = attempt.instance;
  chunk.attempt.incarnation = attempt.incarnation;
  chunk.attempt.number = attempt.number;
  chunk.sequence = sequence;
  chunk.data = data;
  const bool has_head = sequence == 0;
  chunk.__isset.status = has_head;
  chunk.__isset.content_type = has_head;
  if (has_head) {
    chunk.status = answer.status;
    chunk.content_type = answer.content_type;
  }
  SendToEntry(attempt, chunk_frame_);
}

void Sidecar::OnEnd(const AttemptId& attempt, const WorkResult& end) {
  const auto found = answers_.find(attempt);
  if (found == answers_.end()) {
    return;
  }
  wire::AnswerEnd wire_end;
  wire_end.attempt = wire::ToWire(attempt);
  wire_end.chunks = found->second.chunks.next_sequence();
  wire_end.error_code = end.error_code;
  wire_end.message = end.message;
  wire_end.outcome = std::string(OutcomeName(end.outcome));
  wire_end.report = Report(found->second.model);
  wire_end.load_stall_ms = ToMilliseconds(end.load_stall);
  wire_end.queue_ms = ToMilliseconds(end.queued);
  wire_end.engine_crashed = end.engine_crashed;
  wire::Frame frame;
  frame.__set_answer_end(wire_end);
  RecordOutcome(attempt, end.outcome);
  Finish(attempt, found->second, frame);
}

void Sidecar::OnRefused(const AttemptId& attempt, const WorkRefusal& refusal) {
  const auto found = answers_.find(attempt);
  if (found == answers_.end()) {
    return;
  }
  RecordOutcome(attempt, Outcome::kNotRun);
  wire::Refused refused;
  refused.attempt = wire::ToWire(attempt);
  refused.code = refusal.code;
  refused.message = refusal.message;
  refused.retry_after_ms = ToMilliseconds(refusal.retry_after);
  refused.report = Report(found->second.model);
  wire::Frame frame;
  frame.__set_refused(refused);
  Finish(attempt, found->second, frame);
}

void Sidecar::Finish(const AttemptId& attempt,
                     Answer& answer,
                     const wire::Frame& last_frame) {
  if (answer.attached) {
    SendToEntry(attempt, last_frame);
  }
  answer.last_frame = last_frame;
  SetExpiry(attempt, answer, options_.answer_retention);
}

void Sidecar::SendRefused(Link& link,
                          const AttemptId& attempt,
                          const WorkRefusal& refusal) {
  wire::Refused refused;
  refused.attempt = wire::ToWire(attempt);
  refused.code = refusal.code;
  refused.message = refusal.message;
  refused.retry_after_ms = ToMilliseconds(refusal.retry_after);
  refused.report = Report("");
  wire::Frame frame;
  frame.__set_refused(refused);
  link.connection->Send(frame);
}

void Sidecar::SendLost(Link& link,
                       const AttemptId& attempt,
                       std::string_view code) {
  wire::AnswerEnd end;
  end.attempt = wire::ToWire(attempt);
  end.error_code = code;
  end.message = "The answer is no longer available.";
  end.outcome = std::string(OutcomeName(Outcome::kUnknown));
  end.report = Report("");
  wire::Frame frame;
  frame.__set_answer_end(end);
  link.connection->Send(frame);
}

void Sidecar::SetExpiry(const AttemptId& attempt,
                        Answer& answer,
                        Duration delay) {
  context_.loop.Cancel(answer.expiry);
  answer.expiry = context_.loop.RunAfter(delay, [this, attempt] {
    answers_.at(attempt).expiry = 0;
    Abandon(attempt);
  });
}

void Sidecar::Abandon(const AttemptId& attempt) {
  const auto found = answers_.find(attempt);
  if (!found->second.last_frame) {
    ++counters_.orphaned;
    const Outcome outcome = backend_->Cancel(attempt);
    RecordOutcome(attempt, outcome);
  }
  RemoveAnswer(attempt);
}

void Sidecar::RecordOutcome(const AttemptId& attempt, Outcome outcome) {
  const Time now = context_.loop.Now();
  if (outcome == Outcome::kNotRun) {
    attempts_.Refuse(attempt, now);
  } else {
    attempts_.MarkRunning(attempt);
    attempts_.Finish(attempt, outcome, now);
  }
}

void Sidecar::RemoveAnswer(const AttemptId& attempt) {
  const auto found = answers_.find(attempt);
  if (found == answers_.end()) {
    return;
  }
  context_.loop.Cancel(found->second.expiry);
  answers_.erase(found);
  const EntryKey entry(attempt.instance, attempt.incarnation);
  const auto count = answers_by_entry_.find(entry);
  if (--count->second == 0) {
    answers_by_entry_.erase(count);
  }
  UpdateBusy(entry);
  CheckDrained();
}

void Sidecar::SendToEntry(const AttemptId& attempt, const wire::Frame& frame) {
  const auto link =
      link_by_entry_.find(EntryKey(attempt.instance, attempt.incarnation));
  if (link != link_by_entry_.end()) {
    link->second->connection->Send(frame);
  }
}

void Sidecar::Broadcast(const wire::Frame& frame) {
  for (const auto& [entry, link] : link_by_entry_) {
    link->connection->Send(frame);
  }
}

void Sidecar::OnSuspect(const wire::Suspect& suspect) {
  wire::Frame frame;
  frame.__set_suspect(suspect);
  Broadcast(frame);
}

void Sidecar::OnSuperseded() {
  Leave();
}

void Sidecar::Leave() {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  wire::Leaving leaving;
  leaving.instance = context_.self.instance;
  wire::Frame frame;
  frame.__set_leaving(leaving);
  Broadcast(frame);
  CheckDrained();
}

bool Sidecar::drained() const {
  return answers_.empty() && backend_->active() == 0;
}

void Sidecar::CheckDrained() {
  if (leaving_ && drained() && on_drained_) {
    on_drained_();
  }
}

void Sidecar::UpdateBusy(const EntryKey& entry) {
  const auto link = link_by_entry_.find(entry);
  if (link != link_by_entry_.end()) {
    link->second->connection->SetBusy(answers_by_entry_.contains(entry));
  }
}

wire::ServerReport Sidecar::Report(std::string_view model) const {
  wire::ServerReport report = backend_->Report(model, context_.loop.Now());
  report.leaving = leaving_;
  return report;
}

nlohmann::json Sidecar::Dump(Time now) const {
  nlohmann::json documents = nlohmann::json::object();
  for (const auto& [team, state] : documents_.states()) {
    documents[team] = {{"revision", state.in_force.revision},
                       {"newest_revision", state.newest_revision()}};
  }
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [entry, link] : link_by_entry_) {
    entries.push_back(entry.first);
  }
  return {{"role", "sidecar"},
          {"instance", context_.self.instance},
          {"incarnation", context_.self.incarnation},
          {"leaving", leaving_},
          {"answers", answers_.size()},
          {"entries", entries},
          {"documents", documents},
          {"backend", backend_->Dump(now)},
          {"counters",
           {{"submitted", counters_.submitted},
            {"duplicates", counters_.duplicates},
            {"late_copies", counters_.late_copies},
            {"resumed", counters_.resumed},
            {"orphaned", counters_.orphaned},
            {"cancelled", counters_.cancelled},
            {"stale_documents", counters_.stale_documents},
            {"frames_sent", context_.counters.frames_sent},
            {"frames_received", context_.counters.frames_received},
            {"bytes_sent", context_.counters.bytes_sent},
            {"bytes_received", context_.counters.bytes_received},
            {"bad_frames", context_.counters.bad_frames},
            {"unknown_frames", context_.counters.unknown_frames},
            {"failed_handshakes", context_.counters.failed_handshakes}}}};
}

}  // namespace amaranthcove
