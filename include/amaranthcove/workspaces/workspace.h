#ifndef AMARANTHCOVE_WORKSPACES_WORKSPACE_H_
#define AMARANTHCOVE_WORKSPACES_WORKSPACE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthcove {

// Identifies a workspace by the hash of its name; 0 is none.
using WorkspaceId = std::uint64_t;

// Returns the id of the workspace called `name`. Thread-safe.
WorkspaceId IdOfWorkspace(std::string_view name);

// What a workspace may use over all instances together. A rate of 0 is no
// limit.
struct QuotaLimits {
  double rate_per_s = 0;
  double burst = 0;  // On top of what the rate gives.

  bool operator==(const QuotaLimits&) const = default;
};

// A workspace of the operator. Its callers are known by their keys.
struct Workspace {
  std::string name;
  std::vector<std::string> keys;
  // The rank of its requests, before that of their routes; 0 is the most
  // urgent.
  std::optional<int> priority;
  QuotaLimits quota;
  // Whether the quota counts tokens instead of requests.
  bool counts_tokens = false;
  // The tokens that a request counts for if it does not state its own.
  double uncounted_tokens = 1;
};

// Longer keys are never valid, so that a caller cannot make a process hash
// large headers.
inline constexpr std::size_t kMaxKeyBytes = 256;

// Finds workspaces by their keys.
//
// Thread safety: immutable; reading is thread-safe.
class WorkspaceKeys {
 public:
  WorkspaceKeys() = default;
  // `workspaces` must outlive this object. Empty and over-long keys are left
  // out, and a key of several workspaces belongs to the first.
  explicit WorkspaceKeys(const std::vector<Workspace>& workspaces);

  // Returns the workspace that holds `key`, or null. Takes constant time.
  const Workspace* Find(std::string_view key) const;

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view key) const;
  };
  std::unordered_map<std::string, const Workspace*, Hash, std::equal_to<>>
      by_key_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_WORKSPACES_WORKSPACE_H_
