// The log lines of `RelayCall`.

#include <span>
#include <string>

#include "src/router/relay_call.h"

namespace amaranthcove {

namespace {

std::string_view SendEndName(SendEnd end) {
  switch (end) {
    case SendEnd::kNotSent:
      return "not_reachable";
    case SendEnd::kNotRun:
      return "not_run";
    case SendEnd::kAnswered:
      return "answered";
    case SendEnd::kServerError:
      return "server_error";
    case SendEnd::kBroken:
      return "broken";
    case SendEnd::kSilent:
      return "silent";
  }
  return "unknown";
}

std::string_view PlaceName(AdapterPlace place) {
  switch (place) {
    case AdapterPlace::kResident:
      return "resident";
    case AdapterPlace::kLoading:
      return "loading";
    case AdapterPlace::kAbsent:
      return "absent";
    case AdapterPlace::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string JoinParts(std::span<const std::string> parts) {
  std::string joined;
  for (const std::string& part : parts) {
    joined += joined.empty() ? "" : ",";
    joined += part;
  }
  return joined;
}

}  // namespace

std::string_view RelayOutcomeName(RelayOutcome outcome) {
  switch (outcome) {
    case RelayOutcome::kAnswered:
      return "answered";
    case RelayOutcome::kRefused:
      return "refused";
    case RelayOutcome::kFailed:
      return "failed";
    case RelayOutcome::kTimedOut:
      return "timed_out";
    case RelayOutcome::kBrokenOff:
      return "broken_off";
    case RelayOutcome::kCallerGone:
      return "caller_gone";
    case RelayOutcome::kUnauthorized:
      return "unauthorized";
  }
  return "unknown";
}

void RelayCall::LogSendEnd(SendEnd end, Time now) {
  if (end == SendEnd::kAnswered) {
    return;
  }
  environment_.log.Write(
      LogLevel::kInfo, "send_failed",
      {{"request", info_.attempt_id},
       {"server", placement_.server.id},
       {"end", std::string(SendEndName(end))},
       {"status", std::to_string(has_head_ ? head_.status : 0)},
       {"after_ms", std::to_string(ToMilliseconds(now - sent_))},
       {"begun", progress_.answer_begun ? "1" : "0"},
       {"parts", JoinParts(info_.prompt_parts)}});
}

void RelayCall::LogHeldBack(const CrashCause& cause, Time now) {
  environment_.log.Write(
      LogLevel::kInfo, "crash_cause_held_back",
      {{"request", info_.attempt_id},
       {"parts", JoinParts(info_.prompt_parts)},
       {"crashes", std::to_string(cause.crashes)},
       {"for_ms", std::to_string(ToMilliseconds(cause.until - now))}});
}

void RelayCall::LogRequestEnd(RelayOutcome outcome, int status, Time now) {
  environment_.log.Write(
      LogLevel::kInfo, "request_end",
      {{"request", info_.attempt_id},
       {"route", route_.name},
       {"workspace", workspace_},
       {"config", std::to_string(config_version_)},
       {"config_age_ms", std::to_string(ToMilliseconds(config_age_))},
       {"service", service_},
       {"server", placement_.server.id},
       {"adapter", info_.adapter},
       {"place", std::string(PlaceName(placement_.place))},
       {"candidates", std::to_string(placement_.candidates)},
       {"running", std::to_string(placement_.running)},
       {"queued", std::to_string(placement_.queued)},
       {"token_us", std::to_string(static_cast<int>(
                        placement_.pace.prompt_token_ms * 1000))},
       {"base_ms",
        std::to_string(static_cast<int>(placement_.pace.first_event_ms))},
       {"event_ms",
        std::to_string(static_cast<int>(placement_.pace.event_interval_ms))},
       {"slowness_pct",
        std::to_string(static_cast<int>(placement_.slowness * 100))},
       {"view_age_ms", std::to_string(placement_.view_age_ms)},
       {"backends_age_ms", std::to_string(ToMilliseconds(backends_age_))},
       {"expected_ms",
        std::to_string(static_cast<int>(placement_.expected_delay_ms))},
       {"outcome", std::string(RelayOutcomeName(outcome))},
       {"status", std::to_string(status)},
       {"may_have_run", std::to_string(progress_.may_have_run)},
       {"not_run", std::to_string(progress_.not_run)},
       {"waited_ms", std::to_string(ToMilliseconds(waited_))},
       {"load_ms", std::to_string(ToMilliseconds(waited_for_load_))},
       {"admission_ms", std::to_string(ToMilliseconds(waited_for_admission_))},
       {"placements", std::to_string(placements_)},
       {"first_ms",
        std::to_string(first_event_ ? ToMilliseconds(*first_event_) : -1)},
       {"longest_pause_ms", std::to_string(ToMilliseconds(longest_pause_))},
       {"unread_tokens", std::to_string(unread_at_send_.value_or(-1))},
       {"prompt_tokens", std::to_string(info_.prompt_tokens)},
       {"total_ms", std::to_string(ToMilliseconds(now - started_))},
       {"limit_ms", std::to_string(ToMilliseconds(deadline_ - started_))}});
}

}  // namespace amaranthcove
