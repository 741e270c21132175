#include "amaranthcove/entry/sidecar_links.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "amaranthcove/policy/admission.h"

namespace amaranthcove {

namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(30);

}  // namespace

SidecarLinks::SidecarLinks(PeerContext& context,
                           const SidecarLinksSettings& settings,
                           SidecarEvents events)
    : context_(context),
      settings_(settings),
      events_(std::move(events)),
      random_{static_cast<std::uint64_t>(context.self.incarnation)} {
  SweepIdleLinks();
}

SidecarLinks::~SidecarLinks() {
  context_.loop.Cancel(sweep_timer_);
  for (auto& [instance, link] : links_) {
    context_.loop.Cancel(link.reconnect_timer);
  }
  for (auto& [id, attempt] : attempts_) {
    context_.loop.Cancel(attempt.cancel_timer);
  }
  for (auto& [number, call] : issue_calls_) {
    context_.loop.Cancel(call.timer);
  }
}

AttemptId SidecarLinks::NewAttempt() {
  const std::int64_t number = next_number_++;
  unsent_.insert(number);
  return {context_.self.instance, context_.self.incarnation, number};
}

std::int64_t SidecarLinks::LowWaterMark() const {
  return unsent_.empty() ? next_number_ : *unsent_.begin();
}

SidecarLinks::Link& SidecarLinks::GetOrCreateLink(const std::string& instance,
                                                  const Address& address) {
  const auto found = links_.find(instance);
  if (found != links_.end() && found->second.address != address &&
      found->second.advertised_address != address) {
    DetachLink(instance);
  }
  Link& link = links_[instance];
  link.last_used = context_.loop.Now();
  if (link.connection == nullptr && link.reconnect_timer == 0) {
    link.address = address;
    link.broken_since = context_.loop.Now();
    Connect(instance, link);
  }
  return link;
}

void SidecarLinks::DetachLink(const std::string& instance) {
  auto node = links_.extract(instance);
  Link& link = node.mapped();
  if (link.pending == 0) {
    context_.loop.Cancel(link.reconnect_timer);
    return;
  }
  // Instance names cannot contain `#`, so the key is unique.
  const std::string key = instance + "#" + std::to_string(++links_detached_);
  for (auto& [id, attempt] : attempts_) {
    if (attempt.instance == instance) {
      attempt.instance = key;
    }
  }
  for (auto& [number, call] : issue_calls_) {
    if (call.instance == instance) {
      call.instance = key;
    }
  }
  *link.key = key;
  node.key() = key;
  links_.insert(std::move(node));
}

void SidecarLinks::Connect(const std::string& instance, Link& link) {
  if (link.key == nullptr) {
    link.key = std::make_shared<std::string>(instance);
  }
  link.connection = PeerConnection::Connect(
      context_, link.address,
      {[this, key = link.key](const wire::Hello& remote) {
         OnReady(std::string(*key), remote);
       },
       [this, key = link.key](const wire::Frame& frame) {
         OnFrame(std::string(*key), frame);
       },
       [this, key = link.key](PeerCloseReason reason) {
         OnClosed(std::string(*key), reason);
       }});
}

void SidecarLinks::Submit(const std::string& instance,
                          const Address& address,
                          const wire::Submit& submit,
                          Time deadline,
                          AttemptObserver* observer) {
  const AttemptId id = wire::FromWire(submit.attempt);
  Attempt& attempt = attempts_[id];
  attempt.instance = instance;
  attempt.submit = submit;
  attempt.deadline = deadline;
  attempt.observer = observer;
  Link& link = GetOrCreateLink(instance, address);
  ++link.pending;
  if (link.connection != nullptr && link.connection->ready()) {
    SendSubmit(link, attempt);
  }
}

void SidecarLinks::SendSubmit(Link& link, Attempt& attempt) {
  attempt.sent = true;
  attempt.sent_to_incarnation = link.incarnation;
  unsent_.erase(attempt.submit.attempt.number);
  attempt.submit.low_water_mark =
      std::min(LowWaterMark(), attempt.submit.attempt.number);
  attempt.submit.remaining_ms =
      std::max<std::int64_t>(0, ToMilliseconds(attempt.deadline - SteadyNow()));
  wire::Frame frame;
  frame.__set_submit(attempt.submit);
  link.connection->Send(frame);
  link.connection->SetBusy(true);
  // The body is never sent again; a resume needs only the id.
  attempt.submit.body.clear();
}

void SidecarLinks::SendResume(Link& link, const Attempt& attempt) {
  wire::Resume resume;
  resume.attempt = attempt.submit.attempt;
  resume.next_sequence = attempt.receiver.next_sequence();
  wire::Frame frame;
  frame.__set_resume(resume);
  link.connection->Send(frame);
}

void SidecarLinks::SendCancel(Link& link, const Attempt& attempt) {
  wire::Cancel cancel;
  cancel.attempt = attempt.submit.attempt;
  wire::Frame frame;
  frame.__set_cancel(cancel);
  link.connection->Send(frame);
}

void SidecarLinks::SendAcknowledge(const Attempt& attempt,
                                   std::int64_t next_sequence) {
  const auto link = links_.find(attempt.instance);
  if (link == links_.end() || link->second.connection == nullptr) {
    return;
  }
  wire::Acknowledge acknowledge;
  acknowledge.attempt = attempt.submit.attempt;
  acknowledge.next_sequence = next_sequence;
  wire::Frame frame;
  frame.__set_acknowledge(acknowledge);
  link->second.connection->Send(frame);
}

void SidecarLinks::OnReady(const std::string& instance,
                           const wire::Hello& remote) {
  Link& link = links_[instance];
  link.incarnation = remote.incarnation;
  link.advertised_address =
      ParseAddress(remote.peer_address).value_or(Address());
  link.reconnect_delay = Duration(0);
  events_.on_hello(remote);
  if (link.leaving_notice) {
    NotifyLeaving(instance, link.address);
  }
  std::vector<AttemptId> lost;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.instance != instance) {
      continue;
    }
    if (!attempt.sent) {
      SendSubmit(link, attempt);
    } else if (attempt.sent_to_incarnation != link.incarnation) {
      lost.push_back(id);
    } else if (attempt.observer == nullptr) {
      SendCancel(link, attempt);
    } else {
      SendResume(link, attempt);
    }
  }
  for (auto& [number, call] : issue_calls_) {
    if (call.instance == instance) {
      SendIssue(link, call);
    }
  }
  link.connection->SetBusy(link.pending > 0);
  for (const AttemptId& id : lost) {
    if (AttemptObserver* observer = Remove(id)) {
      observer->OnLost("sidecar_lost");
    }
  }
}

void SidecarLinks::OnClosed(const std::string& instance,
                            PeerCloseReason reason) {
  Link& link = links_[instance];
  const bool never_ready = reason == PeerCloseReason::kConnectFailed ||
                           reason == PeerCloseReason::kHandshakeFailed;
  // A callback of the connection is running, so destroy it later.
  context_.loop.RunAfter(Duration(0), [closed = std::shared_ptr<PeerConnection>(
                                           std::move(link.connection))] {});
  if (!never_ready) {
    link.broken_since = context_.loop.Now();
  }
  if (reason == PeerCloseReason::kSilent) {
    events_.on_silence(instance);
  } else {
    events_.on_connect_failed(instance);
  }
  if (never_ready) {
    FailAttempts(instance, true);
    FailIssueCalls(instance);
  }
  Reconnect(instance, links_[instance]);
}

void SidecarLinks::Reconnect(const std::string& instance, Link& link) {
  if (link.connection != nullptr || link.reconnect_timer != 0) {
    return;
  }
  if (link.pending == 0) {
    links_.erase(instance);
    return;
  }
  const Time now = context_.loop.Now();
  if (now - link.broken_since > settings_.resume_timeout) {
    FailAttempts(instance, false);
    return;
  }
  link.reconnect_delay =
      std::clamp(link.reconnect_delay * 2, settings_.first_reconnect_delay,
                 settings_.max_reconnect_delay);
  const double jitter = 0.5 + random_.NextUnit() / 2;
  const auto delay =
      std::chrono::duration_cast<Duration>(link.reconnect_delay * jitter);
  link.reconnect_timer = context_.loop.RunAfter(delay, [this, key = link.key] {
    Link& waiting = links_[*key];
    waiting.reconnect_timer = 0;
    Connect(*key, waiting);
  });
}

void SidecarLinks::FailAttempts(const std::string& instance, bool only_unsent) {
  std::vector<AttemptId> lost;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.instance == instance && !(only_unsent && attempt.sent)) {
      lost.push_back(id);
    }
  }
  for (const AttemptId& id : lost) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      continue;
    }
    const bool sent = found->second.sent;
    wire::Refused refused;
    refused.attempt = found->second.submit.attempt;
    refused.code = "sidecar_unreachable";
    refused.message = "The backend server could not be reached.";
    AttemptObserver* observer = Remove(id);
    if (observer == nullptr) {
      continue;
    }
    if (sent) {
      observer->OnLost("sidecar_lost");
    } else {
      observer->OnRefused(refused);
    }
  }
}

void SidecarLinks::FailIssueCalls(const std::string& instance) {
  std::vector<std::int64_t> failed;
  for (const auto& [number, call] : issue_calls_) {
    if (call.instance == instance) {
      failed.push_back(number);
    }
  }
  for (const std::int64_t number : failed) {
    FinishIssue(number, "");
  }
}

void SidecarLinks::OnFrame(const std::string& instance,
                           const wire::Frame& frame) {
  if (frame.__isset.chunk) {
    OnChunk(frame.chunk);
  } else if (frame.__isset.answer_end) {
    events_.on_report(instance, frame.answer_end.report);
    OnEnd(frame.answer_end);
  } else if (frame.__isset.refused) {
    events_.on_report(instance, frame.refused.report);
    OnRefused(frame.refused);
  } else if (frame.__isset.cancelled) {
    OnCancelled(frame.cancelled);
  } else if (frame.__isset.operation_issued) {
    OnIssued(frame.operation_issued);
  } else if (frame.__isset.heartbeat) {
    if (frame.heartbeat.__isset.report) {
      events_.on_report(instance, frame.heartbeat.report);
    }
  } else if (frame.__isset.leaving) {
    events_.on_leaving(instance, links_[instance].incarnation);
  } else if (frame.__isset.document) {
    events_.on_document(frame.document);
  } else if (frame.__isset.documents_request) {
    events_.on_documents_request(frame.documents_request,
                                 *links_[instance].connection);
  } else if (frame.__isset.suspect) {
    events_.on_suspect(frame.suspect);
  }
}

SidecarLinks::Attempt* SidecarLinks::Find(const wire::AttemptId& id) {
  const auto found = attempts_.find(wire::FromWire(id));
  return found == attempts_.end() ? nullptr : &found->second;
}

void SidecarLinks::OnChunk(const wire::Chunk& chunk) {
  Attempt* attempt = Find(chunk.attempt);
  if (attempt == nullptr || attempt->observer == nullptr) {
    return;
  }
  const ReceiveResult result = attempt->receiver.Accept(chunk.sequence);
  if (result == ReceiveResult::kDeliver) {
    const std::int64_t next = attempt->receiver.next_sequence();
    if (next - attempt->acknowledged >= settings_.acknowledge_every) {
      attempt->acknowledged = next;
      SendAcknowledge(*attempt, next);
    }
    attempt->observer->OnChunk(chunk);
  } else if (result == ReceiveResult::kBroken) {
    const AttemptId id = wire::FromWire(chunk.attempt);
    const auto link = links_.find(attempt->instance);
    if (link != links_.end() && link->second.connection != nullptr) {
      SendCancel(link->second, *attempt);
    }
    if (AttemptObserver* observer = Remove(id)) {
      observer->OnLost("answer_broken");
    }
  }
}

void SidecarLinks::OnEnd(const wire::AnswerEnd& end) {
  Attempt* attempt = Find(end.attempt);
  if (attempt == nullptr) {
    return;
  }
  SendAcknowledge(*attempt, end.chunks + 1);
  const bool whole = !end.error_code.empty() ||
                     attempt->receiver.End(end.chunks) == ReceiveResult::kWhole;
  // The response may have ended before the cancel reached the sidecar.
  const Outcome outcome =
      end.error_code.empty() ? Outcome::kCompleted : Outcome::kUnknown;
  AttemptObserver* observer = Remove(wire::FromWire(end.attempt), outcome);
  if (observer == nullptr) {
    return;
  }
  if (whole) {
    observer->OnEnd(end);
  } else {
    observer->OnLost("answer_broken");
  }
}

void SidecarLinks::OnRefused(const wire::Refused& refused) {
  Attempt* attempt = Find(refused.attempt);
  if (attempt == nullptr) {
    return;
  }
  SendAcknowledge(*attempt, 1);
  AttemptObserver* observer =
      Remove(wire::FromWire(refused.attempt), Outcome::kNotRun);
  if (observer != nullptr) {
    observer->OnRefused(refused);
  }
}

void SidecarLinks::Cancel(const AttemptId& id,
                          Duration timeout,
                          std::function<void(Outcome)> done) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || !found->second.sent) {
    const Outcome outcome =
        found == attempts_.end() ? Outcome::kUnknown : Outcome::kNotRun;
    Remove(id);
    if (done) {
      context_.loop.RunAfter(
          Duration(0), [outcome, done = std::move(done)] { done(outcome); });
    }
    return;
  }
  Attempt& attempt = found->second;
  attempt.observer = nullptr;
  attempt.on_cancelled = std::move(done);
  attempt.cancel_timer = context_.loop.RunAfter(timeout, [this, id] {
    attempts_.at(id).cancel_timer = 0;
    Remove(id);
  });
  Link& link = links_[attempt.instance];
  if (link.connection != nullptr && link.connection->ready()) {
    SendCancel(link, attempt);
  }
}

void SidecarLinks::OnCancelled(const wire::Cancelled& cancelled) {
  Attempt* attempt = Find(cancelled.attempt);
  if (attempt == nullptr || attempt->observer != nullptr) {
    return;
  }
  const bool not_run = cancelled.outcome == OutcomeName(Outcome::kNotRun);
  Remove(wire::FromWire(cancelled.attempt),
         not_run ? Outcome::kNotRun : Outcome::kUnknown);
}

AttemptObserver* SidecarLinks::Remove(const AttemptId& id, Outcome outcome) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return nullptr;
  }
  context_.loop.Cancel(found->second.cancel_timer);
  AttemptObserver* observer = found->second.observer;
  if (found->second.on_cancelled) {
    // The callback of `Cancel` runs however the attempt is removed.
    context_.loop.RunAfter(
        Duration(0), [outcome, done = std::move(found->second.on_cancelled)] {
          done(outcome);
        });
  }
  const auto link = links_.find(found->second.instance);
  attempts_.erase(found);
  unsent_.erase(id.number);
  if (link != links_.end() && --link->second.pending == 0 &&
      link->second.connection != nullptr) {
    link->second.connection->SetBusy(false);
  }
  return observer;
}

void SidecarLinks::IssueOperation(
    const std::string& instance,
    const Address& address,
    const std::string& team,
    const std::string& service,
    Duration timeout,
    std::function<void(const std::string&)> done) {
  const std::int64_t number = next_issue_++;
  IssueCall& call = issue_calls_[number];
  call.instance = instance;
  call.issue.call = number;
  call.issue.team = team;
  call.issue.service_name = service;
  call.done = std::move(done);
  call.timer = context_.loop.RunAfter(timeout, [this, number] {
    issue_calls_[number].timer = 0;
    FinishIssue(number, "");
  });
  Link& link = GetOrCreateLink(instance, address);
  ++link.pending;
  if (link.connection != nullptr && link.connection->ready()) {
    SendIssue(link, call);
  }
}

void SidecarLinks::SendIssue(Link& link, IssueCall& call) {
  wire::Frame frame;
  frame.__set_issue_operation(call.issue);
  link.connection->Send(frame);
  link.connection->SetBusy(true);
}

void SidecarLinks::OnIssued(const wire::OperationIssued& issued) {
  FinishIssue(issued.call, issued.operation_id);
}

void SidecarLinks::FinishIssue(std::int64_t number, const std::string& id) {
  const auto found = issue_calls_.find(number);
  if (found == issue_calls_.end()) {
    return;
  }
  IssueCall call = std::move(found->second);
  issue_calls_.erase(found);
  context_.loop.Cancel(call.timer);
  const auto link = links_.find(call.instance);
  if (link != links_.end() && --link->second.pending == 0 &&
      link->second.connection != nullptr) {
    link->second.connection->SetBusy(false);
  }
  call.done(id);
}

void SidecarLinks::Broadcast(const wire::Frame& frame) {
  for (auto& [instance, link] : links_) {
    if (link.connection != nullptr) {
      link.connection->Send(frame);
    }
  }
}

void SidecarLinks::NotifyLeaving(const std::string& instance,
                                 const Address& address) {
  Link& link = GetOrCreateLink(instance, address);
  link.leaving_notice = true;
  if (link.connection == nullptr || !link.connection->ready()) {
    return;
  }
  wire::LeavingNotice notice;
  notice.instance = instance;
  wire::Frame frame;
  frame.__set_leaving_notice(notice);
  link.connection->Send(frame);
  link.leaving_notice = false;
}

void SidecarLinks::Probe(const std::string& instance, const Address& address) {
  const Link& link = GetOrCreateLink(instance, address);
  if (link.connection != nullptr && link.connection->ready()) {
    // The process at the other end may be gone. Frequent heartbeats detect
    // that, and the next probe connects again.
    link.connection->SetBusy(true);
  }
}

bool SidecarLinks::connected(const std::string& instance) const {
  const auto link = links_.find(instance);
  return link != links_.end() && link->second.connection != nullptr &&
         link->second.connection->ready();
}

void SidecarLinks::SweepIdleLinks() {
  const Time now = context_.loop.Now();
  std::erase_if(links_, [&](const auto& entry) {
    const Link& link = entry.second;
    return link.pending == 0 && link.reconnect_timer == 0 &&
           now - link.last_used > settings_.idle_timeout;
  });
  sweep_timer_ =
      context_.loop.RunAfter(kSweepInterval, [this] { SweepIdleLinks(); });
}

std::size_t SidecarLinks::connections() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [](const auto& entry) {
        return entry.second.connection != nullptr &&
               entry.second.connection->ready();
      }));
}

nlohmann::json SidecarLinks::Dump() const {
  nlohmann::json links = nlohmann::json::object();
  for (const auto& [instance, link] : links_) {
    links[instance] = {
        {"address", FormatAddress(link.address)},
        {"connected", link.connection != nullptr && link.connection->ready()},
        {"incarnation", link.incarnation},
        {"pending", link.pending}};
  }
  return {{"links", links}, {"attempts", attempts_.size()}};
}

}  // namespace amaranthcove
