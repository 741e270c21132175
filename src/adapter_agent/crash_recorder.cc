#include "amaranthcove/adapter_agent/crash_recorder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthcove {

namespace {

bool IsListed(const std::vector<LostRequest>& requests, std::uint64_t request) {
  return std::any_of(
      requests.begin(), requests.end(),
      [request](const LostRequest& known) { return known.request == request; });
}

// Drops a request that is less likely to be the cause than `request`. Most of
// the requests that a crash breaks had got past the beginning of their answers,
// and are suspected as a whole only.
bool MakeRoom(std::vector<LostRequest>& requests, const LostRequest& request) {
  const auto dropped =
      std::find_if(requests.begin(), requests.end(),
                   [](const LostRequest& r) { return r.parts.size() <= 1; });
  if (request.parts.size() <= 1 || dropped == requests.end()) {
    return false;
  }
  requests.erase(dropped);
  return true;
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
  bool changed = false;
  if (!crashes_.empty() && now - crashes_.back().recorded < kMatchWindow) {
    changed = Add(crashes_.back(), request);
  }
  lost_.push_back({std::move(request), now});
  if (lost_.size() > kMaxLost) {
    lost_.pop_front();
  }
  return changed;
}

bool CrashRecorder::OnCrash(std::uint64_t id, Time now) {
  Expire(now);
  if (crashes_.empty() || crashes_.back().crash.id != id) {
    crashes_.push_back({now, {id, now, {}}});
  }
  if (crashes_.size() > kMaxCrashes) {
    crashes_.pop_front();
  }
  // An engine that was only out of reach may crash later.
  RecordedCrash& crash = crashes_.back();
  crash.recorded = now;
  bool changed = false;
  for (const Lost& lost : lost_) {
    if (Add(crash, lost.request)) {
      // The engine's connections broke before the agent noticed.
      crash.crash.at = lost.at;
      changed = true;
    }
  }
  return changed;
}

bool CrashRecorder::OnPlainCrash(std::uint64_t id,
                                 LostRequest request,
                                 Time now) {
  Expire(now);
  auto found = std::find_if(
      plain_crashes_.begin(), plain_crashes_.end(),
      [id](const RecordedCrash& crash) { return crash.crash.id == id; });
  if (found == plain_crashes_.end()) {
    plain_crashes_.push_back({now, {id, now, {}}});
    if (plain_crashes_.size() > kMaxCrashes) {
      plain_crashes_.pop_front();
    }
    found = std::prev(plain_crashes_.end());
  }
  return Add(*found, std::move(request));
}

bool CrashRecorder::OnSound(PartId part) {
  bool changed = false;
  for (auto* crashes : {&crashes_, &plain_crashes_}) {
    for (RecordedCrash& crash : *crashes) {
      for (LostRequest& request : crash.crash.requests) {
        changed = std::erase(request.parts, part) > 0 || changed;
      }
    }
  }
  return changed;
}

std::vector<ServerCrash> CrashRecorder::Crashes(Time now) {
  Expire(now);
  std::vector<ServerCrash> result;
  for (const auto* crashes : {&crashes_, &plain_crashes_}) {
    for (const RecordedCrash& recorded : *crashes) {
      if (!recorded.crash.requests.empty()) {
        result.push_back(recorded.crash);
      }
    }
  }
  return result;
}

void CrashRecorder::Expire(Time now) {
  while (!lost_.empty() && now - lost_.front().at >= kMatchWindow) {
    lost_.pop_front();
  }
  for (auto* crashes : {&crashes_, &plain_crashes_}) {
    while (!crashes->empty() && now - crashes->front().recorded >= kLifetime) {
      crashes->pop_front();
    }
  }
}

bool CrashRecorder::Add(RecordedCrash& crash, LostRequest request) {
  std::vector<LostRequest>& requests = crash.crash.requests;
  if (IsListed(requests, request.request) ||
      (requests.size() >= kMaxRequests && !MakeRoom(requests, request))) {
    return false;
  }
  if (request.parts.size() > kMaxParts) {
    request.parts.resize(kMaxParts);
  }
  requests.push_back(std::move(request));
  return true;
}

}  // namespace amaranthcove
