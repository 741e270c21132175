#ifndef AMARANTHCOVE_TENANTS_TENANT_H_
#define AMARANTHCOVE_TENANTS_TENANT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthcove {

// What a tenant may use over all instances together. A rate of 0 is no limit.
struct QuotaLimits {
  double rate_per_s = 0;
  double burst = 0;  // On top of what the rate gives.

  bool operator==(const QuotaLimits&) const = default;
};

// A tenant of the operator. Its callers are known by their keys.
struct Tenant {
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

// Finds tenants by their keys.
//
// Thread safety: immutable; reading is thread-safe.
class TenantKeys {
 public:
  TenantKeys() = default;
  // `tenants` must outlive this object. Empty and over-long keys are left out,
  // and a key of several tenants belongs to the first.
  explicit TenantKeys(const std::vector<Tenant>& tenants);

  // Returns the tenant that holds `key`, or null. Takes constant time.
  const Tenant* Find(std::string_view key) const;

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view key) const;
  };
  std::unordered_map<std::string, const Tenant*, Hash, std::equal_to<>> by_key_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_TENANTS_TENANT_H_
