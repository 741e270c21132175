#ifndef AMARANTHCOVE_TESTING_STANDINS_EXPECTED_ANSWER_H_
#define AMARANTHCOVE_TESTING_STANDINS_EXPECTED_ANSWER_H_

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/hash.h"

namespace amaranthcove::standins {

// Defines the text that the engine stand-in generates: token N of a completion
// is "w<hash>-<N>" followed by a space, where the hash covers the model
// ("TEAM/ADAPTER@VERSION") and the prompt. Tests compute from it the answer
// that a caller must receive. All functions are thread-safe.

// Returns the part of every token before its number.
inline std::string TokenPrefix(std::string_view model,
                               std::string_view prompt) {
  std::string input(model);
  input += '\n';
  input += prompt;
  char digits[16];
  const auto end =
      std::to_chars(digits, digits + sizeof(digits), Hash64(input), 16).ptr;
  return "w" + std::string(digits, end) + "-";
}

// Returns token `number`, counted from 0.
inline std::string ExpectedToken(std::string_view model,
                                 std::string_view prompt,
                                 std::int64_t number) {
  return TokenPrefix(model, prompt) + std::to_string(number) + " ";
}

// Returns the text of a completion of `max_tokens` tokens.
inline std::string ExpectedAnswer(std::string_view model,
                                  std::string_view prompt,
                                  std::int64_t max_tokens) {
  const std::string prefix = TokenPrefix(model, prompt);
  std::string answer;
  for (std::int64_t i = 0; i < max_tokens; ++i) {
    answer += prefix + std::to_string(i) + " ";
  }
  return answer;
}

// Returns the prompt of a request body: the string "prompt" or, if there is
// none, the string contents of all chat messages, each followed by a line
// break.
inline std::string ExtractPrompt(const nlohmann::json& body) {
  if (body.contains("prompt") && body["prompt"].is_string()) {
    return body["prompt"].get<std::string>();
  }
  std::string prompt;
  if (body.contains("messages") && body["messages"].is_array()) {
    for (const nlohmann::json& message : body["messages"]) {
      if (message.contains("content") && message["content"].is_string()) {
        prompt += message["content"].get<std::string>() + "\n";
      }
    }
  }
  return prompt;
}

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_EXPECTED_ANSWER_H_
