#include "amaranthcove/agent_link/quota_codec.h"

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace amaranthcove {

namespace {

agent_wire::QuotaReport Encode(const QuotaReport& report) {
  agent_wire::QuotaReport wire;
  wire.workspace = static_cast<std::int64_t>(report.workspace);
  wire.rate_per_s = report.limits.rate_per_s;
  wire.burst = report.limits.burst;
  wire.limits_version = report.limits_version;
  wire.used = report.use;
  wire.asked = report.asked;
  if (report.level) {
    wire.__set_level(*report.level);
  }
  return wire;
}

QuotaReport Decode(const agent_wire::QuotaReport& wire) {
  QuotaReport report;
  report.workspace = static_cast<WorkspaceId>(wire.workspace);
  report.limits = {std::max(wire.rate_per_s, 0.0), std::max(wire.burst, 0.0)};
  report.limits_version = wire.limits_version;
  report.use = wire.used;
  report.asked = wire.asked;
  if (wire.__isset.level) {
    report.level = wire.level;
  }
  return report;
}

agent_wire::QuotaView Encode(const LedgerView& view) {
  agent_wire::QuotaView wire;
  wire.workspace = static_cast<std::int64_t>(view.workspace);
  wire.level = view.level;
  wire.asked_per_s = view.asked_per_s;
  wire.own_asked_per_s = view.own_asked_per_s;
  wire.counted_use = view.counted_use;
  return wire;
}

LedgerView Decode(const agent_wire::QuotaView& wire) {
  return {static_cast<WorkspaceId>(wire.workspace), wire.level,
          wire.asked_per_s, wire.own_asked_per_s, wire.counted_use};
}

template <typename To, typename From>
std::vector<To> ConvertAll(std::span<const From> items,
                           To (*convert)(const From&)) {
  std::vector<To> result;
  result.reserve(items.size());
  std::transform(items.begin(), items.end(), std::back_inserter(result),
                 convert);
  return result;
}

}  // namespace

std::vector<agent_wire::QuotaReport> EncodeQuotaReports(
    std::span<const QuotaReport> reports) {
  return ConvertAll<agent_wire::QuotaReport>(reports, &Encode);
}

std::vector<QuotaReport> DecodeQuotaReports(
    std::span<const agent_wire::QuotaReport> wire) {
  return ConvertAll<QuotaReport>(wire, &Decode);
}

std::vector<agent_wire::QuotaView> EncodeLedgerViews(
    std::span<const LedgerView> views) {
  return ConvertAll<agent_wire::QuotaView>(views, &Encode);
}

std::vector<LedgerView> DecodeLedgerViews(
    std::span<const agent_wire::QuotaView> wire) {
  return ConvertAll<LedgerView>(wire, &Decode);
}

}  // namespace amaranthcove
