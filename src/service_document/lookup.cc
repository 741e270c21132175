#include <algorithm>
#include <optional>

#include "amaranthcove/ini/schema.h"
#include "amaranthcove/service_document/service_document.h"

namespace amaranthcove {
namespace {

char LowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](char c) { return LowerCase(c); });
  return lower;
}

// Returns the value of a hexadecimal digit, or -1 for another character.
int HexValue(char c) {
  const char lower = LowerCase(c);
  if (lower >= '0' && lower <= '9') {
    return lower - '0';
  }
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// Decodes valid percent escapes and copies invalid ones unchanged.
std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_encoded = text[i] == '%' && i + 2 < text.size() &&
                            HexValue(text[i + 1]) >= 0 &&
                            HexValue(text[i + 2]) >= 0;
    if (is_encoded) {
      decoded.push_back(static_cast<char>(HexValue(text[i + 1]) * 16 +
                                          HexValue(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

// Removes empty and dot segments: "/a//./b/../c" becomes "/a/c".
std::string RemoveDotSegments(std::string_view path) {
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/'), path.size());
    const std::string_view segment = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    if (segment == ".." && !segments.empty()) {
      segments.pop_back();
    } else if (!segment.empty() && segment != "." && segment != "..") {
      segments.push_back(segment);
    }
  }
  std::string result;
  for (const std::string_view segment : segments) {
    result += '/';
    result += segment;
  }
  return result.empty() ? "/" : result;
}

bool HasPrefix(std::string_view path, std::string_view prefix) {
  // Ignores trailing slashes of the rule, because servers often treat
  // "/orders" and "/orders/" alike.
  while (prefix.size() > 1 && prefix.ends_with('/')) {
    prefix.remove_suffix(1);
  }
  return path.starts_with(prefix);
}

}  // namespace

Result<AdapterVersion> ResolveModel(const ServiceDocument& document,
                                    std::string_view model) {
  const auto not_found = [&](std::string_view reason) {
    return MakeError(ErrorCode::kNotFound, "team \"" + document.team +
                                               "\" has no " +
                                               std::string(reason) + " \"" +
                                               std::string(model) + "\"");
  };
  const std::size_t at = model.find('@');
  if (at == std::string_view::npos) {
    const auto alias = document.aliases.find(model);
    if (alias == document.aliases.end()) {
      return not_found("alias");
    }
    return alias->second;
  }
  const auto adapter = document.adapters.find(model.substr(0, at));
  const std::optional<std::int64_t> version =
      ParseInteger(model.substr(at + 1));
  if (adapter == document.adapters.end() || !version ||
      !adapter->second.contains(*version)) {
    return not_found("adapter version");
  }
  return AdapterVersion{adapter->first, *version};
}

Result<const RequestKind*> FindRequestKind(const ServiceDocument& document,
                                           std::string_view name) {
  for (const RequestKind& kind : document.kinds) {
    if (name.empty() || kind.name == name) {
      return &kind;
    }
  }
  return MakeError(ErrorCode::kNotFound, "team \"" + document.team +
                                             "\" has no kind of request \"" +
                                             std::string(name) + "\"");
}

bool IsNeverRepeat(const ServiceDocument& document,
                   std::string_view service,
                   std::string_view method,
                   std::string_view path) {
  const auto found = document.plain_services.find(service);
  if (found == document.plain_services.end()) {
    return true;
  }
  const std::string_view raw = path.substr(0, path.find_first_of("?#"));
  const std::string_view with_slash = raw.empty() ? "/" : raw;
  const std::string lower = LowerCase(with_slash);
  const std::string normalised =
      LowerCase(RemoveDotSegments(DecodePercent(raw)));
  return std::any_of(
      found->second.never_repeat.begin(), found->second.never_repeat.end(),
      [&](const NeverRepeatRule& rule) {
        const std::string prefix = LowerCase(rule.path_prefix);
        return LowerCase(rule.method) == LowerCase(method) &&
               (HasPrefix(lower, prefix) || HasPrefix(normalised, prefix));
      });
}

}  // namespace amaranthcove
