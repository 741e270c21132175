#ifndef AMARANTHCOVE_ENTRY_ENTRY_H_
#define AMARANTHCOVE_ENTRY_ENTRY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/error.h"
#include "amaranthcove/entry/call.h"
#include "amaranthcove/entry/catalogue.h"
#include "amaranthcove/entry/entry_mesh.h"
#include "amaranthcove/entry/explain.h"
#include "amaranthcove/entry/server_chooser.h"
#include "amaranthcove/entry/sidecar_links.h"
#include "amaranthcove/membership/instance_directory.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/net/http_server.h"
#include "amaranthcove/peer/peer_connection.h"
#include "amaranthcove/platform_client/platform_client.h"

namespace amaranthcove {

struct EntryOptions {
  Address http_address;
  Address peer_address;
  std::vector<Address> platform;
  // Entries to connect to while there is no link to another entry.
  std::vector<Address> peers;
  // Time for which new calls are accepted after readiness is withdrawn.
  Duration drain = std::chrono::seconds(5);
  // Time for which readiness waits for the first document.
  Duration first_document_timeout = std::chrono::seconds(5);
  std::size_t max_calls = 20000;  // Calls in progress; more are refused.
  std::size_t explain_records = 2000;
  ChooseServerFunction choose = &policy::ChooseServer;
  std::size_t spare_candidates = kDefaultSpareCandidates;
};

// Implements the entry role: serves the HTTP API for callers, and keeps service
// documents, instances, reports of sidecars and suspects up to date.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class Entry {
 public:
  // Preconditions: `context` and `http` outlive the entry.
  Entry(PeerContext& context, HttpClient& http, const EntryOptions& options);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Starts to listen for peers and callers, and to watch the platform when
  // required. Errors: kUnavailable if an address cannot be bound.
  Status Start();

  // Withdraws readiness, accepts calls for the drain time, and then completes
  // the calls in progress. Further calls of this method have no effect.
  void Leave();

  // Returns whether this entry should receive new callers.
  bool ready() const;

  // Sets a callback that is called once after `Leave`, when the last call has
  // ended.
  void OnDrained(std::function<void()> callback) {
    on_drained_ = std::move(callback);
  }

  // Returns the bound address of the caller API. Precondition: `Start`
  // succeeded.
  Address http_address() const { return server_->local_address(); }

  // Returns the state of the entry for diagnostics.
  nlohmann::json Dump(Time now) const;

  // Returns the explain record of a request, or null JSON if it is not kept.
  nlohmann::json Explain(const std::string& request_id) const;

 private:
  SidecarEvents MakeSidecarEvents();
  void OnRequest(HttpRequest request, std::unique_ptr<HttpResponder> responder);
  void OnModels(HttpResponder& responder, const std::string& request_id) const;
  void OnIssueOperation(const HttpRequest& request,
                        std::unique_ptr<HttpResponder> responder,
                        const std::string& request_id);
  void StartCall(HttpRequest request,
                 std::unique_ptr<HttpResponder> responder,
                 const std::string& request_id);
  void OnDocument(Document document, const std::string& from);
  void OnSuspect(const wire::Suspect& suspect, const std::string& from);
  void OnInstances(std::int64_t revision,
                   std::span<const InstanceRecord> changes);
  void WatchPlatform();
  bool ShouldWatchPlatform(Time now) const;
  bool PlatformIsCurrent() const;
  void CheckLeavingSidecars(Time now);
  void StopAccepting();
  void CheckDrained();
  std::string NewRequestId();

  PeerContext& context_;
  const EntryOptions options_;
  policy::Random random_;
  Catalogue catalogue_;
  InstanceDirectory directory_;
  SuspectTable suspects_;
  policy::RetryBudget retry_budget_;
  ExplainLog explain_;
  CallCounters counters_;
  std::uint64_t documents_adopted_ = 0;
  std::uint64_t documents_refused_ = 0;
  PeerContext mesh_context_;
  EntryMesh mesh_;
  SidecarLinks links_;
  ServerChooser chooser_;
  OperationIssuer issuer_;
  CallContext call_context_;
  PlatformClient platform_;
  std::unique_ptr<HttpServer> server_;
  std::unordered_map<std::string, std::unique_ptr<Call>> calls_;
  // Operation ids that callers have requested and that are not issued yet.
  std::size_t pending_operation_ids_ = 0;
  std::uint64_t next_request_ = 1;
  Time started_;
  Time compacted_;
  bool leaving_ = false;
  bool watching_platform_ = false;
  bool accepting_ = true;
  std::function<void()> on_drained_;
  TimerId watch_timer_ = 0;
  TimerId drain_timer_ = 0;
  Duration watch_jitter_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_ENTRY_H_
