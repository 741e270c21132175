#include "src/platform_client/platform_answers.h"

#include <array>
#include <cctype>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/json.h"

namespace amaranthcove::internal {

namespace {

using Json = nlohmann::json;

// Returns the member `key` if it is an integer from 0 to the largest
// `std::int64_t`; the protocol has no other numbers.
std::optional<std::int64_t> IntegerMember(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_integer()) {
    return std::nullopt;
  }
  const auto value = found->get<std::int64_t>();
  return value < 0 ? std::nullopt : std::optional(value);
}

std::optional<std::string> StringMember(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

// Returns an empty string if the member is absent or not a string.
std::string OptionalStringMember(const Json& object, const char* key) {
  return StringMember(object, key).value_or(std::string());
}

template <typename Value, std::size_t kCount>
std::optional<Value> FindByName(
    const std::optional<std::string>& name,
    const std::array<std::pair<std::string_view, Value>, kCount>& values) {
  for (const auto& [known, value] : values) {
    if (name && *name == known) {
      return value;
    }
  }
  return std::nullopt;
}

constexpr std::array<std::pair<std::string_view, InstanceRole>, 2> kRoles{{
    {"entry", InstanceRole::kEntry},
    {"sidecar", InstanceRole::kSidecar},
}};

constexpr std::array<std::pair<std::string_view, InstanceState>, 3> kStates{{
    {"live", InstanceState::kLive},
    {"leaving", InstanceState::kLeaving},
    {"gone", InstanceState::kGone},
}};

constexpr std::array<std::pair<std::string_view, OfferKind>, 2> kKinds{{
    {"engine", OfferKind::kEngine},
    {"plain", OfferKind::kPlain},
}};

std::optional<Document> ParseDocumentItem(const Json& item) {
  if (!item.is_object()) {
    return std::nullopt;
  }
  const auto team = StringMember(item, "team");
  const auto revision = IntegerMember(item, "revision");
  const auto removed = item.find("removed");
  if (!team || team->empty() || !revision || *revision < 1 ||
      removed == item.end() || !removed->is_boolean()) {
    return std::nullopt;
  }
  return Document{*team, *revision, removed->get<bool>(), ""};
}

std::optional<BackendOffer> ParseBackendOffer(const Json& item,
                                              InstanceRole role) {
  if (role == InstanceRole::kEntry) {
    return BackendOffer{};
  }
  const auto backend = item.find("backend");
  if (backend == item.end() || !backend->is_object()) {
    return std::nullopt;
  }
  const auto kind = FindByName(StringMember(*backend, "kind"), kKinds);
  if (!kind) {
    return std::nullopt;
  }
  return BackendOffer{*kind, OptionalStringMember(*backend, "base_model"),
                      OptionalStringMember(*backend, "team"),
                      OptionalStringMember(*backend, "service")};
}

std::optional<InstanceRecord> ParseInstanceItem(const Json& item) {
  if (!item.is_object()) {
    return std::nullopt;
  }
  const auto name = StringMember(item, "instance");
  const auto role = FindByName(StringMember(item, "role"), kRoles);
  const auto state = FindByName(StringMember(item, "state"), kStates);
  const auto address = ParseAddress(OptionalStringMember(item, "address"));
  if (!name || name->empty() || !role || !state || !address) {
    return std::nullopt;
  }
  const auto backend = ParseBackendOffer(item, *role);
  if (!backend) {
    return std::nullopt;
  }
  return InstanceRecord{*name,
                        *role,
                        *address,
                        OptionalStringMember(item, "region"),
                        OptionalStringMember(item, "data_centre"),
                        *state,
                        *backend};
}

template <typename Item>
Result<Changes<Item>> ParseChanges(std::string_view body,
                                   const char* list_key,
                                   std::optional<Item> (*parse)(const Json&)) {
  const Json answer = ParseJsonList(body);
  if (!answer.is_object()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "the response is not a JSON object");
  }
  const auto revision = IntegerMember(answer, "revision");
  const auto list = answer.find(list_key);
  if (!revision || list == answer.end() || !list->is_array()) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        std::string("the response lacks \"revision\" or \"") + list_key + "\"");
  }
  Changes<Item> changes;
  changes.revision = *revision;
  for (const Json& element : *list) {
    if (std::optional<Item> item = parse(element)) {
      changes.items.push_back(std::move(*item));
    } else {
      ++changes.malformed_items;
    }
  }
  return changes;
}

}  // namespace

Result<Changes<Document>> ParseDocuments(std::string_view body) {
  return ParseChanges<Document>(body, "documents", ParseDocumentItem);
}

Result<Changes<InstanceRecord>> ParseInstances(std::string_view body) {
  return ParseChanges<InstanceRecord>(body, "instances", ParseInstanceItem);
}

Result<Document> ParseDocument(std::string_view body) {
  const Json answer = ParseJson(body);
  std::optional<Document> document = ParseDocumentItem(answer);
  if (!document) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "the response is not a document");
  }
  if (document->removed) {
    return *document;
  }
  std::optional<std::string> text = StringMember(answer, "text");
  if (!text) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        "the document of team \"" + document->team + "\" has no text");
  }
  document->text = std::move(*text);
  return *document;
}

std::string EncodePathSegment(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_') {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4];
      encoded += kDigits[byte & 15];
    }
  }
  return encoded;
}

}  // namespace amaranthcove::internal
