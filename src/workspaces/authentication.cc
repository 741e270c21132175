#include "amaranthcove/workspaces/authentication.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

// Bounds what a caller's header makes a request count for.
constexpr std::int64_t kMaxCountedTokens = 1'000'000'000;

// Enough to tell the keys of a configuration apart.
constexpr int kDigestBits = 32;

}  // namespace

CallerIdentity IdentifyCaller(const RouteTable& table,
                              const Route& route,
                              const RequestInfo& info) {
  CallerIdentity identity;
  identity.has_workspaces = table.has_workspaces();
  if (!identity.has_workspaces || route.is_public) {
    identity.allowed = true;
    return identity;
  }
  identity.workspace =
      info.has_malformed_key ? nullptr : table.FindWorkspace(info.key);
  identity.allowed = identity.workspace != nullptr;
  if (identity.allowed) {
    identity.share = ShareOf(*identity.workspace, table.share_scale());
  }
  return identity;
}

std::string KeyDigest(std::string_view key, std::uint64_t salt) {
  if (key.empty()) {
    return "none";
  }
  const auto digest =
      static_cast<std::uint32_t>(Hash64(key, salt) >> (64 - kDigestBits));
  char text[kDigestBits / 4 + 1];
  std::snprintf(text, sizeof(text), "%08x", digest);
  return text;
}

double QuotaCost(const Workspace& workspace, const RequestInfo& info) {
  if (!workspace.counts_tokens) {
    return 1;
  }
  if (!info.has_token_usage) {
    return workspace.uncounted_tokens;
  }
  const auto bounded = [](std::int64_t tokens) {
    return static_cast<double>(
        std::clamp<std::int64_t>(tokens, 0, kMaxCountedTokens));
  };
  return bounded(info.prompt_tokens) + bounded(info.max_output_tokens);
}

}  // namespace amaranthcove
