#include "amaranthcove/base/json.h"
#include "amaranthcove/base/utf8.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

TEST_GROUP(Utf8){};

// Guards against malformed text that passes for UTF-8 and makes a library throw
// when it is serialised.
TEST(Utf8, RejectsMalformedSequences) {
  for (const char* text : {"", "cafe", "caf\xC3\xA9", "\xE2\x82\xAC",
                           "\xF0\x9F\x98\x80", "\xED\x9F\xBF"}) {
    CHECK_TRUE_TEXT(IsUtf8(text), text);
  }
  for (const char* text :
       {"caf\xE9", "\x80", "\xC3", "\xC0\x80", "\xE0\x80\x80", "\xED\xA0\x80",
        "\xF0\x80\x80\x80", "\xF4\x90\x80\x80", "\xF5\x80\x80\x80", "\xE2\x82",
        "\xFF\xFE", "a\xC3(b"}) {
    CHECK_FALSE_TEXT(IsUtf8(text), text);
  }
}

TEST_GROUP(Json){};

// Guards against text from outside that ends the process when it is written
// into JSON: bytes that are not UTF-8, control characters, and long strings.
TEST(Json, SerialisesAnyBytes) {
  std::string all_bytes;
  for (int i = 0; i < 256; ++i) {
    all_bytes.push_back(static_cast<char>(i));
  }
  for (const std::string& text :
       {all_bytes, std::string("caf\xE9"), std::string(64 << 10, '\xFF')}) {
    const nlohmann::json written = ParseJson(SerializeJson({{"name", text}}));
    CHECK(written.is_object());
    CHECK(IsUtf8(written["name"].get<std::string>()));
  }
  CHECK(SerializeJson({{"name", "caf\xC3\xA9"}}) ==
        "{\"name\":\"caf\xC3\xA9\"}");
}

}  // namespace amaranthcove
