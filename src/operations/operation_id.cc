#include "amaranthcove/operations/operation_id.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <optional>
#include <vector>

#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace amaranthcove {

namespace {

constexpr std::string_view kVersion = "op1";
constexpr std::size_t kParts = 5;
constexpr std::size_t kTagDigits = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

bool ConsistsOf(std::string_view text, std::string_view characters) {
  return !text.empty() &&
         text.find_first_not_of(characters) == std::string_view::npos;
}

// Splits `text` into version, instance, incarnation, sequence and tag. Returns
// an empty vector if there are fewer parts. Only the instance name may contain
// dots.
std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> parts(kParts);
  for (std::size_t i = kParts - 1; i >= 2; --i) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
      return {};
    }
    parts[i] = text.substr(dot + 1);
    text = text.substr(0, dot);
  }
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) {
    return {};
  }
  parts[0] = text.substr(0, dot);
  parts[1] = text.substr(dot + 1);
  return parts;
}

// Parses a positive decimal number without sign or leading zeros.
std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end || value < 1 || text[0] == '0') {
    return std::nullopt;
  }
  return value;
}

std::string SignedPart(const OperationId& id) {
  return std::string(kVersion) + "." + id.instance + "." +
         std::to_string(id.incarnation) + "." + std::to_string(id.sequence);
}

}  // namespace

Result<OperationId> ParseOperationId(std::string_view text) {
  const std::vector<std::string_view> parts = Split(text);
  if (parts.size() != kParts || parts[0] != kVersion) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        "operation id is not op1.INSTANCE.INCARNATION.SEQUENCE.TAG");
  }
  if (!ConsistsOf(parts[1], kNameCharacters)) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "operation id has an invalid instance name");
  }
  const std::optional<std::int64_t> incarnation = ParseNumber(parts[2]);
  const std::optional<std::int64_t> sequence = ParseNumber(parts[3]);
  if (!incarnation || !sequence) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "operation id has an invalid incarnation or sequence");
  }
  if (parts[4].size() != kTagDigits || !ConsistsOf(parts[4], kHexDigits)) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "operation id has a tag that is not 16 hex digits");
  }
  return OperationId{std::string(parts[1]), *incarnation, *sequence,
                     std::string(parts[4])};
}

std::string FormatOperationId(const OperationId& id) {
  return SignedPart(id) + "." + id.tag;
}

std::string OperationTag(const OperationId& id, std::string_view key) {
  const std::string text = SignedPart(id);
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  const void* const data = text.data();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       static_cast<const unsigned char*>(data), text.size(), mac.data(), &size);
  std::string tag;
  for (std::size_t i = 0; i < kTagDigits / 2; ++i) {
    tag += kHexDigits[mac[i] >> 4];
    tag += kHexDigits[mac[i] & 15];
  }
  return tag;
}

}  // namespace amaranthcove
