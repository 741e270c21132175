#include "amaranthcove/entry/entry_mesh.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "amaranthcove/membership/peer_graph.h"
#include "amaranthcove/wire/document_codec.h"
#include "amaranthcove/wire/instance_codec.h"

namespace amaranthcove {

namespace {

constexpr Duration kUpdateInterval = std::chrono::seconds(1);

// Bounds of the interval between requests for all documents on one link. It
// doubles while requests return no document, so that a peer with a document
// that this process cannot adopt is not asked with every heartbeat.
constexpr Duration kMinRequestInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxRequestInterval = std::chrono::seconds(60);

// A request for all documents on one link delays such requests on other links
// by up to this time. Requests for instance list changes are this far apart
// unless changes were applied.
constexpr Duration kSyncTimeout = std::chrono::seconds(2);

// Limit on the texts in one response to a request for documents.
constexpr std::size_t kMaxResponseTextBytes = 1 << 20;

// More instance list changes than this, as after a start, are not pushed but
// requested by peers, because a push sends all of them over every link.
constexpr std::size_t kMaxPushedInstances = 32;

// Heartbeats carry the age of a confirmation, which looks newer at the receiver
// by the transmission time. Differences up to this are ignored, so that a
// confirmation that circulates between peers still ages.
constexpr Duration kMinConfirmationAdvance = std::chrono::milliseconds(500);

// Confirmations of a reader that are older than this are discarded.
constexpr Duration kMaxConfirmationAge = std::chrono::minutes(1);

}  // namespace

EntryMesh::EntryMesh(PeerContext& context,
                     InstanceDirectory& directory,
                     const DocumentStore& documents,
                     std::vector<Address> bootstrap_addresses,
                     MeshCallbacks callbacks)
    : context_(context),
      directory_(directory),
      documents_(documents),
      bootstrap_addresses_(std::move(bootstrap_addresses)),
      callbacks_(std::move(callbacks)) {
  context_.fill_heartbeat = [this](wire::Heartbeat& heartbeat) {
    FillHeartbeat(heartbeat);
  };
}

EntryMesh::~EntryMesh() {
  context_.loop.Cancel(fetch_timer_);
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
  const Time now = context_.loop.Now();
  const std::vector<EntryLocation> entries = directory_.LiveEntries();
  std::vector<EntryLocation> reachable;
  std::copy_if(
      entries.begin(), entries.end(), std::back_inserter(reachable),
      [&](const EntryLocation& entry) {
        return directory_.Find(entry.instance)->health.consecutive_failures <
               kFailuresBeforeProbation;
      });
  listed_readers_.clear();
  for (const std::string_view reader : ReadersOf(entries)) {
    listed_readers_.emplace(reader);
  }
  std::erase_if(confirmations_, [&](const auto& item) {
    return now - item.second > kMaxConfirmationAge;
  });
  const EntryLocation self{context_.self.instance, context_.self.data_centre};
  const std::vector<std::string_view> wanted =
      PeersWithReplacements(self, entries, reachable);
  DropUnwanted(wanted);
  for (const std::string_view name : wanted) {
    const bool linked =
        std::any_of(links_.begin(), links_.end(), [&](const auto& link) {
          return link->outgoing && link->instance == name;
        });
    const Instance* peer = directory_.Find(name);
    if (!linked && peer != nullptr && !OnProbation(peer->health, now)) {
      Connect(peer->record.instance, peer->record.address);
    }
  }
  if (ready_links() == 0) {
    ConnectBootstrapAddresses();
  }
}

void EntryMesh::DropUnwanted(std::span<const std::string_view> wanted) {
  const bool has_other =
      std::any_of(links_.begin(), links_.end(), [](const auto& link) {
        return !link->bootstrap && link->connection->ready();
      });
  std::vector<Link*> unwanted;
  for (const auto& link : links_) {
    const Instance* peer = directory_.Find(link->instance);
    const bool is_wanted =
        link->bootstrap
            ? !has_other
            : std::ranges::find(wanted, link->instance) != wanted.end() &&
                  peer != nullptr && peer->record.address == link->address;
    if (link->outgoing && !is_wanted) {
      unwanted.push_back(link.get());
    }
  }
  for (Link* link : unwanted) {
    Drop(link);
  }
}

void EntryMesh::Connect(const std::string& instance, const Address& address) {
  links_.push_back(std::make_unique<Link>());
  Link* link = links_.back().get();
  link->outgoing = true;
  link->bootstrap = instance.empty();
  link->instance = instance;
  link->address = address;
  link->connection =
      PeerConnection::Connect(context_, address, CallbacksFor(link));
}

void EntryMesh::ConnectBootstrapAddresses() {
  const Time now = context_.loop.Now();
  for (const Address& address : bootstrap_addresses_) {
    const bool linked =
        std::any_of(links_.begin(), links_.end(), [&](const auto& link) {
          return link->bootstrap && link->address == address;
        });
    if (!linked &&
        !OnProbation(bootstrap_health_[FormatAddress(address)], now)) {
      Connect("", address);
    }
  }
}

void EntryMesh::OnAccept(std::unique_ptr<TcpConnection> connection) {
  links_.push_back(std::make_unique<Link>());
  Link* link = links_.back().get();
  link->connection = PeerConnection::Accept(context_, std::move(connection),
                                            CallbacksFor(link));
}

PeerConnection::Callbacks EntryMesh::CallbacksFor(Link* link) {
  return {[this, link](const wire::Hello& remote) { OnReady(*link, remote); },
          [this, link](const wire::Frame& frame) { OnFrame(*link, frame); },
          [this, link](PeerCloseReason reason) { OnClosed(link, reason); }};
}

void EntryMesh::OnReady(Link& link, const wire::Hello& remote) {
  link.instance = remote.instance;
  if (link.bootstrap) {
    RecordSuccess(bootstrap_health_[FormatAddress(link.address)]);
  }
  const auto record = wire::ToInstanceRecord(remote);
  // Tools are not recorded in the directory. Neither is this process, which a
  // bootstrap address may lead to.
  const bool is_entry = record && record->role == InstanceRole::kEntry &&
                        record->instance != context_.self.instance;
  if (is_entry) {
    directory_.OnHello(*record, remote.incarnation);
  }
  if (leaving_) {
    link.connection->Send(LeavingFrame());
  }
  if (documents_.states().empty()) {
    RequestDocuments(link);
  }
  if (directory_.list_revision() == 0) {
    RequestInstances(link);
  }
}

void EntryMesh::OnClosed(Link* link, PeerCloseReason reason) {
  const Time now = context_.loop.Now();
  if (link->bootstrap) {
    RecordFailure(bootstrap_health_[FormatAddress(link->address)], now);
  } else if (link->outgoing && reason == PeerCloseReason::kSilent) {
    directory_.OnSilence(link->instance, now);
  } else if (link->outgoing) {
    directory_.OnConnectFailed(link->instance, now);
  }
  Drop(link);
}

void EntryMesh::Drop(Link* link) {
  if (sync_link_ == link) {
    sync_link_ = nullptr;
  }
  const std::string peer = link->instance;
  std::erase_if(links_, [&](const auto& entry) { return entry.get() == link; });
  // Fetches continue over another link to the same peer.
  if (FindReady(peer) == nullptr) {
    for (const DocumentFetch& fetch :
         fetches_.OnPeerLost(peer, context_.loop.Now())) {
      Fetch(fetch);
    }
  }
}

void EntryMesh::OnFrame(Link& link, const wire::Frame& frame) {
  if (frame.__isset.heartbeat) {
    OnHeartbeat(link, frame.heartbeat);
  } else if (frame.__isset.documents_request) {
    AnswerRequest(frame.documents_request, *link.connection);
  } else if (frame.__isset.document_announcement) {
    OnAnnouncement(link, frame.document_announcement);
  } else if (frame.__isset.document) {
    link.received_document = true;
    callbacks_.on_document(frame.document, link.instance);
  } else if (frame.__isset.suspect) {
    callbacks_.on_suspect(frame.suspect, link.instance);
  } else if (frame.__isset.instances_request) {
    OnInstancesRequest(frame.instances_request, link);
  } else if (frame.__isset.instance_changes) {
    OnInstanceChanges(frame.instance_changes, link);
  } else if (frame.__isset.leaving) {
    directory_.OnLeaving(link.instance, link.connection->remote().incarnation);
  }
}

void EntryMesh::OnHeartbeat(Link& link, const wire::Heartbeat& heartbeat) {
  const bool equal = heartbeat.documents_digest ==
                     static_cast<std::int64_t>(documents_.Digest());
  if (heartbeat.__isset.instances_revision &&
      heartbeat.instances_revision > directory_.list_revision()) {
    RequestInstances(link);
  }
  CompareDigests(link, heartbeat.documents_digest);
  if (equal && heartbeat.__isset.platform_age_ms &&
      heartbeat.platform_age_ms >= 0) {
    OnConfirmation(heartbeat, link);
  }
}

void EntryMesh::OnConfirmation(const wire::Heartbeat& heartbeat,
                               const Link& link) {
  const std::string& reader = heartbeat.__isset.platform_reader
                                  ? heartbeat.platform_reader
                                  : link.instance;
  if (reader == context_.self.instance) {
    return;
  }
  const Time time = context_.loop.Now() -
                    std::chrono::milliseconds(heartbeat.platform_age_ms);
  Time& confirmed = confirmations_.try_emplace(reader, time).first->second;
  if (time - confirmed > kMinConfirmationAdvance) {
    confirmed = time;
  }
  platform_confirmed_ = std::max(platform_confirmed_.value_or(time), time);
}

void EntryMesh::OnPlatformConfirmed(Time now) {
  confirmations_[context_.self.instance] = now;
  platform_confirmed_ = now;
}

bool EntryMesh::IsListedReader(std::string_view instance) const {
  return listed_readers_.contains(instance);
}

std::optional<Time> EntryMesh::LastReaderConfirmation(
    bool higher_priority_only) const {
  std::optional<Time> last;
  for (const auto& [reader, time] : confirmations_) {
    const bool included = !higher_priority_only || IsListedReader(reader) ||
                          reader < context_.self.instance;
    if (reader != context_.self.instance && included) {
      last = std::max(last.value_or(time), time);
    }
  }
  return last;
}

// Adds the confirmation of one reader: a recent one of a reader by the instance
// list, else a recent one of the reader with the lowest name, else the newest.
// A recent confirmation lets the other readers stop.
void EntryMesh::FillHeartbeat(wire::Heartbeat& heartbeat) const {
  heartbeat.documents_digest = static_cast<std::int64_t>(documents_.Digest());
  heartbeat.__set_instances_revision(directory_.list_revision());
  const Time now = context_.loop.Now();
  const std::string* best = nullptr;
  Time best_time;
  for (const auto& [reader, time] : confirmations_) {
    const bool recent = now - time < kReaderTimeout / 2;
    const bool best_recent = now - best_time < kReaderTimeout / 2;
    const bool better = best == nullptr || (recent && !best_recent) ||
                        (recent && best_recent && IsListedReader(reader) &&
                         !IsListedReader(*best)) ||
                        (!recent && !best_recent && time > best_time);
    if (better) {
      best = &reader;
      best_time = time;
    }
  }
  if (best != nullptr) {
    heartbeat.__set_platform_age_ms(ToMilliseconds(now - best_time));
    heartbeat.__set_platform_reader(*best);
  }
}

void EntryMesh::RequestInstances(Link& link) {
  const Time now = context_.loop.Now();
  if (instances_requested_at_ &&
      now - *instances_requested_at_ < kSyncTimeout) {
    return;
  }
  instances_requested_at_ = now;
  wire::InstancesRequest request;
  request.after = directory_.list_revision();
  wire::Frame frame;
  frame.__set_instances_request(request);
  link.connection->Send(frame);
}

void EntryMesh::OnInstancesRequest(const wire::InstancesRequest& request,
                                   Link& link) {
  if (directory_.list_revision() <= request.after) {
    return;
  }
  wire::Frame frame;
  frame.__set_instance_changes(
      wire::ToWire(directory_.ChangesAfter(request.after)));
  link.connection->Send(frame);
}

void EntryMesh::OnInstanceChanges(const wire::InstanceChanges& changes,
                                  Link& link) {
  const std::int64_t before = directory_.list_revision();
  const ApplyResult result = directory_.ApplyChanges(wire::FromWire(changes));
  if (result == ApplyResult::kGap) {
    RequestInstances(link);
  }
  if (result != ApplyResult::kApplied) {
    return;
  }
  instances_requested_at_.reset();
  PushInstances(before, link.instance);
  // May destroy `link`.
  callbacks_.on_instances();
}

void EntryMesh::PropagateInstances(std::int64_t after) {
  PushInstances(after, "");
}

void EntryMesh::PushInstances(std::int64_t after,
                              const std::string& excluded_peer) {
  const InstanceChanges changes = directory_.ChangesAfter(after);
  if (changes.complete || changes.records.size() > kMaxPushedInstances) {
    // Each peer requests them only once, when a heartbeat shows the new
    // revision.
    return;
  }
  wire::Frame frame;
  frame.__set_instance_changes(wire::ToWire(changes));
  Push(frame, excluded_peer);
}

wire::Frame EntryMesh::LeavingFrame() const {
  wire::Leaving leaving;
  leaving.instance = context_.self.instance;
  wire::Frame frame;
  frame.__set_leaving(leaving);
  return frame;
}

void EntryMesh::Leave() {
  leaving_ = true;
  Push(LeavingFrame(), "");
}

// Digests differ briefly while a change propagates. All documents are requested
// only at the first comparison on a link, if the peer has sent a document since
// the last request, or if the same difference lasts from one heartbeat to the
// next.
void EntryMesh::CompareDigests(Link& link, std::int64_t digest) {
  const auto own = static_cast<std::int64_t>(documents_.Digest());
  const bool first = !std::exchange(link.compared, true);
  if (digest == own) {
    link.mismatched_digests.reset();
    link.request_interval = Duration(0);
    if (sync_link_ == &link) {
      sync_link_ = nullptr;
    }
    return;
  }
  const std::pair digests(digest, own);
  const bool lasting = link.mismatched_digests == digests;
  link.mismatched_digests = digests;
  if (first || lasting || link.received_document) {
    RequestDocuments(link);
  }
}

void EntryMesh::RequestDocuments(Link& link) {
  const Time now = context_.loop.Now();
  const bool other_link = sync_link_ != nullptr && sync_link_ != &link &&
                          now - sync_started_at_ < kSyncTimeout;
  if (other_link || now - link.last_request < link.request_interval) {
    return;
  }
  link.request_interval =
      std::exchange(link.received_document, false)
          ? kMinRequestInterval
          : std::clamp(link.request_interval * 2, kMinRequestInterval,
                       kMaxRequestInterval);
  link.last_request = now;
  sync_link_ = &link;
  sync_started_at_ = now;
  ++full_requests_;
  wire::DocumentsRequest request;
  for (const KnownRevision& known : documents_.Revisions()) {
    request.known.push_back(wire::ToWire(known));
  }
  wire::Frame frame;
  frame.__set_documents_request(request);
  link.connection->Send(frame);
}

void EntryMesh::AnswerRequest(const wire::DocumentsRequest& request,
                              PeerConnection& connection) const {
  std::vector<KnownRevision> known;
  for (const wire::DocumentRevision& revision : request.known) {
    known.push_back(wire::FromWire(revision));
  }
  std::string_view only_team;
  if (request.__isset.team) {
    only_team = request.team;
  }
  const DocumentBatch batch =
      documents_.NewerThan(known, kMaxResponseTextBytes, only_team);
  for (const Document& document : batch.documents) {
    wire::Frame frame;
    frame.__set_document(wire::ToWire(document));
    connection.Send(frame);
  }
}

void EntryMesh::PropagateDocument(const Document& document,
                                  const std::string& source) {
  fetches_.OnKnown(document.team, document.revision);
  wire::Frame frame;
  if (document.removed) {
    frame.__set_document(wire::ToWire(document));
  } else {
    // With 12 links, pushing the text is cheaper only below about 20 bytes, and
    // no valid document is that short (docs/decisions.md).
    wire::DocumentAnnouncement announcement;
    announcement.team = document.team;
    announcement.revision = document.revision;
    frame.__set_document_announcement(announcement);
    ++announcements_sent_;
  }
  Push(frame, source);
}

void EntryMesh::OnAnnouncement(Link& link,
                               const wire::DocumentAnnouncement& announced) {
  if (announced.team.empty() ||
      documents_.Knows(announced.team, announced.revision)) {
    return;
  }
  const auto fetch = fetches_.OnAnnouncement(
      announced.team, announced.revision, link.instance, context_.loop.Now());
  if (fetch) {
    Fetch(*fetch);
  }
}

void EntryMesh::Fetch(const DocumentFetch& fetch) {
  ScheduleFetchTimer();
  Link* link = FindReady(fetch.peer);
  if (link == nullptr) {
    return;  // The next announcer is asked when this fetch times out.
  }
  ++texts_requested_;
  wire::DocumentsRequest request;
  request.__set_team(fetch.team);
  for (const KnownRevision& known : documents_.Revisions(fetch.team)) {
    request.known.push_back(wire::ToWire(known));
  }
  wire::Frame frame;
  frame.__set_documents_request(request);
  link->connection->Send(frame);
}

void EntryMesh::ScheduleFetchTimer() {
  context_.loop.Cancel(std::exchange(fetch_timer_, 0));
  const auto next = fetches_.NextTimer();
  if (!next) {
    return;
  }
  fetch_timer_ = context_.loop.RunAt(*next, [this] {
    fetch_timer_ = 0;
    for (const DocumentFetch& fetch : fetches_.OnTimer(context_.loop.Now())) {
      Fetch(fetch);
    }
    ScheduleFetchTimer();
  });
}

EntryMesh::Link* EntryMesh::FindReady(std::string_view instance) {
  const auto found =
      std::find_if(links_.begin(), links_.end(), [&](const auto& link) {
        return link->connection->ready() && link->instance == instance;
      });
  return found == links_.end() ? nullptr : found->get();
}

void EntryMesh::PushSuspect(const wire::Suspect& suspect,
                            const std::string& excluded_peer) {
  wire::Frame frame;
  frame.__set_suspect(suspect);
  Push(frame, excluded_peer);
}

void EntryMesh::Push(const wire::Frame& frame,
                     const std::string& excluded_peer) {
  // Two entries may each have opened a link to the other; use only one.
  std::set<std::string> excluded = {excluded_peer};
  for (const auto& link : links_) {
    if (link->connection->ready() && excluded.insert(link->instance).second) {
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
  return {{"links", links},
          {"platform_age_ms", confirmed},
          {"fetches", fetches_.size()},
          {"announcements_sent", announcements_sent_},
          {"texts_requested", texts_requested_},
          {"full_requests", full_requests_}};
}

}  // namespace amaranthcove
