#include "amaranthcove/workspaces/workspace.h"

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

WorkspaceId IdOfWorkspace(std::string_view name) {
  return Hash64(name);
}

std::size_t WorkspaceKeys::Hash::operator()(std::string_view key) const {
  return Hash64(key);
}

WorkspaceKeys::WorkspaceKeys(const std::vector<Workspace>& workspaces) {
  for (const Workspace& workspace : workspaces) {
    for (const std::string& key : workspace.keys) {
      if (!key.empty() && key.size() <= kMaxKeyBytes) {
        by_key_.emplace(key, &workspace);
      }
    }
  }
}

const Workspace* WorkspaceKeys::Find(std::string_view key) const {
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return nullptr;
  }
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

}  // namespace amaranthcove
