#ifndef AMARANTHCOVE_TESTING_STANDINS_HTTP_UTIL_H_
#define AMARANTHCOVE_TESTING_STANDINS_HTTP_UTIL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "amaranthcove/net/http_server.h"

namespace amaranthcove::standins {

using Json = nlohmann::json;

// The path and query parameters of a request target, without percent-decoding.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;
};

// Splits a request target into its path and query parameters. A parameter
// without "=" gets an empty value; of repeated parameters the last one counts.
Target ParseTarget(std::string_view target);

// Returns the query parameter `name` as an integer, or `fallback` if it is
// absent or not an integer.
std::int64_t QueryNumber(const Target& target,
                         const std::string& name,
                         std::int64_t fallback);

// Parses `body` as a JSON object. Returns nullopt if it is not one.
std::optional<Json> ParseObject(const std::string& body);

// Return the member `key` of `object`, or `fallback` if it is absent or of
// another type.
std::int64_t NumberAt(const Json& object,
                      const char* key,
                      std::int64_t fallback);
std::string StringAt(const Json& object,
                     const char* key,
                     const std::string& fallback);
bool BoolAt(const Json& object, const char* key, bool fallback);

// Sends a response with the JSON body `body`.
void SendJson(HttpResponder& responder,
              int status,
              const Json& body,
              HttpHeaders headers = {});

// Sends {"error":{"code","message"}}. The members of `extra`, which must be a
// JSON object, are added at the top level.
void SendError(HttpResponder& responder,
               int status,
               std::string_view code,
               std::string_view message,
               HttpHeaders headers = {},
               Json extra = Json::object());

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_HTTP_UTIL_H_
