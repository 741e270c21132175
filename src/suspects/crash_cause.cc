#include "amaranthcove/suspects/crash_cause.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A single request can crash an engine and, sent again, a second one.
constexpr int kMinCrashes = 3;

// Crashes within this time of each other may have one cause other than a
// request, such as a loss of power.
constexpr Duration kSameMoment = milliseconds(100);
constexpr int kMinMoments = 2;
// For parts that engines have answered before.
constexpr int kMinMomentsOfKnownParts = 3;

// How long after its last crash a cause is kept from the engines.
constexpr Duration kQuarantine = minutes(10);
// For parts that engines have answered before. It is short because a wrong
// quarantine of such a part ends only when it is tried again.
constexpr Duration kQuarantineOfKnownParts = seconds(15);

// A part that may be the cause of crashes that no other cause explains.
struct Candidate {
  PartId part = 0;
  bool known = false;  // An engine has answered a request with it before.
  std::set<std::size_t> crashes;  // By index.
  std::set<std::uint64_t> requests;
};

std::vector<Candidate> FindCandidates(std::span<const ServerCrash> crashes,
                                      const std::vector<bool>& is_explained,
                                      const SoundParts& sound) {
  std::map<PartId, Candidate> by_part;
  for (std::size_t i = 0; i < crashes.size(); ++i) {
    if (is_explained[i]) {
      continue;
    }
    for (const LostRequest& request : crashes[i].requests) {
      for (const PartId part : request.parts) {
        const std::optional<Time> last_sound = sound.LastSound(part);
        if (last_sound && *last_sound > crashes[i].at) {
          continue;
        }
        Candidate& candidate = by_part[part];
        candidate.part = part;
        candidate.known = last_sound.has_value();
        candidate.crashes.insert(i);
        candidate.requests.insert(request.request);
      }
    }
  }
  std::vector<Candidate> result;
  result.reserve(by_part.size());
  for (auto& [part, candidate] : by_part) {
    result.push_back(std::move(candidate));
  }
  return result;
}

// Returns whether `a` is the likelier cause: an unknown part, then one of more
// crashes. Of two parts in the same crashes, one that occurs only beside the
// other is more specific; otherwise one in more requests is confirmed by more.
bool IsLikelier(const Candidate& a, const Candidate& b) {
  if (a.known != b.known) {
    return !a.known;
  }
  if (a.crashes.size() != b.crashes.size()) {
    return a.crashes.size() > b.crashes.size();
  }
  const bool b_holds_a = std::includes(b.requests.begin(), b.requests.end(),
                                       a.requests.begin(), a.requests.end());
  const bool a_holds_b = std::includes(a.requests.begin(), a.requests.end(),
                                       b.requests.begin(), b.requests.end());
  if (b_holds_a != a_holds_b) {
    return b_holds_a;
  }
  return a.requests.size() > b.requests.size();
}

// Returns how many of the times lie at least `kSameMoment` after the one
// counted before.
int CountMoments(std::vector<Time> times) {
  std::sort(times.begin(), times.end());
  int moments = 0;
  std::optional<Time> counted;
  for (const Time time : times) {
    if (!counted || time - *counted >= kSameMoment) {
      counted = time;
      ++moments;
    }
  }
  return moments;
}

// Returns the cause that `candidate` is, or nullopt if there is not enough
// evidence or its quarantine is over.
std::optional<CrashCause> MakeCause(std::span<const ServerCrash> crashes,
                                    const Candidate& candidate,
                                    Time now) {
  std::vector<Time> times;
  for (const std::size_t index : candidate.crashes) {
    times.push_back(crashes[index].at);
  }
  CrashCause cause;
  cause.parts = {candidate.part};
  cause.crashes = static_cast<int>(times.size());
  cause.until = *std::max_element(times.begin(), times.end()) +
                (candidate.known ? kQuarantineOfKnownParts : kQuarantine);
  const int needed = candidate.known ? kMinMomentsOfKnownParts : kMinMoments;
  if (cause.crashes < kMinCrashes || CountMoments(std::move(times)) < needed ||
      cause.until <= now) {
    return std::nullopt;
  }
  return cause;
}

}  // namespace

PartId HashPart(std::string_view name) {
  return Hash64(name);
}

std::uint64_t CrashId(const Address& server, std::int64_t started_at_ms) {
  return Hash64(FormatAddress(server),
                static_cast<std::uint64_t>(started_at_ms));
}

void SoundParts::Record(std::span<const PartId> parts, Time now) {
  for (const PartId part : parts) {
    newer_[part] = now;
  }
  if (newer_.size() >= kMinKeptParts) {
    older_ = std::exchange(newer_, {});
  }
}

std::optional<Time> SoundParts::LastSound(PartId part) const {
  for (const auto* times : {&newer_, &older_}) {
    const auto found = times->find(part);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

std::vector<CrashCause> FindCrashCauses(std::span<const ServerCrash> crashes,
                                        const SoundParts& sound,
                                        Time now) {
  std::vector<CrashCause> causes;
  std::vector<bool> is_explained(crashes.size(), false);
  while (true) {
    const std::vector<Candidate> candidates =
        FindCandidates(crashes, is_explained, sound);
    std::optional<CrashCause> cause;
    const Candidate* best = nullptr;
    for (const Candidate& candidate : candidates) {
      if (best != nullptr && !IsLikelier(candidate, *best)) {
        continue;
      }
      if (auto possible = MakeCause(crashes, candidate, now)) {
        cause = std::move(possible);
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return causes;
    }
    for (const Candidate& candidate : candidates) {
      if (&candidate != best && candidate.known == best->known &&
          candidate.requests == best->requests) {
        cause->parts.push_back(candidate.part);
      }
    }
    for (const std::size_t index : best->crashes) {
      is_explained[index] = true;
    }
    causes.push_back(std::move(*cause));
  }
}

bool HoldsCause(std::span<const PartId> parts, const CrashCause& cause) {
  return std::all_of(
      cause.parts.begin(), cause.parts.end(), [&parts](PartId part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
      });
}

}  // namespace amaranthcove
