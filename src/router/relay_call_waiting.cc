// How `RelayCall` waits: for an adapter, for the admission of its prompt, and
// for a place at a plain server.

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "amaranthcove/base/hash.h"
#include "src/router/relay_call.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// After waiting this long for an adapter, the engine is chosen again, since
// another one may now serve sooner.
constexpr Duration kWaitBeforePlacingAgain = milliseconds(500);

// An agent that has just started answers a demand within this time. Without an
// answer, the request is sent to the engine as it is.
constexpr Duration kWaitForSilentAgent = milliseconds(150);

}  // namespace

void RelayCall::SendOrAsk(std::optional<std::int64_t> version, Time now) {
  if (is_generation_ &&
      environment_.fleet.NeedsAdmission(placement_, info_, Goal(), now)) {
    WaitForAdmission(now);
  } else {
    Send(version, now);
  }
}

void RelayCall::WaitForAdmission(Time now) {
  state_ = State::kWaiting;
  wait_started_ = now;
  asked_prompt_ = environment_.fleet.links().AskAdmission(
      placement_.server.id, info_.prompt_tokens, waiting_request_, waited_,
      now);
  environment_.demand_changed();
  ScheduleAdmissionCheck();
}

void RelayCall::ScheduleAdmissionCheck() {
  wait_timer_ = environment_.loop.RunAfter(kWaitForSilentAgent, [this] {
    wait_timer_ = 0;
    CheckAdmission(environment_.loop.Now());
  });
}

void RelayCall::CheckAdmission(Time now) {
  Fleet& fleet = environment_.fleet;
  const std::string& engine = placement_.server.id;
  const EngineSnapshot* snapshot = fleet.links().Snapshot(engine, now);
  const bool agent_answers = snapshot != nullptr && snapshot->load_received &&
                             *snapshot->load_received >= wait_started_;
  if (agent_answers && now - wait_started_ < kWaitBeforePlacingAgain) {
    ScheduleAdmissionCheck();
    return;
  }
  std::optional<std::int64_t> version;
  if (!agent_answers && fleet.TakesWork(placement_.server, now) &&
      fleet.IsAdapterReady(engine, info_, now, version)) {
    // Without its agent, the engine queues what it cannot run yet.
    StopWaiting();
    Send(version, now);
    return;
  }
  OnWaitTimeout(now);
}

void RelayCall::OnAdmitted(std::int64_t prompt, Time now) {
  if (state_ != State::kWaiting || asked_prompt_ != prompt) {
    return;
  }
  StopWaiting();
  std::optional<std::int64_t> version;
  if (!environment_.fleet.TakesWork(placement_.server, now) ||
      !environment_.fleet.IsAdapterReady(placement_.server.id, info_, now,
                                         version)) {
    Place(now);
    return;
  }
  Send(version, now);
}

void RelayCall::WaitForAdapter(Time now) {
  state_ = State::kWaiting;
  wait_started_ = now;
  const AdapterName adapter(info_.model, info_.adapter);
  Fleet& fleet = environment_.fleet;
  fleet.BeginWait(placement_.server.id, now);
  fleet.links().AddWaiting(placement_.server.id, adapter,
                           fleet.MinVersion(adapter), waiting_request_, now);
  environment_.demand_changed();
  const Duration limit = placement_.place == AdapterPlace::kUnknown
                             ? kWaitForSilentAgent
                             : kWaitBeforePlacingAgain;
  wait_timer_ = environment_.loop.RunAfter(limit, [this] {
    wait_timer_ = 0;
    OnWaitTimeout(environment_.loop.Now());
  });
}

void RelayCall::WaitForPlace(Time now) {
  Fleet& fleet = environment_.fleet;
  std::vector<PlaceOption> options = fleet.PlainOptions(service_, tried_, now);
  if (options.empty()) {
    SendWithoutPlace(now);
    return;
  }
  GiveBackPlace();
  state_ = State::kWaiting;
  wait_started_ = now;
  placement_ = {};
  places_ = 0;
  for (const PlaceOption& option : options) {
    places_ += option.places;
  }
  place_ticket_ =
      fleet.places().Ask(service_, std::move(options), route_.priority,
                         LatestPlainSend(route_, info_.caller_timeout,
                                         fleet.ServiceTime(service_), started_),
                         share_, now);
  environment_.demand_changed();
  SchedulePlaceCheck();
}

void RelayCall::SchedulePlaceCheck() {
  wait_timer_ = environment_.loop.RunAfter(PlaceClient::kMaxSilence, [this] {
    wait_timer_ = 0;
    CheckPlace(environment_.loop.Now());
  });
}

void RelayCall::CheckPlace(Time now) {
  if (!environment_.fleet.places().IsAnswered(place_ticket_, now)) {
    // The agent learns of the call when it answers again.
    const std::int64_t ticket = std::exchange(place_ticket_, 0);
    StopWaiting();
    place_ticket_ = ticket;
    SendWithoutPlace(now);
    return;
  }
  if (progress_.may_have_run == 0 && IsHopelesslyLate(route_, started_, now)) {
    StopWaiting();
    expected_delay_ = now - started_;
    TakeStep(RelayStep::kRefuse, now);
    return;
  }
  if (now - wait_started_ >= kWaitBeforePlacingAgain) {
    // Other servers may serve by now.
    StopWaiting();
    Place(now);
    return;
  }
  SchedulePlaceCheck();
}

void RelayCall::SendWithoutPlace(Time now) {
  const std::optional<Placement> placement = environment_.fleet.PlacePlain(
      service_, tried_, Hash64(info_.attempt_id), now);
  if (!placement) {
    EndWithoutServer(now);
    return;
  }
  placement_ = *placement;
  Send(std::nullopt, now);
}

void RelayCall::OnPlaceWait(const PlaceWait& wait, Time now) {
  if (state_ != State::kWaiting || place_ticket_ != wait.id ||
      progress_.may_have_run > 0) {
    return;
  }
  const Duration service_time = environment_.fleet.ServiceTime(service_);
  const Duration expected =
      ExpectedPlaceWait(std::max(wait.ahead, 0), places_, service_time);
  if (!IsRefusedForPlaces(route_, started_, service_time, expected, now)) {
    return;
  }
  StopWaiting();
  expected_delay_ = expected;
  TakeStep(RelayStep::kRefuse, now);
}

void RelayCall::OnPlaceGranted(std::int64_t id, ServerHash server, Time now) {
  if (state_ != State::kWaiting || place_ticket_ != id) {
    return;
  }
  const std::optional<Placement> placement =
      environment_.fleet.PlaceAt(service_, server, now);
  if (!placement) {
    StopWaiting();
    Place(now);
    return;
  }
  const std::int64_t ticket = std::exchange(place_ticket_, 0);
  StopWaiting();
  place_ticket_ = ticket;
  placement_ = *placement;
  Send(std::nullopt, now);
}

void RelayCall::StopWaiting() {
  if (state_ != State::kWaiting) {
    return;
  }
  state_ = State::kNew;
  const Time now = environment_.loop.Now();
  const Duration waited = now - wait_started_;
  waited_ += waited;
  environment_.loop.Cancel(std::exchange(wait_timer_, 0));
  if (!is_generation_) {
    GiveBackPlace();
    return;
  }
  if (asked_prompt_ != 0) {
    waited_for_admission_ += waited;
    environment_.fleet.links().WithdrawPrompt(
        placement_.server.id, std::exchange(asked_prompt_, 0), now);
    return;
  }
  waited_for_load_ += waited;
  environment_.fleet.links().RemoveWaiting(
      placement_.server.id, {info_.model, info_.adapter}, waiting_request_);
}

void RelayCall::OnWaitTimeout(Time now) {
  StopWaiting();
  const std::string& engine = placement_.server.id;
  if (environment_.fleet.links().Snapshot(engine, now) == nullptr &&
      environment_.fleet.TakesWork(placement_.server, now)) {
    // Without its agent, the adapters of the engine are unknown. The engine
    // refuses a request for an adapter, or a version of it, that it does not
    // hold.
    Send(environment_.fleet.RequiredVersion(info_), now);
    return;
  }
  if (HasWaitedTooLong(waited_) && progress_.may_have_run == 0) {
    TakeStep(RelayStep::kRefuse, now);
    return;
  }
  Place(now);
}

}  // namespace amaranthcove
