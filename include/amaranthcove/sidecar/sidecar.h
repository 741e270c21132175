#ifndef AMARANTHCOVE_SIDECAR_SIDECAR_H_
#define AMARANTHCOVE_SIDECAR_SIDECAR_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "amaranthcove/attempts/attempt_ledger.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/documents/document_store.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/tcp.h"
#include "amaranthcove/peer/peer_connection.h"
#include "amaranthcove/sidecar/backend.h"
#include "amaranthcove/streams/chunk_buffer.h"

namespace amaranthcove {

struct SidecarOptions {
  Address peer_address;
  // Unfinished attempts of an entry are cancelled when its connection has been
  // down for this time.
  Duration orphan_timeout = std::chrono::seconds(5);
  // How long a finished answer is kept if the entry does not acknowledge it.
  Duration answer_retention = std::chrono::seconds(10);
  // Maximum size of the unacknowledged part of one answer that is kept for
  // replay.
  std::size_t answer_buffer_bytes = 8 << 20;
};

// Counts since the start of the process.
struct SidecarCounters {
  std::uint64_t submitted = 0;
  std::uint64_t duplicates = 0;
  // Copies of a request that were refused because its attempt was over.
  std::uint64_t late_copies = 0;
  std::uint64_t resumed = 0;
  std::uint64_t orphaned = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t stale_documents = 0;
};

// The sidecar role: accepts connections from entries, admits attempts, passes
// them to the backend and returns the answers. After a connection breaks, an
// answer can be resumed on a new connection.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class Sidecar : public WorkObserver {
 public:
  using BackendFactory =
      std::function<std::unique_ptr<Backend>(WorkObserver& observer)>;

  // Sets `context.fill_heartbeat`. Preconditions: `context` outlives the
  // sidecar.
  Sidecar(PeerContext& context,
          const SidecarOptions& options,
          const BackendFactory& make_backend);
  ~Sidecar() override;

  // Listens for entries and starts the backend. Errors: kUnavailable if the
  // address cannot be bound.
  Status Start();

  // Stops accepting new work and notifies all connected entries.
  void Leave();

  bool leaving() const { return leaving_; }

  // Returns whether the backend is idle and every answer has been acknowledged
  // or discarded.
  bool drained() const;

  // Sets the callback that runs when the sidecar is leaving and becomes
  // drained. It may run more than once.
  void OnDrained(std::function<void()> callback) {
    on_drained_ = std::move(callback);
  }

  Backend& backend() { return *backend_; }
  const SidecarCounters& counters() const { return counters_; }

  // Returns the bound address of the listener for entries. Precondition:
  // `Start` succeeded.
  const Address& peer_address() const { return listener_->local_address(); }

  // Returns the state for the process's state dump.
  nlohmann::json Dump(Time now) const;

  // WorkObserver:
  void OnHead(const AttemptId& attempt,
              int status,
              std::string_view content_type) override;
  void OnData(const AttemptId& attempt, std::string_view data) override;
  void OnEnd(const AttemptId& attempt, const WorkResult& end) override;
  void OnRefused(const AttemptId& attempt, const WorkRefusal& refusal) override;
  void OnSuspect(const wire::Suspect& suspect) override;
  void OnSuperseded() override;

 private:
  // Identifies an entry process by instance and incarnation.
  using EntryKey = std::pair<std::string, Incarnation>;

  struct Link {
    std::unique_ptr<PeerConnection> connection;
    EntryKey entry;
  };

  // The answer to an admitted attempt.
  struct Answer {
    explicit Answer(std::size_t buffer_bytes) : chunks(buffer_bytes) {}

    std::string model;
    // Whether chunks are sent to the entry at once. False after its connection
    // broke, until it resumes the answer.
    bool attached = true;
    ChunkBuffer chunks;
    int status = 0;
    std::string content_type;
    std::optional<wire::Frame> last_frame;  // An AnswerEnd or Refused frame.
    TimerId expiry = 0;
  };

  void OnAccept(std::unique_ptr<TcpConnection> connection);
  void OnLinkReady(Link& link);
  void OnLinkClosed(Link* link);
  void OnFrame(Link& link, const wire::Frame& frame);
  void OnSubmit(Link& link, const wire::Submit& submit);
  // Returns whether the request is for the backend server of this sidecar. The
  // operation id does not prove it, because callers may send any id to any
  // path.
  bool IsForThisBackend(const wire::Submit& submit) const;

  // Refuses a request for another service. If its operation id was issued by
  // another incarnation, which may have run the operation, the outcome is
  // reported as unknown instead.
  void RefuseOtherService(Link& link, const wire::Submit& submit);
  // Compares the revisions of the service document and sends or requests the
  // newer one. Returns false if the request was sent under an older revision.
  bool CheckDocument(Link& link, const wire::Submit& submit);
  void OnResume(Link& link, const wire::Resume& resume);
  void OnCancel(Link& link, const wire::Cancel& cancel);
  void OnAcknowledge(const wire::Acknowledge& acknowledge);
  void OnIssueOperation(Link& link, const wire::IssueOperation& issue);
  void OnDocument(const wire::Document& document);
  void SendRefused(Link& link,
                   const AttemptId& attempt,
                   const WorkRefusal& refusal);
  void SendLost(Link& link, const AttemptId& attempt, std::string_view code);
  // Records the outcome in the attempt ledger.
  void RecordOutcome(const AttemptId& attempt, Outcome outcome);
  void SendChunk(const AttemptId& attempt,
                 const Answer& answer,
                 std::int64_t sequence,
                 std::string_view data);
  void Finish(const AttemptId& attempt,
              Answer& answer,
              const wire::Frame& last_frame);
  // Removes the answer to `attempt`, if there is one.
  void RemoveAnswer(const AttemptId& attempt);
  // Cancels `attempt` if it has not ended and removes its answer. Precondition:
  // the attempt has an answer.
  void Abandon(const AttemptId& attempt);
  // Abandons `attempt` after `delay` unless its answer is resumed or removed.
  void SetExpiry(const AttemptId& attempt, Answer& answer, Duration delay);
  void SendToEntry(const AttemptId& attempt, const wire::Frame& frame);
  void Broadcast(const wire::Frame& frame);
  wire::ServerReport Report(std::string_view model) const;
  // Marks the connection of `entry` as busy while the entry has answers here.
  void UpdateBusy(const EntryKey& entry);
  void CheckDrained();

  PeerContext& context_;
  const SidecarOptions options_;
  std::unique_ptr<Backend> backend_;
  std::unique_ptr<TcpListener> listener_;
  std::list<std::unique_ptr<Link>> links_;
  std::map<EntryKey, Link*> link_by_entry_;  // The newest connection of each.
  std::map<AttemptId, Answer> answers_;
  std::map<EntryKey, std::size_t> answers_by_entry_;
  // Reused for every chunk, because constructing a frame is expensive.
  wire::Frame chunk_frame_;
  AttemptLedger attempts_;
  DocumentStore documents_;
  SidecarCounters counters_;
  bool leaving_ = false;
  std::function<void()> on_drained_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SIDECAR_SIDECAR_H_
