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

// The service document of team "atelier", which the fixture publishes. It
// defines adapters silk-care (versions 3 and 4, alias silk=4) and wool (version
// 1), kinds counter (urgent, deadline 10 s) and report (patient, deadline 60 s)
// and plain service booking, where POST /orders is never repeated.
extern const char kAtelierDocument[];

// The state of an HTTP call that is in progress or has ended.
struct PendingCall {
  bool has_head = false;
  HttpResponse response;  // The body contains the bytes received so far.
  std::optional<HttpCallEnd> end;

  // Returns true if the complete response has arrived.
  bool whole() const { return end == HttpCallEnd::kComplete; }
  // Parses the body. Returns a discarded value if it is not valid JSON.
  nlohmann::json Json() const {
    return nlohmann::json::parse(response.body, nullptr, false);
  }
  // Returns the string `member` of the error response, or "" if there is none.
  std::string Error(const char* member) const;
};

// Runs the entries, sidecars and stand-ins of one deployment in one process, on
// one event loop. They communicate over loopback sockets on free ports.
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

  // Starts the platform stand-in and publishes kAtelierDocument on it.
  FleetFixture();
  ~FleetFixture();

  EventLoop& loop() { return loop_; }
  Server& platform() { return *platform_; }

  // Each starts a stand-in. The returned reference is valid as long as the
  // fixture.
  Server& AddPlatform();
  Server& AddEngine(const standins::EngineSettings& settings = {});
  Server& AddPlainService(const standins::PlainServiceSettings& settings = {});

  // Each starts an entry or a sidecar and, unless `listed` is false, adds it to
  // the instance list of the fixture's own platform stand-in. Without
  // `platforms`, an entry uses that platform. The returned reference is valid
  // as long as the fixture, also after `Kill`.
  EntryNode& AddEntry(const std::string& instance,
                      const std::vector<Address>& platforms = {});
  EntryNode& AddEntry(const std::string& instance,
                      const std::vector<Address>& platforms,
                      const std::vector<Address>& peers,
                      bool listed);
  SidecarNode& AddEngineSidecar(const std::string& instance,
                                const Address& engine,
                                bool listed = true);
  SidecarNode& AddPlainSidecar(const std::string& instance,
                               const Address& server);

  // Adds a sidecar to the instance list or updates it there. `address` is by
  // default the sidecar's own one.
  void PutInstance(const SidecarNode& node,
                   const Address& address,
                   const std::string& state = "live");
  void PutInstance(const SidecarNode& node);

  // Return the instance list entry of a node, to add it to other platforms.
  static nlohmann::json InstanceListEntry(const EntryNode& node);
  static nlohmann::json InstanceListEntry(const SidecarNode& node,
                                          const Address& address,
                                          const std::string& state);

  // Destroys an entry or a sidecar without a graceful stop, as SIGKILL does:
  // its connections close and its state is lost.
  void Kill(EntryNode& node);
  void Kill(SidecarNode& node);

  // Sends a control command to a stand-in and returns its answer.
  nlohmann::json Control(const Address& server, const nlohmann::json& command);
  // Sends a GET request and returns the JSON body of the answer.
  nlohmann::json Get(const Address& server, const std::string& path);

  // Publishes a service document on the fixture's own platform stand-in.
  void PutDocument(const std::string& team, const std::string& text);

  // Starts an HTTP call. The result is updated while the loop runs.
  std::shared_ptr<PendingCall> Start(const Address& server,
                                     const std::string& method,
                                     const std::string& path,
                                     const std::string& body = "",
                                     HttpHeaders headers = {});

  // Starts an HTTP call and runs the loop until it has ended.
  PendingCall Call(const Address& server,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body = "",
                   HttpHeaders headers = {});

  // Cancels a call by closing its connection, as a caller that disconnects.
  // Does nothing if the call has ended.
  void Disconnect(const std::shared_ptr<PendingCall>& call);

  // Runs the loop until `condition` holds. Returns false if it does not hold
  // within 60 s. The limit is generous, so that only a failing test reaches it.
  bool RunUntil(const std::function<bool()>& condition);

  // Runs the loop until every running entry has the document and lists all
  // running sidecars, and every running sidecar's backend is ready. Returns
  // false if that takes more than 60 s.
  bool WaitReady();

 private:
  std::unique_ptr<PeerContext> MakeContext(const std::string& instance,
                                           const std::string& role);
  Server& AddServer(std::unique_ptr<standins::StandIn> stand_in);
  SidecarNode& AddSidecar(
      const std::string& instance,
      const wire::Backend& offer,
      const std::function<
          std::unique_ptr<Backend>(SidecarNode&, WorkObserver&)>& make_backend,
      bool listed);

  EventLoop loop_;
  std::unique_ptr<HttpClient> http_;
  std::vector<std::unique_ptr<Server>> servers_;
  Server* platform_ = nullptr;
  std::vector<std::unique_ptr<EntryNode>> entries_;
  std::vector<std::unique_ptr<SidecarNode>> sidecars_;
  std::map<PendingCall*, HttpCallId> calls_;
};

// Returns the JSON body of a completion request.
std::string CompletionBody(const std::string& model,
                           const std::string& prompt,
                           int max_tokens,
                           bool stream = false);

// Returns the generated text of a JSON answer or of an event stream.
std::string AnswerText(const PendingCall& call);

}  // namespace amaranthcove::testing

#endif  // AMARANTHCOVE_TESTING_INTEGRATION_FLEET_FIXTURE_H_
