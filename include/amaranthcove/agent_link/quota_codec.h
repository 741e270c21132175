#ifndef AMARANTHCOVE_AGENT_LINK_QUOTA_CODEC_H_
#define AMARANTHCOVE_AGENT_LINK_QUOTA_CODEC_H_

#include <span>
#include <vector>

#include "amaranthcove/agent_link/datagram.h"
#include "amaranthcove/quota/quota_ledger.h"

namespace amaranthcove {

// Convert the reports on quotas and the views of ledgers from and to their form
// in datagrams. Thread-safe.
std::vector<agent_wire::QuotaReport> EncodeQuotaReports(
    std::span<const QuotaReport> reports);
std::vector<QuotaReport> DecodeQuotaReports(
    std::span<const agent_wire::QuotaReport> wire);
std::vector<agent_wire::QuotaView> EncodeLedgerViews(
    std::span<const LedgerView> views);
std::vector<LedgerView> DecodeLedgerViews(
    std::span<const agent_wire::QuotaView> wire);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_AGENT_LINK_QUOTA_CODEC_H_
