#ifndef AMARANTHCOVE_ENTRY_ENTRY_MESH_H_
#define AMARANTHCOVE_ENTRY_ENTRY_MESH_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"
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
};

// Links between entries, over which service documents and suspects spread:
// changes are pushed at once; digests on heartbeats find what was missed.
//
// Thread safety: belongs to the loop's thread.
class EntryMesh {
 public:
  // Preconditions: `context`, `directory` and `documents` outlive the mesh;
  // `context.fill_heartbeat` is set by the mesh.
  EntryMesh(PeerContext& context,
            const InstanceDirectory& directory,
            const DocumentStore& documents,
            MeshCallbacks callbacks);
  ~EntryMesh();
  EntryMesh(const EntryMesh&) = delete;
  EntryMesh& operator=(const EntryMesh&) = delete;

  // Accepts peers on `address`. Errors: kUnavailable if it cannot be bound.
  Status Listen(const Address& address);

  // Connects to the peers that the directory now selects and drops others.
  // Called after changes of the directory, and now and then.
  void UpdateLinks();

  // Sends a document or a suspect to all peers but `except`.
  void PushDocument(const Document& document, const std::string& except);
  void PushSuspect(const wire::Suspect& suspect, const std::string& except);

  // The platform answered this process now.
  void OnPlatformConfirmed(Time now) { platform_confirmed_ = now; }

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
    Time last_request;
  };

  void Connect(const Instance& peer);
  void OnAccept(std::unique_ptr<TcpConnection> connection);
  PeerConnection::Callbacks CallbacksFor(Link* link);
  void OnFrame(Link& link, const wire::Frame& frame);
  void OnHeartbeat(Link& link, const wire::Heartbeat& heartbeat);
  void OnClosed(Link* link);
  void RequestDocuments(Link& link);
  void Push(const wire::Frame& frame, const std::string& except);

  PeerContext& context_;
  const InstanceDirectory& directory_;
  const DocumentStore& documents_;
  const MeshCallbacks callbacks_;
  std::unique_ptr<TcpListener> listener_;
  std::list<std::unique_ptr<Link>> links_;
  std::optional<Time> platform_confirmed_;
  TimerId update_timer_ = 0;
};

// Conversion to the wire's document. Thread-safe.
wire::Document ToWire(const Document& document);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_ENTRY_MESH_H_
