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

// Upper bound on the text of a service document.
inline constexpr std::size_t kMaxServiceDocumentBytes = 65'536;

// Optimisation goal of placement and queueing for a team.
enum class Objective { kStalls, kBatchEfficiency };

// Scheduling class of a request kind.
enum class Urgency { kUrgent, kPatient };

// A class of requests that share an urgency and a deadline.
struct RequestKind {
  std::string name;
  Urgency urgency = Urgency::kUrgent;
  Duration deadline{};  // Maximum duration of a request.

  bool operator==(const RequestKind&) const = default;
};

// One version of an adapter.
struct AdapterVersion {
  std::string adapter;
  std::int64_t version = 0;

  bool operator==(const AdapterVersion&) const = default;
};

// Matches calls that must not be repeated, by method and path prefix.
struct NeverRepeatRule {
  std::string method;       // Upper case.
  std::string path_prefix;  // Begins with '/'.

  auto operator<=>(const NeverRepeatRule&) const = default;
};

// A plain service, which callers reach under /s/TEAM/NAME/.
struct PlainService {
  std::vector<NeverRepeatRule> never_repeat;

  bool operator==(const PlainService&) const = default;
};

// The service document of one team (section 4 of the design). Concurrent reads
// are safe; writes need external synchronisation.
struct ServiceDocument {
  std::string team;
  std::string base_model;
  Objective objective = Objective::kStalls;
  // In file order; the first is the default. Not empty after parsing.
  std::vector<RequestKind> kinds;
  // The versions of each adapter.
  std::map<std::string, std::set<std::int64_t>, std::less<>> adapters;
  std::map<std::string, AdapterVersion, std::less<>> aliases;
  std::map<std::string, PlainService, std::less<>> plain_services;
  // Backend servers that reject commands with an outdated fencing number.
  std::set<std::string, std::less<>> checks_fencing;

  bool operator==(const ServiceDocument&) const = default;
};

// Parses and validates a document of at most `kMaxServiceDocumentBytes` bytes.
// Errors: all errors found, in line order; keys and sections are checked only
// if the INI syntax is valid. Thread-safe.
tl::expected<ServiceDocument, IniErrors> ParseServiceDocument(
    std::string_view text);

// Resolves the part of a model name after "TEAM/": "ADAPTER@VERSION" or
// "ALIAS". Errors: kNotFound, with a message that may be sent to the caller.
// Thread-safe.
Result<AdapterVersion> ResolveModel(const ServiceDocument& document,
                                    std::string_view model);

// Returns the kind with this name, or the first kind if `name` is empty.
// Errors: kNotFound. Preconditions: `document` outlives the result.
// Thread-safe.
Result<const RequestKind*> FindRequestKind(const ServiceDocument& document,
                                           std::string_view name);

// Returns whether a call must not be repeated. `path` is the part after
// /s/TEAM/SERVICE and may include a query. Matching ignores percent encoding,
// empty and dot segments and letter case, because backend servers may decode
// and normalise paths. Returns true for a service that the document does not
// contain. Thread-safe.
bool IsNeverRepeat(const ServiceDocument& document,
                   std::string_view service,
                   std::string_view method,
                   std::string_view path);

// Returns one sentence for each change from `before` to `after`, or an empty
// vector if nothing changes. Thread-safe.
std::vector<std::string> DiffServiceDocuments(const ServiceDocument& before,
                                              const ServiceDocument& after);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SERVICE_DOCUMENT_SERVICE_DOCUMENT_H_
