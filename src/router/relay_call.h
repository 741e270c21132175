#ifndef AMARANTHCOVE_SRC_ROUTER_RELAY_CALL_H_
#define AMARANTHCOVE_SRC_ROUTER_RELAY_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "amaranthcove/log/event_log.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http.h"
#include "amaranthcove/net/http_server.h"
#include "amaranthcove/net/upstream_client.h"
#include "amaranthcove/relay/event_splitter.h"
#include "amaranthcove/relay/relay_policy.h"
#include "amaranthcove/relay/request_facts.h"
#include "amaranthcove/routing/route_table.h"
#include "src/router/fleet.h"

namespace amaranthcove {

// How a request ended, for logs and counters.
enum class RelayOutcome {
  kAnswered,    // The backend server's answer, whole.
  kRefused,     // 503: it did not run.
  kFailed,      // 502: it may have run.
  kTimedOut,    // 504.
  kBrokenOff,   // A begun answer ended early.
  kCallerGone,  // The caller left first.
};
std::string_view RelayOutcomeName(RelayOutcome outcome);

// What a request's end tells the router.
struct RelayResult {
  RelayOutcome outcome = RelayOutcome::kAnswered;
  int status = 0;
  std::string service;
  Duration duration = Duration::zero();
};

// One request of a caller on its way through a router: it is placed, waits for
// its adapter, is sent, perhaps sent again, and answered once.
//
// Thread safety: belongs to the loop's thread.
class RelayCall {
 public:
  struct Environment {
    EventLoop& loop;
    UpstreamClient& upstream;
    Fleet& fleet;
    EventLog& log;
    // Sends new demands to the agents soon.
    std::function<void()> demand_changed;
  };

  // Preconditions: `environment` outlives the call.
  RelayCall(Environment& environment,
            HttpRequest request,
            RequestFacts facts,
            const Route& route,
            std::unique_ptr<HttpResponder> responder);
  ~RelayCall();
  RelayCall(const RelayCall&) = delete;
  RelayCall& operator=(const RelayCall&) = delete;

  // Begins. `on_done` is called once, as the last thing the call does; it may
  // be called inside `Start`.
  void Start(Time now, std::function<void(const RelayResult&)> on_done);

  // Something has changed at a server: its adapters, or whether it serves.
  void OnServerChanged(std::string_view server, Time now);

 private:
  enum class State { kNew, kWaiting, kSending, kDone };

  void Place(Time now);
  void WaitForAdapter(Time now);
  void StopWaiting();
  void OnWaitTooLong(Time now);
  void Send(std::optional<std::int64_t> version, Time now);
  bool OnHead(const HttpResponse& head);
  void OnData(std::string_view data);
  void OnStreamData(std::string_view data);
  void OnAnswerTooLong();
  void CheckCallerReads();
  void OnUpstreamEnd(UpstreamEnd end, Time now);
  // Takes the end of a send into account and decides what follows.
  void FinishSend(SendEnd end, Time now);
  void FollowSend(SendEnd end, bool within_budget, Time now);
  void EndActivity();
  void RecordHealth(SendEnd end, Time now);
  void OnSilence();
  bool IsServerBusy(Time now) const;
  void RestartSilenceTimer(std::optional<Duration> limit);
  void OnDeadline();
  void OnCallerGone();
  void CompleteStream(Time now);
  void TakeStep(RelayStep step, Time now);
  void AnswerOwn(RelayOutcome outcome, int status, Time now);
  void Done(RelayOutcome outcome, int status, Time now);
  void LogSendEnd(SendEnd end, Time now);

  Environment& environment_;
  const HttpRequest request_;
  const RequestFacts facts_;
  const Route route_;
  std::unique_ptr<HttpResponder> responder_;
  std::function<void(const RelayResult&)> on_done_;

  State state_ = State::kNew;
  std::string service_;
  // Decided once: a change of the configuration must not part the beginning of
  // a use of an adapter from its end.
  bool is_generation_ = false;
  // The configuration by which the request is handled.
  std::int64_t config_version_ = 0;
  Duration config_age_ = Duration::zero();
  Time started_;
  Time deadline_;
  Time sent_;
  Time wait_started_;
  Duration waited_ = Duration::zero();
  // From the send to the first event of a stream.
  std::optional<Duration> first_event_;
  RelayProgress progress_;
  std::set<std::string> tried_;
  WaitingRequest waiting_request_;
  Placement placement_;
  Duration expected_delay_ = Duration::zero();

  UpstreamCallId call_ = 0;
  HttpResponse head_;
  AnswerFacts answer_;
  bool has_head_ = false;
  bool streaming_ = false;
  EventSplitter splitter_;

  TimerId deadline_timer_ = 0;
  TimerId wait_timer_ = 0;
  TimerId silence_timer_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_RELAY_CALL_H_
