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
  // Work of an entry whose connection broke is cancelled after this time.
  Duration orphan_limit = std::chrono::seconds(5);
  // A finished answer is kept this long for an entry that has not confirmed it.
  Duration answer_limit = std::chrono::seconds(10);
  // Bytes of one answer that are kept until they are acknowledged.
  std::size_t answer_buffer_bytes = 8 << 20;
};

// Counts since the start of the process.
struct SidecarCounters {
  std::uint64_t submitted = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t late_copies = 0;  // Refused because the attempt is over.
  std::uint64_t resumed = 0;
  std::uint64_t orphaned = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t stale_documents = 0;
};

// The sidecar role: accepts connections of entries, admits attempts, hands them
// to the backend and sends the answers back, also on a new connection after the
// old one broke.
//
// Thread safety: belongs to the loop's thread.
class Sidecar : public WorkObserver {
 public:
  using BackendFactory =
      std::function<std::unique_ptr<Backend>(WorkObserver& observer)>;

  // Preconditions: `context` outlives the sidecar; its `fill_heartbeat` is set
  // by the sidecar.
  Sidecar(PeerContext& context,
          const SidecarOptions& options,
          const BackendFactory& make_backend);
  ~Sidecar() override;

  // Listens for entries and starts the backend. Errors: kUnavailable if the
  // address cannot be bound.
  Status Start();

  // Takes no new work from now on and tells every entry.
  void Leave();

  bool leaving() const { return leaving_; }

  // Whether no work is left and every answer has arrived or was given up.
  bool drained() const;

  // Calls `callback` whenever the sidecar becomes drained while it is leaving.
  void OnDrained(std::function<void()> callback) {
    on_drained_ = std::move(callback);
  }

  Backend& backend() { return *backend_; }
  const SidecarCounters& counters() const { return counters_; }

  // The bound address for frames.
  const Address& peer_address() const { return listener_->local_address(); }

  // State for the dump.
  nlohmann::json Dump(Time now) const;

  // WorkObserver:
  void OnHead(const AttemptId& attempt,
              int status,
              std::string_view content_type) override;
  void OnData(const AttemptId& attempt, std::string_view data) override;
  void OnEnd(const AttemptId& attempt, const WorkEnd& end) override;
  void OnRefused(const AttemptId& attempt, const WorkRefusal& refusal) override;
  void OnSuspect(const wire::Suspect& suspect) override;
  void OnSuperseded() override;

 private:
  // An entry process, by instance and incarnation.
  using EntryKey = std::pair<std::string, Incarnation>;

  struct Link {
    std::unique_ptr<PeerConnection> connection;
    EntryKey entry;
  };

  // The answer to an admitted attempt.
  struct Answer {
    explicit Answer(std::size_t buffer_bytes) : chunks(buffer_bytes) {}

    std::string model;
    bool attached = true;  // Chunks go to the entry as they come.
    ChunkBuffer chunks;
    int status = 0;
    std::string content_type;
    std::optional<wire::Frame> last;  // AnswerEnd or Refused.
    TimerId expiry = 0;
  };

  void OnAccept(std::unique_ptr<TcpConnection> connection);
  void OnLinkReady(Link& link);
  void OnLinkClosed(Link* link);
  void OnFrame(Link& link, const wire::Frame& frame);
  void OnSubmit(Link& link, const wire::Submit& submit);
  // Whether the request is for the service or engine beside this sidecar. An
  // operation id alone does not show it: a caller may send any id to any path.
  bool Offers(const wire::Submit& submit) const;

  // Answers a request that this sidecar does not offer. An operation id of an
  // earlier incarnation, which may have offered it, is answered as unknown.
  void RefuseOtherService(Link& link, const wire::Submit& submit);
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
  void Conclude(const AttemptId& attempt, Outcome outcome);
  void SendChunk(const AttemptId& attempt,
                 const Answer& answer,
                 std::int64_t sequence,
                 std::string_view data);
  void Finish(const AttemptId& attempt,
              Answer& answer,
              const wire::Frame& last);
  void Drop(const AttemptId& attempt);
  void GiveUp(const AttemptId& attempt);
  void SetExpiry(const AttemptId& attempt, Answer& answer, Duration delay);
  void SendToEntry(const AttemptId& attempt, const wire::Frame& frame);
  void Broadcast(const wire::Frame& frame);
  wire::ServerReport Report(std::string_view model) const;
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
  wire::Frame chunk_frame_;  // Reused: constructing a frame is expensive.
  AttemptLedger attempts_;
  DocumentStore documents_;
  SidecarCounters counters_;
  bool leaving_ = false;
  std::function<void()> on_drained_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SIDECAR_SIDECAR_H_
