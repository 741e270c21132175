#include "amaranthcove/daemon/daemon.h"

#include <signal.h>

#include <array>
#include <cstdio>
#include <memory>
#include <utility>

#include "amaranthcove/admin/admin_server.h"
#include "amaranthcove/entry/entry.h"
#include "amaranthcove/log/log.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/sidecar/plain_backend.h"
#include "amaranthcove/sidecar/sidecar.h"
#include "amaranthcove/supervisor/supervisor.h"

namespace amaranthcove {

namespace {

constexpr int kExitGraceful = 0;
constexpr int kExitNotStarted = 1;
constexpr int kExitDrainLimit = 3;

wire::Hello MakeHello(const Settings& settings) {
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.instance = settings.instance;
  hello.incarnation = NewIncarnation();
  hello.role = std::string(RoleName(settings.role));
  hello.region = settings.region;
  hello.data_centre = settings.data_centre;
  if (settings.sidecar) {
    wire::Backend backend;
    const bool engine = settings.sidecar->backend_kind == BackendKind::kEngine;
    backend.kind = engine ? "engine" : "plain";
    backend.base_model = settings.sidecar->base_model;
    backend.team = settings.sidecar->team;
    backend.service_name = settings.sidecar->service;
    hello.__set_backend(backend);
  }
  return hello;
}

std::unique_ptr<Backend> MakeBackend(EventLoop& loop,
                                     HttpClient& http,
                                     WorkObserver& observer,
                                     const Settings& settings,
                                     Incarnation incarnation,
                                     const DaemonPolicy& policy) {
  const SidecarSettings& sidecar = *settings.sidecar;
  const auto queue_limit = static_cast<std::size_t>(sidecar.queue_limit);
  if (sidecar.backend_kind == BackendKind::kPlain) {
    PlainBackendSettings plain;
    plain.server = sidecar.backend_address;
    plain.instance = settings.instance;
    plain.team = sidecar.team;
    plain.service = sidecar.service;
    plain.queue_limit = queue_limit;
    return std::make_unique<PlainBackend>(loop, http, observer, plain,
                                          incarnation);
  }
  EngineBackendSettings engine;
  engine.engine = sidecar.backend_address;
  engine.base_model = sidecar.base_model;
  engine.queue_limit = queue_limit;
  engine.load_budget.store_loads_per_s = sidecar.store_loads_per_s;
  engine.load_budget.engines = static_cast<std::uint32_t>(sidecar.engines);
  engine.next_step = policy.next_step;
  return std::make_unique<EngineBackend>(loop, http, observer, engine,
                                         incarnation);
}

// Owns the event loop and the supervised components of a process, and shuts
// them down.
class Daemon {
 public:
  Daemon(const Settings& settings,
         const std::string& cluster_key,
         const DaemonPolicy& policy)
      : settings_(settings),
        policy_(policy),
        registry_(settings.instance,
                  RoleName(settings.role),
                  settings.data_centre),
        context_{loop_, MakeHello(settings), cluster_key, {}, nullptr, {}},
        http_(HttpClient::Create(loop_)),
        admin_(loop_,
               registry_,
               {[this] { return Dump(); },
                [this](const std::string& id) { return Explain(id); },
                [this] { return Ready(); }}),
        supervisor_({[this] { ScheduleTick(); },
                     [this](const Error& error) { OnFailed(error); },
                     [this](const std::string& child, const Error& error) {
                       OnRestart(child, error);
                     }}) {}

  int Run();

 private:
  void AddChildren();
  Status StartRole();
  void Leave();
  void OnDrained();
  void OnFailed(const Error& error);
  void OnRestart(const std::string& child, const Error& error);
  void ScheduleTick();
  void PrintReady() const;
  nlohmann::json Dump() const;
  nlohmann::json Explain(const std::string& request_id) const;
  bool Ready() const;

  const Settings& settings_;
  const DaemonPolicy policy_;
  EventLoop loop_;
  MetricsRegistry registry_;
  PeerContext context_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<Entry> entry_;
  std::unique_ptr<Sidecar> sidecar_;
  AdminServer admin_;
  Supervisor supervisor_;
  bool leaving_ = false;
  int exit_code_ = kExitGraceful;
  std::uint64_t restarts_ = 0;
  TimerId tick_timer_ = 0;
};

int Daemon::Run() {
  AddChildren();
  constexpr std::array kSignals = {SIGTERM, SIGINT};
  if (Status handled = loop_.HandleSignals(kSignals, [this](int) { Leave(); });
      !handled) {
    Log(LogLevel::kError, "daemon", handled.error().message);
    return kExitNotStarted;
  }
  if (Status started = supervisor_.Start(); !started) {
    Log(LogLevel::kError, "daemon", started.error().message);
    return kExitNotStarted;
  }
  PrintReady();
  loop_.Run();
  supervisor_.Stop();
  Log(LogLevel::kInfo, "daemon",
      exit_code_ == kExitGraceful ? "stopped after finishing all work"
                                  : "stopped before all work was finished");
  return exit_code_;
}

void Daemon::AddChildren() {
  supervisor_.Add({"admin",
                   [this](const FailureHandle&) {
                     return admin_.Listen(settings_.admin_address);
                   },
                   [] {},
                   {}});
  supervisor_.Add({std::string(RoleName(settings_.role)),
                   [this](const FailureHandle&) { return StartRole(); },
                   [this] {
                     entry_.reset();
                     sidecar_.reset();
                   },
                   {}});
}

Status Daemon::StartRole() {
  if (settings_.role == Role::kEntry) {
    EntryOptions options;
    options.http_address = settings_.entry->http_address;
    options.peer_address = settings_.peer_address;
    options.platform = settings_.platform;
    options.peers = settings_.peers;
    options.drain = settings_.entry->drain;
    options.choose = policy_.choose_server;
    options.spare_candidates = policy_.spare_candidates;
    entry_ = std::make_unique<Entry>(context_, *http_, options);
    entry_->OnDrained([this] { OnDrained(); });
    return entry_->Start();
  }
  SidecarOptions options;
  options.peer_address = settings_.peer_address;
  sidecar_ = std::make_unique<Sidecar>(
      context_, options, [this](WorkObserver& observer) {
        return MakeBackend(loop_, *http_, observer, settings_,
                           context_.self.incarnation, policy_);
      });
  sidecar_->OnDrained([this] {
    if (leaving_) {
      OnDrained();
    }
  });
  return sidecar_->Start();
}

void Daemon::Leave() {
  // Further signals are ignored, so that they cannot shorten the drain.
  if (leaving_) {
    return;
  }
  leaving_ = true;
  Log(LogLevel::kInfo, "daemon", "leaving; finishing work in progress");
  if (settings_.drain_limit) {
    loop_.RunAfter(*settings_.drain_limit, [this] {
      exit_code_ = kExitDrainLimit;
      loop_.Stop();
    });
  }
  if (entry_ != nullptr) {
    entry_->Leave();
    return;
  }
  sidecar_->Leave();
  if (sidecar_->drained()) {
    OnDrained();
  }
}

void Daemon::OnDrained() {
  // Delayed, so that the last frames are sent before the loop stops.
  loop_.RunAfter(std::chrono::milliseconds(50), [this] { loop_.Stop(); });
}

void Daemon::OnFailed(const Error& error) {
  Log(LogLevel::kError, "daemon",
      "a component keeps failing: " + error.message);
  exit_code_ = kExitNotStarted;
  loop_.Stop();
}

void Daemon::OnRestart(const std::string& child, const Error& error) {
  ++restarts_;
  Log(LogLevel::kWarn, "daemon",
      "component " + child + " failed and is restarted: " + error.message);
}

void Daemon::ScheduleTick() {
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

void Daemon::PrintReady() const {
  std::string line = "ready " + settings_.instance +
                     " admin=" + FormatAddress(admin_.local_address()) +
                     " peer=" + context_.self.peer_address;
  if (entry_ != nullptr) {
    line += " http=" + FormatAddress(entry_->http_address());
  }
  std::puts(line.c_str());
  std::fflush(stdout);
}

nlohmann::json Daemon::Dump() const {
  const Time now = loop_.Now();
  nlohmann::json dump = entry_ != nullptr     ? entry_->Dump(now)
                        : sidecar_ != nullptr ? sidecar_->Dump(now)
                                              : nlohmann::json::object();
  dump["supervisor"] = {{"counters", {{"component_restarts", restarts_}}}};
  return dump;
}

nlohmann::json Daemon::Explain(const std::string& request_id) const {
  return entry_ != nullptr ? entry_->Explain(request_id) : nlohmann::json();
}

bool Daemon::Ready() const {
  if (entry_ != nullptr) {
    return entry_->ready();
  }
  return sidecar_ != nullptr && !sidecar_->leaving() &&
         sidecar_->backend().ready();
}

}  // namespace

int RunDaemon(const Settings& settings,
              const std::string& cluster_key,
              const DaemonPolicy& policy) {
  Daemon daemon(settings, cluster_key, policy);
  return daemon.Run();
}

}  // namespace amaranthcove
