#include "amaranthcove/supervisor/supervisor.h"

#include <algorithm>
#include <utility>

namespace amaranthcove {

std::optional<Time> NextRestart(const RestartPolicy& policy,
                                std::span<const Time> failures) {
  const Time now = failures.back();
  const auto recent = std::count_if(
      failures.begin(), failures.end(),
      [&](Time failure) { return now - failure < policy.window; });
  if (recent > policy.max_restarts) {
    return std::nullopt;
  }
  Duration delay = policy.first_delay;
  for (auto i = recent; i > 1 && delay < policy.max_delay; --i) {
    delay *= 2;
  }
  return now + std::min(delay, policy.max_delay);
}

void FailureHandle::Fail(Error error) const {
  const std::shared_ptr<Report> report = report_.lock();
  if (!report || report->error) {
    return;
  }
  report->error = std::move(error);
  if (report->on_schedule_change) {
    report->on_schedule_change();
  }
}

Supervisor::~Supervisor() {
  Stop();
}

void Supervisor::Add(ChildSpec child) {
  children_.push_back({std::move(child), nullptr, std::nullopt, {}});
}

Status Supervisor::Start() {
  started_ = true;
  for (Child& child : children_) {
    child.failures.clear();
    const Status status = StartChild(child);
    if (!status) {
      Stop();
      return MakeError(status.error().code,
                       child.spec.name + ": " + status.error().message);
    }
  }
  return {};
}

void Supervisor::Stop() {
  started_ = false;
  for (auto child = children_.rbegin(); child != children_.rend(); ++child) {
    StopChild(*child);
  }
}

void Supervisor::Tick(Time now) {
  for (Child& child : children_) {
    if (!started_) {
      return;
    }
    if (child.report && child.report->error) {
      const Error error = *child.report->error;
      StopChild(child);
      if (!HandleFailure(child, error, now)) {
        return;
      }
    }
    if (child.restart_at && *child.restart_at <= now) {
      child.restart_at.reset();
      const Status status = StartChild(child);
      if (!status && !HandleFailure(child, status.error(), now)) {
        return;
      }
    }
  }
}

std::optional<Time> Supervisor::NextTick() const {
  std::optional<Time> next;
  for (const Child& child : children_) {
    if (child.report && child.report->error) {
      return Time::min();
    }
    if (child.restart_at) {
      next = std::min(next.value_or(*child.restart_at), *child.restart_at);
    }
  }
  return next;
}

Status Supervisor::StartChild(Child& child) {
  child.report = std::make_shared<FailureHandle::Report>();
  child.report->on_schedule_change = callbacks_.on_schedule_change;
  Status status = child.spec.start(FailureHandle(child.report));
  if (!status) {
    child.report.reset();
  }
  return status;
}

void Supervisor::StopChild(Child& child) {
  child.restart_at.reset();
  // Reset before `stop`, so that failures reported during the stop are ignored.
  if (std::exchange(child.report, nullptr)) {
    child.spec.stop();
  }
}

bool Supervisor::HandleFailure(Child& child, const Error& error, Time now) {
  std::erase_if(child.failures, [&](Time failure) {
    return now - failure >= child.spec.policy.window;
  });
  child.failures.push_back(now);
  child.restart_at = NextRestart(child.spec.policy, child.failures);
  if (!child.restart_at) {
    Stop();
    if (callbacks_.on_failed) {
      callbacks_.on_failed(
          {error.code,
           child.spec.name + " failed too often: " + error.message});
    }
    return false;
  }
  if (callbacks_.on_restart) {
    callbacks_.on_restart(child.spec.name, error);
  }
  return true;
}

}  // namespace amaranthcove
