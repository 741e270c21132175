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

// A request target, taken apart. Percent-encoding is left as it is.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;
};

Target ParseTarget(std::string_view target);

// The whole number called `name` in the query, or `fallback`.
std::int64_t QueryNumber(const Target& target,
                         const std::string& name,
                         std::int64_t fallback);

// `body` as a JSON object; nothing if it is not one.
std::optional<Json> ParseObject(const std::string& body);

// Members of `object`, or `fallback` if absent or of another type.
std::int64_t NumberAt(const Json& object,
                      const char* key,
                      std::int64_t fallback);
std::string StringAt(const Json& object,
                     const char* key,
                     const std::string& fallback);
bool BoolAt(const Json& object, const char* key, bool fallback);

// Answers with a JSON body.
void SendJson(HttpResponder& responder,
              int status,
              const Json& body,
              HttpHeaders headers = {});

// Answers {"error":{"code","message"}} with the members of `extra` beside it.
void SendError(HttpResponder& responder,
               int status,
               std::string_view code,
               std::string_view message,
               HttpHeaders headers = {},
               Json extra = Json::object());

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_HTTP_UTIL_H_
