#include "testing/standins/http_util.h"

#include <charconv>
#include <utility>

namespace amaranthcove::standins {

Target ParseTarget(std::string_view target) {
  Target parsed;
  const std::size_t question_mark = target.find('?');
  parsed.path = std::string(target.substr(0, question_mark));
  if (question_mark == std::string_view::npos) {
    return parsed;
  }
  std::string_view rest = target.substr(question_mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    parsed.query[std::string(pair.substr(0, equals))] =
        equals == std::string_view::npos ? std::string()
                                         : std::string(pair.substr(equals + 1));
    rest = end == std::string_view::npos ? std::string_view()
                                         : rest.substr(end + 1);
  }
  return parsed;
}

std::int64_t QueryNumber(const Target& target,
                         const std::string& name,
                         std::int64_t fallback) {
  const auto found = target.query.find(name);
  if (found == target.query.end()) {
    return fallback;
  }
  const std::string& text = found->second;
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? number : fallback;
}

std::optional<Json> ParseObject(const std::string& body) {
  Json parsed = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  return parsed;
}

std::int64_t NumberAt(const Json& object,
                      const char* key,
                      std::int64_t fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number()
             ? found->get<std::int64_t>()
             : fallback;
}

std::string StringAt(const Json& object,
                     const char* key,
                     const std::string& fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : fallback;
}

bool BoolAt(const Json& object, const char* key, bool fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_boolean() ? found->get<bool>()
                                                      : fallback;
}

void SendJson(HttpResponder& responder,
              int status,
              const Json& body,
              HttpHeaders headers) {
  headers.push_back({"content-type", "application/json"});
  responder.Send({status, std::move(headers),
                  body.dump(-1, ' ', false, Json::error_handler_t::replace)});
}

void SendError(HttpResponder& responder,
               int status,
               std::string_view code,
               std::string_view message,
               HttpHeaders headers,
               Json extra) {
  extra["error"] = {{"code", code}, {"message", message}};
  SendJson(responder, status, extra, std::move(headers));
}

}  // namespace amaranthcove::standins
