#include "amaranthcove/adapter_agent/crash_recorder.h"

#include <algorithm>
#include <utility>

namespace amaranthcove {

namespace {

bool IsListed(const std::vector<LostRequest>& requests, std::uint64_t request) {
  return std::any_of(
      requests.begin(), requests.end(),
      [request](const LostRequest& known) { return known.request == request; });
}

}  // namespace

bool CrashRecorder::OnLost(LostRequest request, Time now) {
  Expire(now);
  const bool known =
      std::any_of(lost_.begin(), lost_.end(), [&request](const Lost& lost) {
        return lost.request.request == request.request;
      });
  if (known) {
    return false;
  }
  if (request.parts.size() > kMaxParts) {
    request.parts.resize(kMaxParts);
  }
  bool changed = false;
  if (!crashes_.empty() && now - crashes_.back().recorded < kMatchWindow) {
    changed = Add(crashes_.back(), request);
  }
  lost_.push_back({std::move(request), now});
  return changed;
}

bool CrashRecorder::OnCrash(std::int64_t engine_started_at_ms, Time now) {
  Expire(now);
  if (!crashes_.empty() &&
      crashes_.back().engine_started_at_ms == engine_started_at_ms) {
    return false;
  }
  RecordedCrash crash;
  crash.engine_started_at_ms = engine_started_at_ms;
  crash.recorded = now;
  // The engine's connections broke before the agent noticed.
  crash.crash.at = lost_.empty() ? now : lost_.back().at;
  for (const Lost& lost : lost_) {
    Add(crash, lost.request);
  }
  crashes_.push_back(std::move(crash));
  if (crashes_.size() > kMaxCrashes) {
    crashes_.pop_front();
  }
  return !crashes_.back().crash.requests.empty();
}

bool CrashRecorder::OnBegun(PartId part) {
  bool changed = false;
  for (RecordedCrash& crash : crashes_) {
    for (LostRequest& request : crash.crash.requests) {
      changed = std::erase(request.parts, part) > 0 || changed;
    }
  }
  return changed;
}

std::vector<RecordedCrash> CrashRecorder::Crashes(Time now) {
  Expire(now);
  std::vector<RecordedCrash> result;
  for (const RecordedCrash& crash : crashes_) {
    if (!crash.crash.requests.empty()) {
      result.push_back(crash);
    }
  }
  return result;
}

void CrashRecorder::Expire(Time now) {
  while (!lost_.empty() && now - lost_.front().at >= kMatchWindow) {
    lost_.pop_front();
  }
  while (!crashes_.empty() && now - crashes_.front().recorded >= kLifetime) {
    crashes_.pop_front();
  }
}

bool CrashRecorder::Add(RecordedCrash& crash, const LostRequest& request) {
  std::vector<LostRequest>& requests = crash.crash.requests;
  if (requests.size() >= kMaxRequests || IsListed(requests, request.request)) {
    return false;
  }
  requests.push_back(request);
  return true;
}

}  // namespace amaranthcove
