#ifndef AMARANTHCOVE_TESTING_INTEGRATION_FLEET_FIXTURE_H_
#define AMARANTHCOVE_TESTING_INTEGRATION_FLEET_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "amaranthcove/entry/entry.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/net/http_server.h"
#include "amaranthcove/sidecar/engine_backend.h"
#include "amaranthcove/sidecar/plain_backend.h"
#include "amaranthcove/sidecar/sidecar.h"
#include "testing/standins/engine.h"
#include "testing/standins/plain_service.h"
#include "testing/standins/platform.h"
#include "testing/standins/standin.h"
#include "testing/standins/weight_store.h"

namespace amaranthcove::testing {

// The document that the fixture's fleets serve, of team "atelier": adapters
// silk-care (versions 3 and 4, alias silk=4) and wool (version 1), kinds
// counter (urgent, 10 s) and report (patient, 60 s), plain service booking with
// never-repeated POST /orders.
extern const char kAtelierDocument[];

// An HTTP call in progress or ended.
struct PendingCall {
  bool has_head = false;
  HttpResponse response;  // The body as far as it has arrived.
  std::optional<HttpCallEnd> end;

  bool whole() const { return end == HttpCallEnd::kComplete; }
  nlohmann::json Json() const {
    return nlohmann::json::parse(response.body, nullptr, false);
  }
  // The error's member, or "".
  std::string Error(const char* member) const;
};

// Entries, sidecars and stand-ins of one deployment on one event loop in one
// process. All real sockets, all on free ports.
//
// Thread safety: none.
class FleetFixture {
 public:
  struct EntryNode {
    std::unique_ptr<PeerContext> context;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<Entry> entry;

    Address address() const { return entry->http_address(); }
  };

  struct SidecarNode {
    std::string instance;
    std::unique_ptr<PeerContext> context;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<Sidecar> sidecar;
  };

  struct Server {
    std::unique_ptr<standins::StandIn> stand_in;
    std::unique_ptr<HttpServer> server;

    Address address() const { return server->local_address(); }
  };

  // Starts the platform stand-in, with kAtelierDocument in force.
  FleetFixture();
  ~FleetFixture();

  EventLoop& loop() { return loop_; }
  Server& platform() { return *platform_; }

  // Stand-ins. References stay valid.
  Server& AddPlatform();
  Server& AddEngine(const standins::EngineSettings& settings = {});
  Server& AddPlainService(const standins::PlainServiceSettings& settings = {});

  // Processes of the system. A sidecar is put on the instance list unless
  // `listed` is false.
  EntryNode& AddEntry(const std::string& instance,
                      const std::vector<Address>& platforms = {});
  // `listed` puts it on the instance list of the first platform.
  EntryNode& AddEntry(const std::string& instance,
                      const std::vector<Address>& platforms,
                      const std::vector<Address>& peers,
                      bool listed);
  SidecarNode& AddEngineSidecar(const std::string& instance,
                                const Address& engine,
                                bool listed = true);
  SidecarNode& AddPlainSidecar(const std::string& instance,
                               const Address& server);

  // Puts a sidecar on the instance list at `address` in `state`.
  void List(const SidecarNode& node,
            const Address& address,
            const std::string& state = "live");
  void List(const SidecarNode& node);

  // The list's entry for a node, for other platforms.
  static nlohmann::json ListEntry(const EntryNode& node);
  static nlohmann::json ListEntry(const SidecarNode& node,
                                  const Address& address,
                                  const std::string& state);

  // Drops a process at once, as SIGKILL would: its connections close and its
  // memory is gone.
  void Kill(EntryNode& node);
  void Kill(SidecarNode& node);

  // Sends a control command to a stand-in and waits for its answer.
  nlohmann::json Control(const Address& server, const nlohmann::json& command);
  nlohmann::json Get(const Address& server, const std::string& path);

  void PutDocument(const std::string& team, const std::string& text);

  // Begins an HTTP call; the result is filled in while the loop runs.
  std::shared_ptr<PendingCall> Start(const Address& server,
                                     const std::string& method,
                                     const std::string& path,
                                     const std::string& body = "",
                                     HttpHeaders headers = {});

  // Makes a call and waits for its end.
  PendingCall Call(const Address& server,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body = "",
                   HttpHeaders headers = {});

  // Breaks a call off, as a caller that goes away.
  void HangUp(const std::shared_ptr<PendingCall>& call);

  // Runs the loop until `condition` holds. Returns false after a generous
  // bound, which decides a verdict only if the condition never comes true.
  bool RunUntil(const std::function<bool()>& condition);

  // Waits until every entry has the document and every listed sidecar, and
  // every engine has answered its sidecar.
  bool WaitReady();

 private:
  std::unique_ptr<PeerContext> MakeContext(const std::string& instance,
                                           const std::string& role);
  Server& AddServer(std::unique_ptr<standins::StandIn> stand_in);
  SidecarNode& AddSidecar(
      const std::string& instance,
      const wire::Backend& offer,
      const std::function<std::unique_ptr<Backend>(SidecarNode&,
                                                   WorkObserver&)>& make,
      bool listed);

  EventLoop loop_;
  std::unique_ptr<HttpClient> http_;
  std::vector<std::unique_ptr<Server>> servers_;
  Server* platform_ = nullptr;
  std::vector<std::unique_ptr<EntryNode>> entries_;
  std::vector<std::unique_ptr<SidecarNode>> sidecars_;
  std::map<PendingCall*, HttpCallId> calls_;
};

// The JSON body of a completion request.
std::string CompletionBody(const std::string& model,
                           const std::string& prompt,
                           int max_tokens,
                           bool stream = false);

// The text of an answer's choices, of a whole JSON answer or of a stream.
std::string AnswerText(const PendingCall& call);

}  // namespace amaranthcove::testing

#endif  // AMARANTHCOVE_TESTING_INTEGRATION_FLEET_FIXTURE_H_
