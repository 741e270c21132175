#include <algorithm>

#include "amaranthcove/service_document/service_document.h"
#include "src/service_document/names.h"

namespace amaranthcove {
namespace {

using Sentences = std::vector<std::string>;

std::string Quoted(std::string_view text) {
  // Uses += because g++ 12 reports a false -Wrestrict warning for operator+ in
  // optimised builds.
  std::string quoted = "\"";
  quoted += text;
  quoted += '"';
  return quoted;
}

template <typename T, std::size_t N>
std::string EnumName(const std::pair<std::string_view, T> (&words)[N],
                     T value) {
  for (const auto& [word, enum_value] : words) {
    if (enum_value == value) {
      return std::string(word);
    }
  }
  return {};
}

std::string Milliseconds(Duration duration) {
  return std::to_string(ToMilliseconds(duration)) + " ms";
}

void AddChange(const std::string& what,
               const std::string& before,
               const std::string& after,
               Sentences& out) {
  if (before != after) {
    out.push_back(what + " changes from " + before + " to " + after + ".");
  }
}

// Calls `removed` for each key only in `before`, `kept` for each key in both
// maps and `added` for each key only in `after`.
template <typename Map, typename ValueCallback, typename PairCallback>
void CompareMaps(const Map& before,
                 const Map& after,
                 ValueCallback removed,
                 ValueCallback added,
                 PairCallback kept) {
  for (const auto& [key, value] : before) {
    const auto match = after.find(key);
    if (match == after.end()) {
      removed(key, value);
    } else {
      kept(key, value, match->second);
    }
  }
  for (const auto& [key, value] : after) {
    if (!before.contains(key)) {
      added(key, value);
    }
  }
}

void DiffService(const ServiceDocument& before,
                 const ServiceDocument& after,
                 Sentences& out) {
  AddChange("The team", Quoted(before.team), Quoted(after.team), out);
  AddChange("The base model", Quoted(before.base_model),
            Quoted(after.base_model), out);
  AddChange("The objective", EnumName(kObjectives, before.objective),
            EnumName(kObjectives, after.objective), out);
}

std::map<std::string, RequestKind> KindsByName(
    const ServiceDocument& document) {
  std::map<std::string, RequestKind> kinds;
  for (const RequestKind& kind : document.kinds) {
    kinds.emplace(kind.name, kind);
  }
  return kinds;
}

void DiffKinds(const ServiceDocument& before,
               const ServiceDocument& after,
               Sentences& out) {
  using ValueCallback =
      std::function<void(const std::string&, const RequestKind&)>;
  const ValueCallback removed = [&](const auto& name, const auto& /*kind*/) {
    out.push_back("Kind " + Quoted(name) +
                  " is removed; requests that name it are rejected.");
  };
  const ValueCallback added = [&](const auto& name, const auto& kind) {
    out.push_back("Kind " + Quoted(name) +
                  " is added: " + EnumName(kUrgencies, kind.urgency) +
                  ", deadline " + Milliseconds(kind.deadline) + ".");
  };
  CompareMaps(KindsByName(before), KindsByName(after), removed, added,
              [&](const auto& name, const auto& from, const auto& to) {
                AddChange("The urgency of kind " + Quoted(name),
                          EnumName(kUrgencies, from.urgency),
                          EnumName(kUrgencies, to.urgency), out);
                AddChange("The deadline of kind " + Quoted(name),
                          Milliseconds(from.deadline),
                          Milliseconds(to.deadline), out);
              });
  if (!before.kinds.empty() && !after.kinds.empty()) {
    AddChange("The default kind", Quoted(before.kinds.front().name),
              Quoted(after.kinds.front().name), out);
  }
}

void DiffVersions(const std::string& adapter,
                  const std::set<std::int64_t>& before,
                  const std::set<std::int64_t>& after,
                  Sentences& out) {
  const std::string of_adapter = " of adapter " + Quoted(adapter);
  for (const std::int64_t version : before) {
    if (!after.contains(version)) {
      out.push_back("Version " + std::to_string(version) + of_adapter +
                    " is removed; requests that name it are rejected.");
    }
  }
  for (const std::int64_t version : after) {
    if (!before.contains(version)) {
      out.push_back("Version " + std::to_string(version) + of_adapter +
                    " is added.");
    }
  }
}

void DiffAdapters(const ServiceDocument& before,
                  const ServiceDocument& after,
                  Sentences& out) {
  using ValueCallback =
      std::function<void(const std::string&, const std::set<std::int64_t>&)>;
  const ValueCallback removed = [&](const auto& name,
                                    const auto& /*versions*/) {
    out.push_back("Adapter " + Quoted(name) +
                  " is removed; requests that name it are rejected.");
  };
  const ValueCallback added = [&](const auto& name, const auto& versions) {
    out.push_back("Adapter " + Quoted(name) + " is added.");
    DiffVersions(name, {}, versions, out);
  };
  CompareMaps(before.adapters, after.adapters, removed, added,
              [&](const auto& name, const auto& from, const auto& to) {
                DiffVersions(name, from, to, out);
              });
}

std::string FormatModel(const AdapterVersion& model) {
  return model.adapter + "@" + std::to_string(model.version);
}

void DiffAliases(const ServiceDocument& before,
                 const ServiceDocument& after,
                 Sentences& out) {
  using ValueCallback =
      std::function<void(const std::string&, const AdapterVersion&)>;
  const ValueCallback removed = [&](const auto& name, const auto& /*model*/) {
    out.push_back("Alias " + Quoted(name) +
                  " is removed; requests that name it are rejected.");
  };
  const ValueCallback added = [&](const auto& name, const auto& model) {
    out.push_back("Alias " + Quoted(name) + " is added for " +
                  FormatModel(model) + ".");
  };
  CompareMaps(before.aliases, after.aliases, removed, added,
              [&](const auto& name, const auto& from, const auto& to) {
                AddChange("Alias " + Quoted(name), FormatModel(from),
                          FormatModel(to), out);
              });
}

void DiffRules(const std::string& name,
               const PlainService& before,
               const PlainService& after,
               Sentences& out) {
  const auto missing_in = [](const PlainService& service,
                             const NeverRepeatRule& rule) {
    const auto& rules = service.never_repeat;
    return std::find(rules.begin(), rules.end(), rule) == rules.end();
  };
  const auto calls = [&](const NeverRepeatRule& rule) {
    return "Calls " + rule.method + " " + rule.path_prefix +
           " of plain service " + Quoted(name);
  };
  for (const NeverRepeatRule& rule : before.never_repeat) {
    if (missing_in(after, rule)) {
      out.push_back(calls(rule) + " may be repeated from now on.");
    }
  }
  for (const NeverRepeatRule& rule : after.never_repeat) {
    if (missing_in(before, rule)) {
      out.push_back(calls(rule) + " are never repeated from now on.");
    }
  }
}

void DiffPlainServices(const ServiceDocument& before,
                       const ServiceDocument& after,
                       Sentences& out) {
  using ValueCallback =
      std::function<void(const std::string&, const PlainService&)>;
  const ValueCallback removed = [&](const auto& name, const auto& /*service*/) {
    out.push_back("Plain service " + Quoted(name) +
                  " is removed; calls to it are rejected.");
  };
  const ValueCallback added = [&](const auto& name, const auto& service) {
    out.push_back("Plain service " + Quoted(name) + " is added.");
    DiffRules(name, {}, service, out);
  };
  CompareMaps(before.plain_services, after.plain_services, removed, added,
              [&](const auto& name, const auto& from, const auto& to) {
                DiffRules(name, from, to, out);
              });
}

void DiffBackendServers(const ServiceDocument& before,
                        const ServiceDocument& after,
                        Sentences& out) {
  for (const std::string& name : before.checks_fencing) {
    if (!after.checks_fencing.contains(name)) {
      out.push_back("Backend server " + Quoted(name) +
                    " is no longer taken to check fencing numbers.");
    }
  }
  for (const std::string& name : after.checks_fencing) {
    if (!before.checks_fencing.contains(name)) {
      out.push_back("Backend server " + Quoted(name) +
                    " is taken to check fencing numbers.");
    }
  }
}

}  // namespace

std::vector<std::string> DiffServiceDocuments(const ServiceDocument& before,
                                              const ServiceDocument& after) {
  Sentences sentences;
  DiffService(before, after, sentences);
  DiffKinds(before, after, sentences);
  DiffAdapters(before, after, sentences);
  DiffAliases(before, after, sentences);
  DiffPlainServices(before, after, sentences);
  DiffBackendServers(before, after, sentences);
  return sentences;
}

}  // namespace amaranthcove
