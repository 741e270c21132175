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

// Receives the events of one attempt. The last callback is one of `OnRefused`,
// `OnEnd` and `OnLost`, and may destroy the observer.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;

  // Called for each chunk of the response, in order and without repetition.
  // `status` and `content_type` are set in the first chunk.
  virtual void OnChunk(const wire::Chunk& chunk) = 0;

  // Called if the attempt has not run and never will.
  virtual void OnRefused(const wire::Refused& refused) = 0;

  // Called at the end of the response. If `end.error_code` is empty, every
  // chunk has been delivered.
  virtual void OnEnd(const wire::AnswerEnd& end) = 0;

  // Called if the outcome of the attempt cannot be determined; it may have run.
  virtual void OnLost(std::string_view code) = 0;
};

// Callbacks of `SidecarLinks` for events that do not belong to an attempt. All
// must be set.
struct SidecarEvents {
  std::function<void(const wire::Hello& remote)> on_hello;
  std::function<void(const std::string& instance)> on_connect_failed;
  std::function<void(const std::string& instance)> on_silence;
  std::function<void(const std::string& instance, Incarnation)> on_leaving;
  std::function<void(const std::string& instance,
                     const wire::ServerReport& report)>
      on_report;
  std::function<void(const wire::Document& document)> on_document;
  // Called when a sidecar requests documents.
  std::function<void(const wire::DocumentsRequest& request,
                     PeerConnection& connection)>
      on_documents_request;
  std::function<void(const wire::Suspect& suspect)> on_suspect;
};

struct SidecarLinksSettings {
  // Connections without pending work are closed after this time.
  Duration idle_timeout = std::chrono::minutes(2);
  // Time for which a broken connection is retried before its attempts are lost.
  Duration resume_timeout = std::chrono::seconds(3);
  Duration first_reconnect_delay = std::chrono::milliseconds(50);
  Duration max_reconnect_delay = std::chrono::milliseconds(500);
  // Chunks between acknowledgements.
  std::int64_t acknowledge_every = 64;
};

// Manages the connections of an entry to sidecars, which are opened on demand.
// Sends attempts, and resumes them on a new connection after one breaks, if the
// new one reaches the same incarnation of the sidecar.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// No callback runs inside `Submit` or `Cancel`.
class SidecarLinks {
 public:
  // Preconditions: `context` outlives the object.
  SidecarLinks(PeerContext& context,
               const SidecarLinksSettings& settings,
               SidecarEvents events);
  ~SidecarLinks();
  SidecarLinks(const SidecarLinks&) = delete;
  SidecarLinks& operator=(const SidecarLinks&) = delete;

  // Returns a new attempt id.
  AttemptId NewAttempt();

  // Sends `submit` to `instance` at `address`. The observer stays registered
  // until its last callback or `Cancel`.
  void Submit(const std::string& instance,
              const Address& address,
              const wire::Submit& submit,
              Time deadline,
              AttemptObserver* observer);

  // Cancels an attempt. Its observer receives no further callback. `done`, if
  // set, is called once: with the outcome that the sidecar reports, with
  // kUnknown if the attempt is not known or the sidecar does not report within
  // `timeout`, or with kNotRun if the attempt was never sent.
  void Cancel(const AttemptId& attempt,
              Duration timeout,
              std::function<void(Outcome)> done);

  // Requests a new operation id from `instance`. Calls `done` once, with an
  // empty id if the connection fails or no id is issued within `timeout`.
  void IssueOperation(const std::string& instance,
                      const Address& address,
                      const std::string& team,
                      const std::string& service,
                      Duration timeout,
                      std::function<void(const std::string& id)> done);

  // Sends `frame` to every connected sidecar.
  void Broadcast(const wire::Frame& frame);

  // Notifies `instance` that the instance list marks it as leaving, and
  // connects to it if necessary. The notice may be lost if the connection
  // fails, so callers repeat it.
  void NotifyLeaving(const std::string& instance, const Address& address);

  // Connects to `instance` if it is not connected, in order to receive its
  // `Hello`. Otherwise selects the busy heartbeat interval, so that a silent
  // connection is detected.
  void Probe(const std::string& instance, const Address& address);

  // Returns whether there is a connection to `instance` over which frames can
  // be sent.
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
    Incarnation sent_to_incarnation = 0;
    // Set by `Cancel`; called when the attempt is removed.
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
    // The key in `links_`, for the connection's callbacks. It is the instance
    // name, or a unique key once the link is detached.
    std::shared_ptr<std::string> key;
    Address address;
    Address advertised_address;  // In the `Hello` of the last handshake.
    std::unique_ptr<PeerConnection> connection;
    Incarnation incarnation = 0;  // Of the last handshake.
    Time last_used;
    Time broken_since;
    Duration reconnect_delay{0};
    TimerId reconnect_timer = 0;
    std::size_t pending = 0;
    bool leaving_notice = false;
  };

  // Detaches the link to an old process from the name `instance`, which a new
  // process now has. A link with pending work is kept under another key, so
  // that requests on a leaving process are not interrupted.
  void DetachLink(const std::string& instance);
  Link& GetOrCreateLink(const std::string& instance, const Address& address);
  void Connect(const std::string& instance, Link& link);
  void OnReady(const std::string& instance, const wire::Hello& remote);
  void OnClosed(const std::string& instance, PeerCloseReason reason);
  void Reconnect(const std::string& instance, Link& link);
  void FailIssueCalls(const std::string& instance);
  void FailAttempts(const std::string& instance, bool only_unsent);
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
  // Removes the attempt and returns its observer, which may be null. If the
  // attempt was cancelled, reports `outcome` to the callback of `Cancel`.
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
  std::int64_t links_detached_ = 0;
  std::map<std::string, Link> links_;
  std::map<AttemptId, Attempt> attempts_;
  std::set<std::int64_t> unsent_;  // Attempt numbers that may still be sent.
  std::map<std::int64_t, IssueCall> issue_calls_;
  TimerId sweep_timer_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_SIDECAR_LINKS_H_
