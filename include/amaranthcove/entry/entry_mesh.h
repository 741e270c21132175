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

// What the mesh asks of its owner.
struct MeshCallbacks {
  // A peer sent a document.
  std::function<void(const wire::Document& document, const std::string& from)>
      on_document;
  // A peer reported a request that crashes backend servers.
  std::function<void(const wire::Suspect& suspect, const std::string& from)>
      on_suspect;
  // Changes of the instance list that a peer sent were applied.
  std::function<void()> on_instances;
};

// Links between entries, over which service documents and suspects spread.
// Suspects and removals are pushed at once. Texts are announced, and a receiver
// that lacks the revision asks one announcer for it. Digests on heartbeats find
// what was missed.
//
// Thread safety: belongs to the loop's thread.
class EntryMesh {
 public:
  // `first_contacts` are tried while there is no link to another entry.
  // Preconditions: `context`, `directory` and `documents` outlive the mesh;
  // `context.fill_heartbeat` is set by the mesh.
  EntryMesh(PeerContext& context,
            InstanceDirectory& directory,
            const DocumentStore& documents,
            std::vector<Address> first_contacts,
            MeshCallbacks callbacks);
  ~EntryMesh();
  EntryMesh(const EntryMesh&) = delete;
  EntryMesh& operator=(const EntryMesh&) = delete;

  // Accepts peers on `address`. Errors: kUnavailable if it cannot be bound.
  Status Listen(const Address& address);

  // Connects to the peers that the directory now selects and drops others.
  // Called after changes of the directory, and now and then.
  void UpdateLinks();

  // The process has decided on a revision: announces it, or pushes it if it is
  // a removal, to all peers but `source`.
  void SpreadDocument(const Document& document, const std::string& source);

  // Sends a suspect to all peers but `except`.
  void PushSuspect(const wire::Suspect& suspect, const std::string& except);

  // The platform's list went from revision `after` to that of the directory.
  void SpreadInstances(std::int64_t after);

  // This process takes no new callers: peers choose others as readers and as
  // peers.
  void Leave();

  // This process watches the platform, and its watches stand at `now`.
  void OnPlatformConfirmed(Time now);

  // When the platform last confirmed this process's documents through another
  // reader; nothing if that was long ago. `outranking` leaves out readers that
  // should stop before this process does: those that are not readers by the
  // instance list and have a higher name.
  std::optional<Time> HeardReader(bool outranking) const;

  // When the platform last confirmed this process's documents, directly or
  // through peers; nothing if never.
  std::optional<Time> platform_confirmed() const { return platform_confirmed_; }

  // Sends the documents that a peer or a sidecar lacks.
  void AnswerRequest(const wire::DocumentsRequest& request,
                     PeerConnection& connection) const;

  std::size_t ready_links() const;
  nlohmann::json Dump() const;

 private:
  struct Link {
    std::unique_ptr<PeerConnection> connection;
    std::string instance;  // Empty until an accepted link is ready.
    bool outgoing = false;
    bool first_contact = false;  // Connected by address only.
    Address address;             // Of an outgoing link.
    Time last_request;
    // Of the last heartbeat that differed, and this process's at that time.
    std::optional<std::pair<std::int64_t, std::int64_t>> unequal_digests;
    bool compared = false;      // A digest has been compared on this link.
    bool got_document = false;  // Since the last request.
    // Grows while requests bring nothing, as between releases that judge a
    // document differently.
    Duration request_interval{0};
  };

  void Connect(const std::string& instance, const Address& address);
  void ConnectFirstContacts();
  void DropUnwanted(std::span<const std::string_view> wanted);
  void PushInstances(std::int64_t after, const std::string& except);
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
  void Push(const wire::Frame& frame, const std::string& except);

  PeerContext& context_;
  InstanceDirectory& directory_;
  const DocumentStore& documents_;
  const std::vector<Address> first_contacts_;
  const MeshCallbacks callbacks_;
  std::unique_ptr<TcpListener> listener_;
  std::list<std::unique_ptr<Link>> links_;
  std::optional<Time> platform_confirmed_;
  // By reader, when it last confirmed the documents that are known here.
  std::map<std::string, Time, std::less<>> confirmations_;
  std::set<std::string, std::less<>> listed_readers_;
  std::map<std::string, ServerHealth> contact_health_;  // By address.
  std::optional<Time> instances_requested_;
  bool leaving_ = false;
  DocumentFetches fetches_;
  // The link with the last request for everything, which ends when the digests
  // are equal or after a limit.
  Link* synchronising_ = nullptr;
  Time synchronising_since_;
  TimerId update_timer_ = 0;
  TimerId fetch_timer_ = 0;
  std::uint64_t announcements_sent_ = 0;
  std::uint64_t texts_requested_ = 0;
  std::uint64_t full_requests_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_ENTRY_MESH_H_
