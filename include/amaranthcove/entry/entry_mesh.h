#ifndef AMARANTHCOVE_ENTRY_ENTRY_MESH_H_
#define AMARANTHCOVE_ENTRY_ENTRY_MESH_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/documents/document_fetches.h"
#include "amaranthcove/documents/document_store.h"
#include "amaranthcove/membership/instance_directory.h"
#include "amaranthcove/net/tcp.h"
#include "amaranthcove/peer/peer_connection.h"

namespace amaranthcove {

// Callbacks of an `EntryMesh`. `from` is the instance name of the peer.
struct MeshCallbacks {
  // Called when a peer sent a document.
  std::function<void(const wire::Document& document, const std::string& from)>
      on_document;
  // Called when a peer reported a request that crashes backend servers.
  std::function<void(const wire::Suspect& suspect, const std::string& from)>
      on_suspect;
  // Called after instance list changes from a peer were applied.
  std::function<void()> on_instances;
};

// Maintains links between entries and propagates service documents, suspects
// and changes of the instance list over them. Suspects and document removals
// are pushed at once. Other document revisions are announced, and a receiver
// that lacks the revision requests it from one announcer. Digests and revisions
// in heartbeats reveal missed updates.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class EntryMesh {
 public:
  // Connects to `bootstrap_addresses` while there is no link to another entry.
  // Preconditions: `context`, `directory` and `documents` outlive the mesh;
  // `context.fill_heartbeat` is set by the mesh.
  EntryMesh(PeerContext& context,
            InstanceDirectory& directory,
            const DocumentStore& documents,
            std::vector<Address> bootstrap_addresses,
            MeshCallbacks callbacks);
  ~EntryMesh();
  EntryMesh(const EntryMesh&) = delete;
  EntryMesh& operator=(const EntryMesh&) = delete;

  // Starts to accept peers on `address`. Errors: kUnavailable if it cannot be
  // bound.
  Status Listen(const Address& address);

  // Connects to the peers selected from the directory and closes other outgoing
  // links. Call it after changes of the directory; it also runs periodically
  // after `Listen`.
  void UpdateLinks();

  // Announces a revision that was adopted or refused to all peers except
  // `source`, or pushes it if it is a removal.
  void PropagateDocument(const Document& document, const std::string& source);

  // Sends a suspect to all peers except `excluded_peer`.
  void PushSuspect(const wire::Suspect& suspect,
                   const std::string& excluded_peer);

  // Sends the changes of the instance list after revision `after` to all peers,
  // or lets them request the changes if there are many.
  void PropagateInstances(std::int64_t after);

  // Announces that this process is leaving, so that peers no longer select it
  // as a reader or as a peer.
  void Leave();

  // Records that this process's watches of the platform were up to date at
  // `now`.
  void OnPlatformConfirmed(Time now);

  // Returns when another reader last confirmed that this process has the
  // documents of the platform, or nullopt if no recent confirmation is known.
  // `higher_priority_only` leaves out readers that should stop before this
  // process does: those that are not readers by the instance list and have a
  // higher name.
  std::optional<Time> LastReaderConfirmation(bool higher_priority_only) const;

  // Returns when the platform last confirmed this process's documents, directly
  // or through peers, or nullopt if it never did.
  std::optional<Time> platform_confirmed() const { return platform_confirmed_; }

  // Sends the documents that the requesting peer or sidecar lacks, up to a size
  // limit. It must request the rest again.
  void AnswerRequest(const wire::DocumentsRequest& request,
                     PeerConnection& connection) const;

  std::size_t ready_links() const;
  nlohmann::json Dump() const;

 private:
  struct Link {
    std::unique_ptr<PeerConnection> connection;
    std::string instance;  // Empty until an accepted link is ready.
    bool outgoing = false;
    bool bootstrap = false;  // To a bootstrap address.
    Address address;         // Only for outgoing links.
    Time last_request;
    // The peer's and this process's digest at the last comparison, if they
    // differed.
    std::optional<std::pair<std::int64_t, std::int64_t>> mismatched_digests;
    bool compared = false;           // A digest has been compared on this link.
    bool received_document = false;  // Since the last request for documents.
    // Doubles while requests return no document, as between releases that
    // differ in which documents they find valid.
    Duration request_interval{0};
  };

  void Connect(const std::string& instance, const Address& address);
  void ConnectBootstrapAddresses();
  void DropUnwanted(std::span<const std::string_view> wanted);
  void PushInstances(std::int64_t after, const std::string& excluded_peer);
  wire::Frame LeavingFrame() const;
  void OnReady(Link& link, const wire::Hello& remote);
  void OnClosed(Link* link, PeerCloseReason reason);
  void FillHeartbeat(wire::Heartbeat& heartbeat) const;
  void OnConfirmation(const wire::Heartbeat& heartbeat, const Link& link);
  bool IsListedReader(std::string_view instance) const;
  void RequestInstances(Link& link);
  void OnInstancesRequest(const wire::InstancesRequest& request, Link& link);
  void OnInstanceChanges(const wire::InstanceChanges& changes, Link& link);
  void OnAccept(std::unique_ptr<TcpConnection> connection);
  PeerConnection::Callbacks CallbacksFor(Link* link);
  void OnFrame(Link& link, const wire::Frame& frame);
  void OnHeartbeat(Link& link, const wire::Heartbeat& heartbeat);
  void Drop(Link* link);
  void OnAnnouncement(Link& link, const wire::DocumentAnnouncement& announced);
  void Fetch(const DocumentFetch& fetch);
  void ScheduleFetchTimer();
  void CompareDigests(Link& link, std::int64_t digest);
  void RequestDocuments(Link& link);
  Link* FindReady(std::string_view instance);
  void Push(const wire::Frame& frame, const std::string& excluded_peer);

  PeerContext& context_;
  InstanceDirectory& directory_;
  const DocumentStore& documents_;
  const std::vector<Address> bootstrap_addresses_;
  const MeshCallbacks callbacks_;
  std::unique_ptr<TcpListener> listener_;
  std::list<std::unique_ptr<Link>> links_;
  std::optional<Time> platform_confirmed_;
  // When each reader last confirmed the documents known here, by instance name.
  std::map<std::string, Time, std::less<>> confirmations_;
  std::set<std::string, std::less<>> listed_readers_;
  std::map<std::string, ServerHealth> bootstrap_health_;  // By address.
  std::optional<Time> instances_requested_at_;
  bool leaving_ = false;
  DocumentFetches fetches_;
  // The link with the last request for all documents, sent at
  // `sync_started_at_`. Null once the digests are equal or the link is closed.
  Link* sync_link_ = nullptr;
  Time sync_started_at_;
  TimerId update_timer_ = 0;
  TimerId fetch_timer_ = 0;
  std::uint64_t announcements_sent_ = 0;
  std::uint64_t texts_requested_ = 0;
  std::uint64_t full_requests_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_ENTRY_MESH_H_
