#include "testing/integration/fleet_fixture.h"

#include <algorithm>
#include <utility>

#include "amaranthcove/engine_client/sse_parser.h"

namespace amaranthcove::testing {

namespace {

// Applies only to a test whose condition never becomes true.
constexpr Duration kWaitTimeout = std::chrono::seconds(60);

constexpr Duration kCallTimeout = std::chrono::seconds(50);

const Address kAnyPort = {"127.0.0.1", 0};

}  // namespace

const char kAtelierDocument[] = R"([service]
team = atelier
base_model = base-1
objective = stalls
[kind counter]
urgency = urgent
deadline_ms = 10000
[kind report]
urgency = patient
deadline_ms = 60000
[adapter silk-care]
versions = 3, 4
aliases = silk=4
[adapter wool]
versions = 1
[plain booking]
never_repeat = POST /orders
)";

std::string PendingCall::Error(const char* member) const {
  const nlohmann::json json = Json();
  if (!json.is_object() || !json.contains("error")) {
    return "";
  }
  return json["error"].value(member, std::string());
}

FleetFixture::FleetFixture() : http_(HttpClient::Create(loop_)) {
  platform_ = &AddPlatform();
  PutDocument("atelier", kAtelierDocument);
}

FleetFixture::~FleetFixture() {
  for (const auto& [call, id] : calls_) {
    http_->Cancel(id);
  }
}

FleetFixture::Server& FleetFixture::AddServer(
    std::unique_ptr<standins::StandIn> stand_in) {
  servers_.push_back(std::make_unique<Server>());
  Server& server = *servers_.back();
  server.stand_in = std::move(stand_in);
  server.server = *HttpServer::Listen(
      loop_, kAnyPort, {},
      [target = server.stand_in.get()](
          HttpRequest request, std::unique_ptr<HttpResponder> responder) {
        target->Handle(std::move(request), std::move(responder));
      });
  return server;
}

FleetFixture::Server& FleetFixture::AddPlatform() {
  return AddServer(std::make_unique<standins::Platform>(
      loop_, standins::PlatformSettings{}));
}

FleetFixture::Server& FleetFixture::AddEngine(
    const standins::EngineSettings& settings) {
  return AddServer(std::make_unique<standins::Engine>(loop_, *http_, settings));
}

FleetFixture::Server& FleetFixture::AddPlainService(
    const standins::PlainServiceSettings& settings) {
  return AddServer(std::make_unique<standins::PlainService>(loop_, settings));
}

std::unique_ptr<PeerContext> FleetFixture::MakeContext(
    const std::string& instance,
    const std::string& role) {
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.instance = instance;
  hello.incarnation = NewIncarnation();
  hello.role = role;
  hello.region = "region-1";
  hello.data_centre = "dc-1";
  return std::unique_ptr<PeerContext>(new PeerContext{
      loop_, hello, "cluster key of the tests", {}, nullptr, {}});
}

FleetFixture::EntryNode& FleetFixture::AddEntry(
    const std::string& instance,
    const std::vector<Address>& platforms) {
  return AddEntry(instance, platforms, {}, true);
}

FleetFixture::EntryNode& FleetFixture::AddEntry(
    const std::string& instance,
    const std::vector<Address>& platforms,
    const std::vector<Address>& peers,
    bool listed) {
  entries_.push_back(std::make_unique<EntryNode>());
  EntryNode& node = *entries_.back();
  node.context = MakeContext(instance, "entry");
  node.http = HttpClient::Create(loop_);
  EntryOptions options;
  options.http_address = kAnyPort;
  options.peer_address = kAnyPort;
  options.platform = platforms.empty()
                         ? std::vector<Address>{platform_->address()}
                         : platforms;
  options.peers = peers;
  options.drain = std::chrono::milliseconds(100);
  node.entry = std::make_unique<Entry>(*node.context, *node.http, options);
  node.entry->Start();
  if (listed) {
    Control(platform_->address(),
            {{"put_instances", {InstanceListEntry(node)}}});
  }
  return node;
}

nlohmann::json FleetFixture::InstanceListEntry(const EntryNode& node) {
  return {{"instance", node.context->self.instance},
          {"role", "entry"},
          {"address", node.context->self.peer_address},
          {"region", "region-1"},
          {"data_centre", "dc-1"},
          {"state", "live"}};
}

FleetFixture::SidecarNode& FleetFixture::AddSidecar(
    const std::string& instance,
    const wire::Backend& offer,
    const std::function<std::unique_ptr<Backend>(SidecarNode&, WorkObserver&)>&
        make_backend,
    bool listed) {
  sidecars_.push_back(std::make_unique<SidecarNode>());
  SidecarNode& node = *sidecars_.back();
  node.instance = instance;
  node.context = MakeContext(instance, "sidecar");
  node.context->self.__set_backend(offer);
  node.http = HttpClient::Create(loop_);
  SidecarOptions options;
  options.peer_address = kAnyPort;
  node.sidecar = std::make_unique<Sidecar>(
      *node.context, options,
      [&](WorkObserver& observer) { return make_backend(node, observer); });
  node.sidecar->Start();
  if (listed) {
    PutInstance(node);
  }
  return node;
}

FleetFixture::SidecarNode& FleetFixture::AddEngineSidecar(
    const std::string& instance,
    const Address& engine,
    bool listed) {
  wire::Backend offer;
  offer.kind = "engine";
  offer.base_model = "base-1";
  return AddSidecar(
      instance, offer,
      [&](SidecarNode& node, WorkObserver& observer) {
        EngineBackendSettings settings;
        settings.engine = engine;
        settings.base_model = "base-1";
        // High enough that the store's rate does not delay these tests.
        settings.load_budget.store_loads_per_s = 1000;
        settings.poll_interval = std::chrono::milliseconds(200);
        return std::make_unique<EngineBackend>(loop_, *node.http, observer,
                                               settings,
                                               node.context->self.incarnation);
      },
      listed);
}

FleetFixture::SidecarNode& FleetFixture::AddPlainSidecar(
    const std::string& instance,
    const Address& server) {
  wire::Backend offer;
  offer.kind = "plain";
  offer.team = "atelier";
  offer.service_name = "booking";
  return AddSidecar(
      instance, offer,
      [&](SidecarNode& node, WorkObserver& observer) {
        PlainBackendSettings settings;
        settings.server = server;
        settings.instance = instance;
        settings.team = "atelier";
        settings.service = "booking";
        return std::make_unique<PlainBackend>(loop_, *node.http, observer,
                                              settings,
                                              node.context->self.incarnation);
      },
      true);
}

void FleetFixture::PutInstance(const SidecarNode& node,
                               const Address& address,
                               const std::string& state) {
  Control(platform_->address(),
          {{"put_instances", {InstanceListEntry(node, address, state)}}});
}

nlohmann::json FleetFixture::InstanceListEntry(const SidecarNode& node,
                                               const Address& address,
                                               const std::string& state) {
  const wire::Backend& offer = node.context->self.backend;
  return {{"instance", node.instance},
          {"role", "sidecar"},
          {"address", FormatAddress(address)},
          {"region", "region-1"},
          {"data_centre", "dc-1"},
          {"state", state},
          {"backend",
           {{"kind", offer.kind},
            {"base_model", offer.base_model},
            {"team", offer.team},
            {"service", offer.service_name}}}};
}

void FleetFixture::PutInstance(const SidecarNode& node) {
  PutInstance(node, node.sidecar->peer_address());
}

void FleetFixture::Kill(EntryNode& node) {
  node.entry.reset();
  node.http.reset();
}

void FleetFixture::Kill(SidecarNode& node) {
  node.sidecar.reset();
  node.http.reset();
}

nlohmann::json FleetFixture::Control(const Address& server,
                                     const nlohmann::json& command) {
  return Call(server, "POST", "/_control", command.dump()).Json();
}

nlohmann::json FleetFixture::Get(const Address& server,
                                 const std::string& path) {
  return Call(server, "GET", path).Json();
}

void FleetFixture::PutDocument(const std::string& team,
                               const std::string& text) {
  Control(platform_->address(),
          {{"put_documents", {{{"team", team}, {"text", text}}}}});
}

std::shared_ptr<PendingCall> FleetFixture::Start(const Address& server,
                                                 const std::string& method,
                                                 const std::string& path,
                                                 const std::string& body,
                                                 HttpHeaders headers) {
  auto call = std::make_shared<PendingCall>();
  HttpClient::Callbacks callbacks;
  callbacks.on_head = [call](const HttpResponse& head) {
    call->has_head = true;
    call->response.status = head.status;
    call->response.headers = head.headers;
  };
  callbacks.on_data = [call](std::string_view data) {
    call->response.body += data;
  };
  callbacks.on_end = [this, call](HttpCallEnd end) {
    call->end = end;
    calls_.erase(call.get());
  };
  calls_[call.get()] =
      http_->Start(server, {method, path, std::move(headers), body},
                   SteadyNow() + kCallTimeout, std::move(callbacks));
  return call;
}

PendingCall FleetFixture::Call(const Address& server,
                               const std::string& method,
                               const std::string& path,
                               const std::string& body,
                               HttpHeaders headers) {
  const auto call = Start(server, method, path, body, std::move(headers));
  RunUntil([&] { return call->end.has_value(); });
  return *call;
}

void FleetFixture::Disconnect(const std::shared_ptr<PendingCall>& call) {
  const auto found = calls_.find(call.get());
  if (found != calls_.end()) {
    http_->Cancel(found->second);
    calls_.erase(found);
  }
}

bool FleetFixture::RunUntil(const std::function<bool()>& condition) {
  const Time deadline = SteadyNow() + kWaitTimeout;
  while (!condition() && SteadyNow() < deadline) {
    loop_.RunOnce(std::chrono::milliseconds(20));
  }
  return condition();
}

bool FleetFixture::WaitReady() {
  return RunUntil([this] {
    for (const auto& node : sidecars_) {
      if (node->sidecar != nullptr && !node->sidecar->backend().ready()) {
        return false;
      }
    }
    for (const auto& node : entries_) {
      if (node->entry == nullptr) {
        continue;
      }
      const nlohmann::json dump = node->entry->Dump(loop_.Now());
      if (!dump["documents"].contains("atelier")) {
        return false;
      }
      for (const auto& sidecar : sidecars_) {
        if (sidecar->sidecar != nullptr &&
            !dump["instances"].contains(sidecar->instance)) {
          return false;
        }
      }
    }
    return true;
  });
}

std::string CompletionBody(const std::string& model,
                           const std::string& prompt,
                           int max_tokens,
                           bool stream) {
  const nlohmann::json body = {{"model", model},
                               {"prompt", prompt},
                               {"max_tokens", max_tokens},
                               {"stream", stream}};
  return body.dump();
}

std::string AnswerText(const PendingCall& call) {
  const auto text_of = [](const nlohmann::json& json) -> std::string {
    if (!json.is_object() || !json.contains("choices")) {
      return "";
    }
    const nlohmann::json& choice = json["choices"][0];
    if (choice.contains("text")) {
      return choice["text"];
    }
    const char* member = choice.contains("delta") ? "delta" : "message";
    return choice[member].value("content", std::string());
  };
  const nlohmann::json whole = call.Json();
  if (whole.is_object()) {
    return text_of(whole);
  }
  std::string text;
  SseParser events;
  events.Append(call.response.body);
  while (const auto event = events.Next()) {
    text += text_of(nlohmann::json::parse(event->data, nullptr, false));
  }
  return text;
}

}  // namespace amaranthcove::testing
