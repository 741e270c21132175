#include "src/platform_client/platform_answers.h"

#include <array>
#include <cctype>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace amaranthcove::internal {

namespace {

using Json = nlohmann::json;

// Non-negative integers that fit are the only numbers of the protocol.
std::optional<std::int64_t> Integer(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_integer()) {
    return std::nullopt;
  }
  const auto value = found->get<std::int64_t>();
  return value < 0 ? std::nullopt : std::optional(value);
}

std::optional<std::string> Text(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

// A text that may be left out; then it is empty.
std::string OptionalText(const Json& object, const char* key) {
  return Text(object, key).value_or(std::string());
}

template <typename Value, std::size_t kCount>
std::optional<Value> Named(
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

std::optional<Document> DocumentOf(const Json& item) {
  if (!item.is_object()) {
    return std::nullopt;
  }
  const auto team = Text(item, "team");
  const auto revision = Integer(item, "revision");
  const auto removed = item.find("removed");
  if (!team || team->empty() || !revision || *revision < 1 ||
      removed == item.end() || !removed->is_boolean()) {
    return std::nullopt;
  }
  return Document{*team, *revision, removed->get<bool>(), ""};
}

std::optional<BackendOffer> BackendOf(const Json& item, InstanceRole role) {
  if (role == InstanceRole::kEntry) {
    return BackendOffer{};
  }
  const auto backend = item.find("backend");
  if (backend == item.end() || !backend->is_object()) {
    return std::nullopt;
  }
  const auto kind = Named(Text(*backend, "kind"), kKinds);
  if (!kind) {
    return std::nullopt;
  }
  return BackendOffer{*kind, OptionalText(*backend, "base_model"),
                      OptionalText(*backend, "team"),
                      OptionalText(*backend, "service")};
}

std::optional<InstanceRecord> InstanceOf(const Json& item) {
  if (!item.is_object()) {
    return std::nullopt;
  }
  const auto name = Text(item, "instance");
  const auto role = Named(Text(item, "role"), kRoles);
  const auto state = Named(Text(item, "state"), kStates);
  const auto address = ParseAddress(OptionalText(item, "address"));
  if (!name || name->empty() || !role || !state || !address) {
    return std::nullopt;
  }
  const auto backend = BackendOf(item, *role);
  if (!backend) {
    return std::nullopt;
  }
  return InstanceRecord{*name,
                        *role,
                        *address,
                        OptionalText(item, "region"),
                        OptionalText(item, "data_centre"),
                        *state,
                        *backend};
}

template <typename Item>
Result<Changes<Item>> ParseChanges(std::string_view body,
                                   const char* list_key,
                                   std::optional<Item> (*parse)(const Json&)) {
  const Json answer = Json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "the answer is not a JSON object");
  }
  const auto revision = Integer(answer, "revision");
  const auto list = answer.find(list_key);
  if (!revision || list == answer.end() || !list->is_array()) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        std::string("the answer lacks \"revision\" or \"") + list_key + "\"");
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
  return ParseChanges<Document>(body, "documents", DocumentOf);
}

Result<Changes<InstanceRecord>> ParseInstances(std::string_view body) {
  return ParseChanges<InstanceRecord>(body, "instances", InstanceOf);
}

Result<Document> ParseDocument(std::string_view body) {
  const Json answer = Json::parse(body, nullptr, false);
  std::optional<Document> document = DocumentOf(answer);
  if (!document) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "the answer is not a document");
  }
  if (document->removed) {
    return *document;
  }
  std::optional<std::string> text = Text(answer, "text");
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
