#ifndef AMARANTHCOVE_ENTRY_SIDECAR_LINKS_H_
#define AMARANTHCOVE_ENTRY_SIDECAR_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/outcome.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/peer/peer_connection.h"
#include "amaranthcove/policy/random.h"
#include "amaranthcove/streams/chunk_receiver.h"

namespace amaranthcove {

// Follows one attempt. One of `OnRefused`, `OnEnd` and `OnLost` is the last
// callback; the observer may be destroyed in it.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;

  // A piece of the answer, in order and once each. `status` and `content_type`
  // are set on the first.
  virtual void OnChunk(const wire::Chunk& chunk) = 0;

  // The attempt has not run and never will.
  virtual void OnRefused(const wire::Refused& refused) = 0;

  // The answer is over; every chunk has been delivered if `end.error_code` is
  // empty.
  virtual void OnEnd(const wire::AnswerEnd& end) = 0;

  // Nothing more can be learnt about the attempt; it may have run.
  virtual void OnLost(std::string_view code) = 0;
};

// What the links tell their owner.
struct SidecarEvents {
  std::function<void(const wire::Hello& remote)> on_hello;
  std::function<void(const std::string& instance)> on_connect_failed;
  std::function<void(const std::string& instance)> on_silence;
  std::function<void(const std::string& instance, Incarnation)> on_leaving;
  std::function<void(const std::string& instance,
                     const wire::ServerReport& report)>
      on_report;
  std::function<void(const wire::Document& document)> on_document;
  // A sidecar asks for documents.
  std::function<void(const wire::DocumentsRequest& request,
                     PeerConnection& connection)>
      on_documents_request;
  std::function<void(const wire::Suspect& suspect)> on_suspect;
};

struct SidecarLinksSettings {
  // Connections without work are closed after this time.
  Duration idle_limit = std::chrono::minutes(2);
  // Time to get a broken connection back before its attempts are lost.
  Duration resume_limit = std::chrono::seconds(3);
  Duration first_reconnect_delay = std::chrono::milliseconds(50);
  Duration max_reconnect_delay = std::chrono::milliseconds(500);
  // Chunks between acknowledgements.
  std::int64_t acknowledge_every = 64;
};

// The connections of an entry to sidecars, opened on demand. Sends attempts,
// and after a connection broke resumes them on a new one, if the same
// incarnation of the sidecar answers there.
//
// Thread safety: belongs to the loop's thread. No callback runs inside `Submit`
// or `Cancel`.
class SidecarLinks {
 public:
  // Preconditions: `context` outlives the object.
  SidecarLinks(PeerContext& context,
               const SidecarLinksSettings& settings,
               SidecarEvents events);
  ~SidecarLinks();
  SidecarLinks(const SidecarLinks&) = delete;
  SidecarLinks& operator=(const SidecarLinks&) = delete;

  // A new attempt id.
  AttemptId NewAttempt();

  // Sends `submit` to `instance` at `address`. The observer stays registered
  // until its last callback or `Cancel`.
  void Submit(const std::string& instance,
              const Address& address,
              const wire::Submit& submit,
              Time deadline,
              AttemptObserver* observer);

  // Gives an attempt up; no callback to its observer follows. `done`, if set,
  // is called once with what the sidecar says, or kUnknown after `limit`; an
  // attempt that was never sent is kNotRun.
  void Cancel(const AttemptId& attempt,
              Duration limit,
              std::function<void(Outcome)> done);

  // Asks `instance` for a fresh operation id; empty if none could be had
  // within `limit`.
  void IssueOperation(const std::string& instance,
                      const Address& address,
                      const std::string& team,
                      const std::string& service,
                      Duration limit,
                      std::function<void(const std::string& id)> done);

  // Sends `frame` to every connected sidecar.
  void Broadcast(const wire::Frame& frame);

  // Tells `instance` that the instance list calls it leaving; connects for it.
  // The notice is lost if the connection fails; the caller tries again.
  void NotifyLeaving(const std::string& instance, const Address& address);

  // Connects to `instance` if it is not connected, to hear its `Hello`, and
  // makes sure that an existing connection is not a silent one.
  void Probe(const std::string& instance, const Address& address);

  // Whether there is a connection to `instance` over which frames can be sent.
  bool connected(const std::string& instance) const;

  std::size_t connections() const;
  std::size_t pending() const { return attempts_.size(); }
  nlohmann::json Dump() const;

 private:
  struct Attempt {
    std::string instance;
    wire::Submit submit;
    Time deadline;
    AttemptObserver* observer = nullptr;
    ChunkReceiver receiver;
    std::int64_t acknowledged = 0;
    bool sent = false;
    Incarnation sent_to = 0;
    // After `Cancel`: waits for the sidecar's word.
    std::function<void(Outcome)> on_cancelled;
    TimerId cancel_timer = 0;
  };

  struct IssueCall {
    std::string instance;
    wire::IssueOperation issue;
    std::function<void(const std::string&)> done;
    TimerId timer = 0;
    bool sent = false;
  };

  struct Link {
    // The key in `links_`, for the connection's callbacks: the instance, or
    // another text once a new process has taken over the instance's name.
    std::shared_ptr<std::string> key;
    Address address;
    Address stated_address;  // In the `Hello` of the last handshake.
    std::unique_ptr<PeerConnection> connection;
    Incarnation incarnation = 0;  // Of the last handshake.
    Time last_used;
    Time broken_since;
    Duration reconnect_delay{0};
    TimerId reconnect_timer = 0;
    std::size_t pending = 0;
    bool leaving_notice = false;
  };

  // Makes room for a link to the process that now has the name of `instance`.
  // A link with pending work goes on under another key, so that requests on a
  // leaving process are not interrupted.
  void MoveAside(const std::string& instance);
  Link& UseLink(const std::string& instance, const Address& address);
  void Connect(const std::string& instance, Link& link);
  void OnReady(const std::string& instance, const wire::Hello& remote);
  void OnClosed(const std::string& instance, PeerCloseReason reason);
  void Reconnect(const std::string& instance, Link& link);
  void FailIssueCalls(const std::string& instance);
  void LoseAttempts(const std::string& instance, bool only_unsent);
  void OnFrame(const std::string& instance, const wire::Frame& frame);
  void OnChunk(const wire::Chunk& chunk);
  void OnEnd(const wire::AnswerEnd& end);
  void OnRefused(const wire::Refused& refused);
  void OnCancelled(const wire::Cancelled& cancelled);
  void OnIssued(const wire::OperationIssued& issued);
  void SendSubmit(Link& link, Attempt& attempt);
  void SendResume(Link& link, const Attempt& attempt);
  void SendCancel(Link& link, const Attempt& attempt);
  void SendAcknowledge(const Attempt& attempt, std::int64_t next_sequence);
  void SendIssue(Link& link, IssueCall& call);
  void FinishIssue(std::int64_t call, const std::string& id);
  Attempt* Find(const wire::AttemptId& id);
  // Unregisters the attempt and returns its observer, which may be null. If it
  // was cancelled, `outcome` is what is known of it.
  AttemptObserver* Remove(const AttemptId& attempt,
                          Outcome outcome = Outcome::kUnknown);
  std::int64_t LowWaterMark() const;
  void SweepIdleLinks();

  PeerContext& context_;
  const SidecarLinksSettings settings_;
  const SidecarEvents events_;
  policy::Random random_;
  std::int64_t next_number_ = 1;
  std::int64_t next_issue_ = 1;
  std::int64_t links_moved_ = 0;
  std::map<std::string, Link> links_;
  std::map<AttemptId, Attempt> attempts_;
  std::set<std::int64_t> unsent_;  // Numbers that may still be sent.
  std::map<std::int64_t, IssueCall> issue_calls_;
  TimerId sweep_timer_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_SIDECAR_LINKS_H_
