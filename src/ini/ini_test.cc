#include "amaranthcove/ini/ini.h"
#include "amaranthcove/ini/schema.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {
namespace {

std::string ErrorsOf(std::string_view text) {
  const auto parsed = ParseIni(text);
  return parsed ? "" : FormatIniErrors("f", parsed.error());
}

}  // namespace

TEST_GROUP(Ini){};

// Guards against entries with wrong line numbers, and against section names
// truncated at 49 bytes, as inih does by itself.
TEST(Ini, KeepsLinesAndLongSectionNames) {
  const std::string name(64, 'n');
  const auto parsed =
      ParseIni("\xEF\xBB\xBF; comment\n[a]\r\n\nx = 1 ; one\n[b " + name +
               "] ; two\ny=p=q");
  CHECK(parsed.has_value());
  CHECK_EQUAL(2, parsed->size());
  CHECK((*parsed)[0].entries == (std::vector<IniEntry>{{"x", "1", 4}}));
  CHECK((*parsed)[1] ==
        (IniSection{"b", name, 5, std::vector<IniEntry>{{"y", "p=q", 6}}}));
}

// Guards against a file with a byte-order mark, which some editors write, being
// rejected as if its first section were missing.
TEST(Ini, SkipsAByteOrderMarkBeforeTheFirstSection) {
  const auto parsed = ParseIni("\xEF\xBB\xBF[a]\nx = 1\n");
  CHECK(parsed.has_value());
  CHECK_EQUAL(1, parsed->size());
  CHECK((*parsed)[0] ==
        (IniSection{"a", "", 1, std::vector<IniEntry>{{"x", "1", 2}}}));
}

// Guards against lines longer than the buffer of inih being split in two.
TEST(Ini, RefusesLongLines) {
  const std::string fits = "k=" + std::string(kMaxIniLineBytes - 2, 'v');
  STRCMP_EQUAL("", ErrorsOf("[a]\n" + fits + "\n").c_str());
  STRCMP_EQUAL("f:2: [a] the line has 198 bytes; at most 197 are allowed\n",
               ErrorsOf("[a]\n" + fits + "v\n").c_str());
}

// Guards against a parser that stops at the first error, and against errors
// with a wrong line, section or key.
TEST(Ini, ReportsEveryError) {
  STRCMP_EQUAL(
      "f:1: early: the key stands before the first section\n"
      "f:3: [a] the line begins with white space; continuation lines are not "
      "allowed\n"
      "f:4: [a] expected KEY = VALUE\n"
      "f:5: [a] expected KEY = VALUE\n"
      "f:6: [a] the key is missing; expected KEY = VALUE\n"
      "f:8: [a] x: duplicate key; each key may appear once in a section\n"
      "f:9: [a] duplicate section; each section may appear once\n"
      "f:10: the section header has no ']'\n"
      "f:11: text after the section header is not allowed\n",
      ErrorsOf("early = 1\n[a]\n  more\nword\nnext\n= 3\nx=1\nx=2\n[ a ]\n[b\n"
               "[c] d\nignored = 1")
          .c_str());
}

TEST_GROUP(IniSchema){};

// Guards against integers in ambiguous forms, such as with leading zeros, being
// accepted.
TEST(IniSchema, IntegersAreCanonical) {
  CHECK(ParseInteger("-5") == std::optional<std::int64_t>(-5));
  for (const char* text :
       {"", "05", "+5", "5 ", "5s", "99999999999999999999"}) {
    CHECK_FALSE_TEXT(ParseInteger(text).has_value(), text);
  }
}

// Guards against invalid values being accepted, and against a reader that stops
// at the first error of a section.
TEST(IniSchema, ReportsEveryError) {
  const auto parsed = ParseIni(
      "[s]\nwait_s = 1\nport = 1.2.3.4:0\nlist = a,,a\nnumber = 70000\n"
      "word = c\nname = a b\nother = 1\nrate = nan");
  CHECK(parsed.has_value());
  IniErrors errors;
  IniSectionReader reader(parsed->front(), errors);
  constexpr std::pair<std::string_view, int> kWords[] = {{"a", 1}, {"b", 2}};
  CHECK_EQUAL(7, reader.Integer("wait_ms", {0, 9}, 7));
  reader.ReadAddress("port", false);
  reader.List("list", true);
  reader.Integer("number", {1, 65535});
  reader.Enum<int>("word", kWords);
  reader.Name("name");
  reader.Number("rate", 0, 1, 0);
  reader.Text("absent");
  reader.ReportUnknownKeys();
  SortIniErrors(errors);
  STRCMP_EQUAL(
      "f:1: [s] absent: the key is missing\n"
      "f:2: [s] wait_s: wrong or missing unit; the key is \"wait_ms\"\n"
      "f:3: [s] port: port 0 is not allowed; expected 1 to 65535\n"
      "f:4: [s] list: the list has an empty item\n"
      "f:4: [s] list: \"a\" is in the list twice\n"
      "f:5: [s] number: \"70000\" is not an integer from 1 to 65535\n"
      "f:6: [s] word: \"c\" is not one of: a, b\n"
      "f:7: [s] name: \"a b\" is not a name; allowed are 1 to 64 letters, "
      "digits, '-', '_' or '.'\n"
      "f:8: [s] other: unknown key; allowed are: wait_ms, port, list, number, "
      "word, name, rate, absent\n"
      "f:9: [s] rate: \"nan\" is not a number from 0 to 1\n",
      FormatIniErrors("f", errors).c_str());
}

}  // namespace amaranthcove
