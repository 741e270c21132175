#include "amaranthcove/entry/entry_mesh.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "amaranthcove/membership/peer_graph.h"

namespace amaranthcove {

namespace {

constexpr Duration kUpdateInterval = std::chrono::seconds(1);

// Between two requests for documents on one link, so that a peer with a
// document that this process cannot adopt is not asked all the time.
constexpr Duration kRequestInterval = std::chrono::milliseconds(500);

// Texts in one answer to a request for documents.
constexpr std::size_t kMaxPortionBytes = 1 << 20;

}  // namespace

wire::Document ToWire(const Document& document) {
  wire::Document result;
  result.team = document.team;
  result.revision = document.revision;
  result.removed = document.removed;
  result.text = document.text;
  return result;
}

EntryMesh::EntryMesh(PeerContext& context,
                     const InstanceDirectory& directory,
                     const DocumentStore& documents,
                     MeshCallbacks callbacks)
    : context_(context),
      directory_(directory),
      documents_(documents),
      callbacks_(std::move(callbacks)) {
  context_.fill_heartbeat = [this](wire::Heartbeat& heartbeat) {
    heartbeat.documents_digest = static_cast<std::int64_t>(documents_.Digest());
    if (platform_confirmed_) {
      heartbeat.__set_platform_age_ms(
          ToMilliseconds(context_.loop.Now() - *platform_confirmed_));
    }
  };
}

EntryMesh::~EntryMesh() {
  context_.loop.Cancel(update_timer_);
}

Status EntryMesh::Listen(const Address& address) {
  auto listener =
      TcpListener::Listen(context_.loop, address,
                          [this](std::unique_ptr<TcpConnection> connection) {
                            OnAccept(std::move(connection));
                          });
  if (!listener) {
    return tl::unexpected<Error>(listener.error());
  }
  listener_ = std::move(*listener);
  context_.self.peer_address = FormatAddress(listener_->local_address());
  UpdateLinks();
  return {};
}

void EntryMesh::UpdateLinks() {
  context_.loop.Cancel(update_timer_);
  update_timer_ =
      context_.loop.RunAfter(kUpdateInterval, [this] { UpdateLinks(); });
  const std::vector<EntryPlace> entries = directory_.LiveEntries();
  const EntryPlace self{context_.self.instance, context_.self.data_centre};
  const std::vector<std::string_view> wanted = PeersFor(self, entries);
  std::erase_if(links_, [&](const auto& link) {
    return link->outgoing && std::find(wanted.begin(), wanted.end(),
                                       link->instance) == wanted.end();
  });
  for (const std::string_view name : wanted) {
    const bool linked =
        std::any_of(links_.begin(), links_.end(), [&](const auto& link) {
          return link->outgoing && link->instance == name;
        });
    const Instance* peer = directory_.Find(name);
    if (!linked && peer != nullptr) {
      Connect(*peer);
    }
  }
}

void EntryMesh::Connect(const Instance& peer) {
  links_.push_back(std::make_unique<Link>());
  Link* link = links_.back().get();
  link->outgoing = true;
  link->instance = peer.record.instance;
  link->connection = PeerConnection::Connect(context_, peer.record.address,
                                             CallbacksFor(link));
}

void EntryMesh::OnAccept(std::unique_ptr<TcpConnection> connection) {
  links_.push_back(std::make_unique<Link>());
  Link* link = links_.back().get();
  link->connection = PeerConnection::Accept(context_, std::move(connection),
                                            CallbacksFor(link));
}

PeerConnection::Callbacks EntryMesh::CallbacksFor(Link* link) {
  return {[this, link](const wire::Hello& remote) {
            link->instance = remote.instance;
            RequestDocuments(*link);
          },
          [this, link](const wire::Frame& frame) { OnFrame(*link, frame); },
          [this, link](PeerCloseReason) { OnClosed(link); }};
}

void EntryMesh::OnClosed(Link* link) {
  std::erase_if(links_, [&](const auto& entry) { return entry.get() == link; });
}

void EntryMesh::OnFrame(Link& link, const wire::Frame& frame) {
  if (frame.__isset.heartbeat) {
    OnHeartbeat(link, frame.heartbeat);
  } else if (frame.__isset.documents_request) {
    AnswerRequest(frame.documents_request, *link.connection);
  } else if (frame.__isset.document) {
    callbacks_.on_document(frame.document, link.instance);
  } else if (frame.__isset.suspect) {
    callbacks_.on_suspect(frame.suspect, link.instance);
  }
}

void EntryMesh::OnHeartbeat(Link& link, const wire::Heartbeat& heartbeat) {
  const Time now = context_.loop.Now();
  const bool equal = heartbeat.documents_digest ==
                     static_cast<std::int64_t>(documents_.Digest());
  if (!equal) {
    RequestDocuments(link);
  } else if (heartbeat.__isset.platform_age_ms &&
             heartbeat.platform_age_ms >= 0) {
    const Time confirmed =
        now - std::chrono::milliseconds(heartbeat.platform_age_ms);
    if (!platform_confirmed_ || *platform_confirmed_ < confirmed) {
      platform_confirmed_ = confirmed;
    }
  }
}

void EntryMesh::RequestDocuments(Link& link) {
  const Time now = context_.loop.Now();
  if (now - link.last_request < kRequestInterval) {
    return;
  }
  link.last_request = now;
  wire::DocumentsRequest request;
  for (const KnownRevision& known : documents_.Revisions()) {
    wire::DocumentRevision revision;
    revision.team = known.team;
    revision.revision = known.revision;
    request.known.push_back(std::move(revision));
  }
  wire::Frame frame;
  frame.__set_documents_request(request);
  link.connection->Send(frame);
}

void EntryMesh::AnswerRequest(const wire::DocumentsRequest& request,
                              PeerConnection& connection) const {
  std::vector<KnownRevision> known;
  for (const wire::DocumentRevision& revision : request.known) {
    known.push_back({revision.team, revision.revision});
  }
  const DocumentPortion portion = documents_.NewerThan(known, kMaxPortionBytes);
  for (const Document& document : portion.documents) {
    if (request.__isset.team && document.team != request.team) {
      continue;
    }
    wire::Frame frame;
    frame.__set_document(ToWire(document));
    connection.Send(frame);
  }
}

void EntryMesh::PushDocument(const Document& document,
                             const std::string& except) {
  wire::Frame frame;
  frame.__set_document(ToWire(document));
  Push(frame, except);
}

void EntryMesh::PushSuspect(const wire::Suspect& suspect,
                            const std::string& except) {
  wire::Frame frame;
  frame.__set_suspect(suspect);
  Push(frame, except);
}

void EntryMesh::Push(const wire::Frame& frame, const std::string& except) {
  // Two entries may each have a link to the other; one of them is enough.
  std::set<std::string> reached = {except};
  for (const auto& link : links_) {
    if (link->connection->ready() && reached.insert(link->instance).second) {
      link->connection->Send(frame);
    }
  }
}

std::size_t EntryMesh::ready_links() const {
  return static_cast<std::size_t>(std::count_if(
      links_.begin(), links_.end(),
      [](const auto& link) { return link->connection->ready(); }));
}

nlohmann::json EntryMesh::Dump() const {
  nlohmann::json links = nlohmann::json::array();
  for (const auto& link : links_) {
    links.push_back({{"instance", link->instance},
                     {"outgoing", link->outgoing},
                     {"connected", link->connection->ready()}});
  }
  nlohmann::json confirmed = nullptr;
  if (platform_confirmed_) {
    confirmed = ToMilliseconds(context_.loop.Now() - *platform_confirmed_);
  }
  return {{"links", links}, {"platform_age_ms", confirmed}};
}

}  // namespace amaranthcove
