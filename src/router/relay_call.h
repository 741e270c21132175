#ifndef AMARANTHCOVE_SRC_ROUTER_RELAY_CALL_H_
#define AMARANTHCOVE_SRC_ROUTER_RELAY_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/log/event_log.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http.h"
#include "amaranthcove/net/http_server.h"
#include "amaranthcove/net/upstream_client.h"
#include "amaranthcove/relay/event_splitter.h"
#include "amaranthcove/relay/relay_policy.h"
#include "amaranthcove/relay/request_info.h"
#include "amaranthcove/routing/route_table.h"
#include "amaranthcove/suspects/crash_table.h"
#include "amaranthcove/workspaces/authentication.h"
#include "src/router/answer_gate.h"
#include "src/router/crash_checker.h"
#include "src/router/fleet.h"

namespace amaranthcove {

// How a request ended, for logs and counters.
enum class RelayOutcome {
  kAnswered,      // The caller got a complete answer of a backend server.
  kRefused,       // 503: the request did not run.
  kFailed,        // 502: the request may have run.
  kTimedOut,      // 504: the request may have run.
  kBrokenOff,     // The answer was cut off after it had begun.
  kCallerGone,    // The caller disconnected or was too slow.
  kUnauthorized,  // 401: the caller's key was taken away; it did not run.
};
// Returns the name of `outcome` in logs, metrics and error answers.
std::string_view RelayOutcomeName(RelayOutcome outcome);

// The result of a relayed request, for the router's metrics.
struct RelayResult {
  RelayOutcome outcome = RelayOutcome::kAnswered;
  int status = 0;
  std::string service;
  Duration duration = Duration::zero();
  bool may_have_run = false;
  std::string workspace;  // Empty for callers without one.
  double quota_cost = 0;
};

// Relays one request of a caller: chooses a server, waits for the adapter,
// sends the request, retries it if the policy allows that, and answers once.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class RelayCall {
 public:
  struct Environment {
    EventLoop& loop;
    UpstreamClient& upstream;
    Fleet& fleet;
    EventLog& log;
    CrashTable& crashes;
    CrashChecker& crash_checker;
    AnswerGate& answers;
    // Schedules sending the changed demands to the agents.
    std::function<void()> demand_changed;
    // Applies what a server has said of itself in an answer: that it leaves, or
    // for how long it wants nothing.
    std::function<void(const BackendServer&, const ResponseInfo&, Time now)>
        on_announcement;
  };

  // `environment` must outlive the call.
  RelayCall(Environment& environment,
            HttpRequest request,
            RequestInfo info,
            const Route& route,
            const CallerIdentity& identity,
            std::unique_ptr<HttpResponder> responder);
  ~RelayCall();
  RelayCall(const RelayCall&) = delete;
  RelayCall& operator=(const RelayCall&) = delete;

  // Starts the call, with `now` as the arrival time of the request. `on_done`
  // is called once, as the last action of the call, possibly inside `Start`.
  void Start(Time now, std::function<void(const RelayResult&)> on_done);

  // Handles the admission of a prompt; ignores those of other calls.
  void OnAdmitted(std::int64_t prompt, Time now);

  // Handles a place that was granted to the call `id` at a plain server;
  // ignores those of other calls.
  void OnPlaceGranted(std::int64_t id, ServerHash server, Time now);

  // Handles how many calls come before a call that waits for a place; ignores
  // those of other calls.
  void OnPlaceWait(const PlaceWait& wait, Time now);

  // Handles a change at a server: of its adapters, or whether it serves.
  void OnServerChanged(std::string_view server, Time now);

 private:
  enum class State { kNew, kWaiting, kSending, kDone };

  std::vector<PartId> IdentifyParts() const;
  void Place(Time now);
  // Adds the prompt to the work of the chosen engine, and removes it when the
  // engine has read it or will not read it.
  void AddPrompt(Time now);
  void RemovePrompt(Time now);
  RequestGoal Goal() const;
  // Sends the request, or waits until the engine's agent admits its prompt.
  void SendOrAsk(std::optional<std::int64_t> version, Time now);
  void WaitForAdmission(Time now);
  void ScheduleAdmissionCheck();
  // Goes on waiting for admission, unless the agent is silent or it takes so
  // long that another engine may be better.
  void CheckAdmission(Time now);
  void WaitForAdapter(Time now);
  // Asks for a place at one of the servers of a plain service, and waits for it
  // while the agent that keeps the places answers.
  void WaitForPlace(Time now);
  void SchedulePlaceCheck();
  void GiveBackPlace();
  // Ends a request for which there is no server.
  void EndWithoutServer(Time now);
  void CheckPlace(Time now);
  // Sends a plain call without a place.
  void SendWithoutPlace(Time now);
  void StopWaiting();
  void OnWaitTimeout(Time now);
  void Send(std::optional<std::int64_t> version, Time now);
  AnswerMatch MatchAnswer(const HttpResponse& head) const;
  void OnHead(const HttpResponse& head);
  void OnData(std::string_view data);
  void OnStreamData(std::string_view data);
  // Asks for a place for an answer that has become large, and pauses it until
  // there is one.
  void EnterAnswerGate();
  void LeaveAnswerGate();
  void OnAnswerTooLong();
  void AbortSlowCaller();
  void OnUpstreamEnd(UpstreamEnd end, Time now);
  // Decides whether the request may be sent again, and applies the end of the
  // send.
  void FinishSend(SendEnd end, Time now);
  void ApplySendEnd(SendEnd end, bool within_budget, Time now);
  void EndActivity();
  void RecordHealth(SendEnd end, Time now);
  // Ends a request that would crash the server it is sent to. Returns whether
  // it has ended.
  bool EndIfCrashCause(Time now);
  // Ends a request whose key the current configuration does not list. Returns
  // whether it has ended.
  bool EndIfRevoked(Time now);
  // Reports a request whose connection broke before its answer was complete:
  // its server may have crashed because of it.
  void ReportLost(Time now);
  // Records that an event has arrived.
  void RecordProgress(Time now);
  // Records that `parts` have not crashed the server.
  void RecordSound(std::span<const PartId> parts, Time now);
  void OnSilence();
  bool IsServerBusy(Time now) const;
  void RestartSilenceTimer(std::optional<Duration> limit);
  void OnDeadline();
  void OnCallerGone();
  // Returns whether the answer with `head` goes on with the stream that the
  // caller has got the beginning of, and is not a message of another kind.
  bool ContinuesStream(const HttpResponse& head) const;
  // Returns whether the stream has events and does not end inside one.
  bool EndsWithWholeEvent() const;
  void CompleteStream(Time now);
  // Ends a send whose complete answer is not a stream.
  void FinishAnswer(Time now);
  void TakeStep(RelayStep step, Time now);
  void SendErrorAnswer(RelayOutcome outcome, int status, Time now);
  void Done(RelayOutcome outcome, int status, Time now);
  void LogSendEnd(SendEnd end, Time now);
  void LogHeldBack(const CrashCause& cause, Time now);
  void LogRequestEnd(RelayOutcome outcome, int status, Time now);
  // Takes back a request whose server leaves, and places it again, if nothing
  // of it has been sent yet.
  void WithdrawUnsent(Time now);

  Environment& environment_;
  const HttpRequest request_;
  const RequestInfo info_;
  const Route route_;
  const std::string workspace_;  // Empty for callers without one.
  const double quota_cost_;      // What the request was charged.
  const FairShare share_;        // Where the request waits.
  // Whether the caller's own key and workspace are not passed on.
  const bool drops_caller_workspace_;
  // The latest configuration that lists the caller's key.
  std::int64_t key_config_version_ = 0;
  // What may crash a server: the request as a whole, which may come again, and
  // then the parts of the prompt of a generation, which others may share.
  std::vector<PartId> parts_;
  std::unique_ptr<HttpResponder> responder_;
  std::function<void(const RelayResult&)> on_done_;

  State state_ = State::kNew;
  std::string service_;
  // Determined once at the start: every `AddRunning` needs its `RemoveRunning`,
  // even if the configuration changes in between.
  bool is_generation_ = false;
  // Whether the prompt counts as work of the chosen engine.
  bool prompt_added_ = false;
  // Id of the call at the agent that keeps the places of its service, while it
  // waits or runs; 0 otherwise.
  std::int64_t place_ticket_ = 0;
  // Calls that the servers run at a time that this one may use.
  int places_ = 0;
  // Id of the prompt while it waits for admission; 0 otherwise.
  std::int64_t asked_prompt_ = 0;
  // Version and age of the configuration when the request started.
  std::int64_t config_version_ = 0;
  Duration config_age_ = Duration::zero();
  Time started_;
  Time deadline_;
  Time sent_;
  // Age of the list of backend servers at the last send.
  Duration backends_age_ = Duration::zero();
  Time wait_started_;
  Duration waited_ = Duration::zero();
  // The parts of `waited_` for an adapter and for admission.
  Duration waited_for_load_ = Duration::zero();
  Duration waited_for_admission_ = Duration::zero();
  int placements_ = 0;
  // Time from the send to the first event of a stream.
  std::optional<Duration> first_event_;
  // Prompt tokens at the engine that were not read at the send, with those of
  // this request. No value if the agent does not report them.
  std::optional<std::int64_t> unread_at_send_;
  Time last_event_;
  // The longest time between two events that were passed on.
  Duration longest_pause_ = Duration::zero();
  RelayProgress progress_;
  std::set<std::string> tried_;
  WaitingRequest waiting_request_;
  Placement placement_;
  Duration expected_delay_ = Duration::zero();
  // When a server of the service wants requests again, if none does now.
  std::optional<Duration> paused_for_;

  UpstreamCallId call_ = 0;
  std::uint64_t answer_ticket_ = 0;  // 0 unless the answer is large.
  // Connections that have carried this request. A server that sends its answer
  // once more would answer the next send there, since the attempt id, by which
  // answers are told apart, is that of the caller.
  std::vector<UpstreamConnectionId> used_connections_;
  HttpResponse head_;
  ResponseInfo answer_;
  bool has_head_ = false;
  // Of the current send.
  std::optional<Time> first_event_of_send_;
  // Whether the answer to the current send has got past its beginning, where
  // requests crash servers.
  bool has_settled_ = false;
  bool streaming_ = false;
  // Of the answer whose head the caller has got.
  bool stream_is_signed_ = false;
  std::string stream_media_type_;
  EventSplitter splitter_;

  TimerId deadline_timer_ = 0;
  TimerId wait_timer_ = 0;
  TimerId silence_timer_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_RELAY_CALL_H_
