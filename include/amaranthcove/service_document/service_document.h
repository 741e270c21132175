#ifndef AMARANTHCOVE_SERVICE_DOCUMENT_SERVICE_DOCUMENT_H_
#define AMARANTHCOVE_SERVICE_DOCUMENT_SERVICE_DOCUMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/ini/ini.h"

namespace amaranthcove {

inline constexpr std::size_t kMaxServiceDocumentBytes = 65'536;

// What placement and queues optimise for a team.
enum class Objective { kStalls, kBatchEfficiency };

enum class Urgency { kUrgent, kPatient };

// A kind of request: how urgent it is and how long it may take.
struct RequestKind {
  std::string name;
  Urgency urgency = Urgency::kUrgent;
  Duration deadline{};

  bool operator==(const RequestKind&) const = default;
};

// An adapter in one version.
struct AdapterVersion {
  std::string adapter;
  std::int64_t version = 0;

  bool operator==(const AdapterVersion&) const = default;
};

// Calls that must not be repeated: those with this method and a path that
// begins with this prefix.
struct NeverRepeatRule {
  std::string method;       // Upper case.
  std::string path_prefix;  // Begins with '/'.

  auto operator<=>(const NeverRepeatRule&) const = default;
};

// A plain service, reached under /s/TEAM/NAME/.
struct PlainService {
  std::vector<NeverRepeatRule> never_repeat;

  bool operator==(const PlainService&) const = default;
};

// The service document of one team (section 4 of the design). Thread-safe as
// any value type.
struct ServiceDocument {
  std::string team;
  std::string base_model;
  Objective objective = Objective::kStalls;
  std::vector<RequestKind> kinds;  // In file order; never empty when parsed.
  std::map<std::string, std::set<std::int64_t>, std::less<>> adapters;
  std::map<std::string, AdapterVersion, std::less<>> aliases;
  std::map<std::string, PlainService, std::less<>> plain_services;
  // Backend servers that reject commands with an old fencing number.
  std::set<std::string, std::less<>> checks_fencing;

  bool operator==(const ServiceDocument&) const = default;
};

// Parses and validates a document of at most kMaxServiceDocumentBytes. Errors:
// all of the document, in line order. Thread-safe.
tl::expected<ServiceDocument, IniErrors> ParseServiceDocument(
    std::string_view text);

// Resolves the part of a model name after "TEAM/": "ADAPTER@VERSION" or
// "ALIAS". Errors: kNotFound with a message for the caller. Thread-safe.
Result<AdapterVersion> ResolveModel(const ServiceDocument& document,
                                    std::string_view model);

// The kind called `name`, or the first kind if `name` is empty. Errors:
// kNotFound. Preconditions: `document` outlives the result. Thread-safe.
Result<const RequestKind*> FindRequestKind(const ServiceDocument& document,
                                           std::string_view name);

// Whether a call must not be repeated. `path` is what follows
// /s/TEAM/SERVICE and may have a query. The comparison is wide on purpose:
// backend servers may decode and normalise paths, so percent encoding, empty
// and dot segments and letter case make no difference. Calls to a service that
// the document does not have count as never to be repeated. Thread-safe.
bool IsNeverRepeat(const ServiceDocument& document,
                   std::string_view service,
                   std::string_view method,
                   std::string_view path);

// Describes what changes from `before` to `after`, one sentence for each
// change; empty if nothing does. Thread-safe.
std::vector<std::string> DiffServiceDocuments(const ServiceDocument& before,
                                              const ServiceDocument& after);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SERVICE_DOCUMENT_SERVICE_DOCUMENT_H_
