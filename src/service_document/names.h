#ifndef AMARANTHCOVE_SERVICE_DOCUMENT_NAMES_H_
#define AMARANTHCOVE_SERVICE_DOCUMENT_NAMES_H_

#include <string_view>
#include <utility>

#include "amaranthcove/service_document/service_document.h"

namespace amaranthcove {

// The spelling of each enumerator in a service document.
inline constexpr std::pair<std::string_view, Objective> kObjectives[] = {
    {"stalls", Objective::kStalls},
    {"batch_efficiency", Objective::kBatchEfficiency}};

inline constexpr std::pair<std::string_view, Urgency> kUrgencies[] = {
    {"urgent", Urgency::kUrgent},
    {"patient", Urgency::kPatient}};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SERVICE_DOCUMENT_NAMES_H_
