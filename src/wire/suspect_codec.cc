#include "amaranthcove/wire/suspect_codec.h"

#include <chrono>

#include "amaranthcove/base/time.h"

namespace amaranthcove::wire {

Suspect ToWire(const SuspectUpdate& update) {
  Suspect suspect;
  suspect.fingerprint = static_cast<std::int64_t>(update.fingerprint);
  suspect.crashes = update.crashes;
  suspect.quarantined = update.quarantined;
  suspect.remaining_ms = ToMilliseconds(update.remaining);
  return suspect;
}

SuspectUpdate FromWire(const Suspect& suspect) {
  return {static_cast<Fingerprint>(suspect.fingerprint), suspect.crashes,
          suspect.quarantined, std::chrono::milliseconds(suspect.remaining_ms)};
}

}  // namespace amaranthcove::wire
