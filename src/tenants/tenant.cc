#include "amaranthcove/tenants/tenant.h"

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

std::size_t TenantKeys::Hash::operator()(std::string_view key) const {
  return Hash64(key);
}

TenantKeys::TenantKeys(const std::vector<Tenant>& tenants) {
  for (const Tenant& tenant : tenants) {
    for (const std::string& key : tenant.keys) {
      if (!key.empty() && key.size() <= kMaxKeyBytes) {
        by_key_.emplace(key, &tenant);
      }
    }
  }
}

const Tenant* TenantKeys::Find(std::string_view key) const {
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return nullptr;
  }
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

}  // namespace amaranthcove
