#include "amaranthcove/node/node.h"

#include <signal.h>

#include <array>
#include <memory>
#include <utility>

#include "amaranthcove/adapter_agent/adapter_agent.h"
#include "amaranthcove/admin/admin_server.h"
#include "amaranthcove/base/file.h"
#include "amaranthcove/log/log.h"
#include "amaranthcove/metrics/metrics.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/router/router.h"
#include "amaranthcove/supervisor/supervisor.h"

namespace amaranthcove {

namespace {

constexpr int kExitGraceful = 0;
constexpr int kExitNotStarted = 1;
constexpr std::size_t kMaxSettingsBytes = 65'536;

const std::string& InstanceOf(const NodeSettings& settings) {
  return std::visit(
      [](const auto& role) -> const std::string& { return role.instance; },
      settings);
}

const std::string& DataCentreOf(const NodeSettings& settings) {
  return std::visit(
      [](const auto& role) -> const std::string& { return role.data_centre; },
      settings);
}

Address AdminAddressOf(const NodeSettings& settings) {
  return std::visit([](const auto& role) { return role.admin_address; },
                    settings);
}

bool IsRouter(const NodeSettings& settings) {
  return std::holds_alternative<RouterSettings>(settings);
}

// Owns the event loop and the supervised components of a process, and shuts
// them down.
class Node {
 public:
  Node(std::string file, const NodeSettings& settings)
      : file_(std::move(file)),
        settings_(settings),
        registry_(InstanceOf(settings),
                  IsRouter(settings) ? "router" : "adapter_agent",
                  DataCentreOf(settings)),
        admin_(loop_,
               registry_,
               {[this] { return Dump(); },
                [](const std::string&) { return nlohmann::json(); },
                [this] { return Ready(); }}),
        supervisor_({[this] { ScheduleTick(); },
                     [this](const Error& error) { OnFailed(error); },
                     [](const std::string& child, const Error& error) {
                       Log(LogLevel::kWarn, "node",
                           "event=restart component=" + child + " reason=\"" +
                               error.message + "\"");
                     }}) {}

  int Run();

 private:
  Status StartRole();
  void AddChildren();
  void OnSignal(int number);
  void Leave();
  void Reload();
  void OnFailed(const Error& error);
  void ScheduleTick();
  bool Ready() const;
  nlohmann::json Dump() const;

  const std::string file_;
  const NodeSettings settings_;
  EventLoop loop_;
  MetricsRegistry registry_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<AdapterAgent> agent_;
  AdminServer admin_;
  Supervisor supervisor_;
  TimerId tick_timer_ = 0;
  int exit_code_ = kExitGraceful;
};

Status Node::StartRole() {
  if (const auto* router = std::get_if<RouterSettings>(&settings_)) {
    router_ = Router::Create(loop_, registry_, *router);
    return router_->Start();
  }
  agent_ = AdapterAgent::Create(loop_, std::get<AgentSettings>(settings_));
  return agent_->Start();
}

void Node::AddChildren() {
  supervisor_.Add({"admin",
                   [this](const FailureHandle&) {
                     return admin_.Listen(AdminAddressOf(settings_));
                   },
                   [] {},
                   {}});
  supervisor_.Add({"role",
                   [this](const FailureHandle&) { return StartRole(); },
                   [this] {
                     router_.reset();
                     agent_.reset();
                   },
                   {}});
}

int Node::Run() {
  AddChildren();
  constexpr std::array kSignals = {SIGTERM, SIGINT, SIGHUP};
  if (Status handled = loop_.HandleSignals(
          kSignals, [this](int number) { OnSignal(number); });
      !handled) {
    Log(LogLevel::kError, "node", handled.error().message);
    return kExitNotStarted;
  }
  if (Status started = supervisor_.Start(); !started) {
    Log(LogLevel::kError, "node", started.error().message);
    return kExitNotStarted;
  }
  loop_.Run();
  supervisor_.Stop();
  return exit_code_;
}

void Node::OnSignal(int number) {
  if (number == SIGHUP) {
    Reload();
    return;
  }
  Leave();
}

void Node::Leave() {
  if (router_ != nullptr) {
    router_->Leave([this] { loop_.Stop(); });
    return;
  }
  Log(LogLevel::kWarn, "node", "event=stop");
  loop_.Stop();
}

void Node::Reload() {
  const Result<std::string> text = ReadFile(file_, kMaxSettingsBytes);
  if (!text) {
    Log(LogLevel::kWarn, "node",
        "event=reload outcome=refused reason=\"" + text.error().message + "\"");
    return;
  }
  const auto sections = ParseIni(*text);
  const auto settings = sections ? ParseNodeSettings(*sections)
                                 : tl::unexpected(sections.error());
  Log(LogLevel::kWarn, "node",
      settings ? "event=reload outcome=valid"
               : "event=reload outcome=refused reason=\"" +
                     FormatIniErrors(file_, settings.error()) + "\"");
}

void Node::OnFailed(const Error& error) {
  Log(LogLevel::kError, "node", "a component keeps failing: " + error.message);
  exit_code_ = kExitNotStarted;
  loop_.Stop();
}

void Node::ScheduleTick() {
  loop_.Cancel(tick_timer_);
  const auto when = supervisor_.NextTick();
  if (!when) {
    return;
  }
  tick_timer_ = loop_.RunAt(*when, [this] {
    tick_timer_ = 0;
    supervisor_.Tick(loop_.Now());
    ScheduleTick();
  });
}

bool Node::Ready() const {
  return router_ != nullptr ? router_->ready()
                            : agent_ != nullptr && agent_->ready();
}

nlohmann::json Node::Dump() const {
  if (router_ != nullptr) {
    return router_->Dump();
  }
  return agent_ != nullptr ? agent_->Dump() : nlohmann::json::object();
}

}  // namespace

int RunNode(const std::string& file, const NodeSettings& settings) {
  Node node(file, settings);
  return node.Run();
}

}  // namespace amaranthcove
