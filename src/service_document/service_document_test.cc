#include "amaranthcove/service_document/service_document.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {
namespace {

constexpr std::string_view kServiceSection =
    "[service]\nteam = t\nbase_model = base-1\nobjective = stalls\n";
constexpr std::string_view kOtherSections =
    "[kind counter]\nurgency = urgent\ndeadline_ms = 10000\n"
    "[kind report]\nurgency = patient\ndeadline_ms = 60000\n"
    "[adapter silk-care]\nversions = 3, 4\naliases = silk=4\n"
    "[plain booking]\nnever_repeat = POST /orders, POST /payments\n"
    "[backend_servers]\nchecks_fencing = engine-1, engine-2\n";

ServiceDocument Parse(const std::string& text) {
  auto document = ParseServiceDocument(text);
  CHECK_TEXT(document.has_value(),
             document ? "" : FormatIniErrors("f", document.error()).c_str());
  return document.value_or(ServiceDocument());
}

ServiceDocument Example() {
  return Parse(std::string(kServiceSection) + std::string(kOtherSections));
}

std::string ErrorsOf(const std::string& text) {
  const auto document = ParseServiceDocument(text);
  return document ? "" : FormatIniErrors("f", document.error());
}

}  // namespace

TEST_GROUP(ServiceDocument){};

// Guards against a request running on another adapter or version than it names,
// for example because "@04" is accepted as version 4.
TEST(ServiceDocument, ResolvesModels) {
  const ServiceDocument document = Example();
  const AdapterVersion latest{"silk-care", 4};
  for (const char* model : {"silk", "silk-care@4"}) {
    const Result<AdapterVersion> resolved = ResolveModel(document, model);
    CHECK_TEXT(resolved && *resolved == latest, model);
  }
  for (const char* model : {"", "silk-care", "silk-care@5", "silk-care@04",
                            "silk-care@", "silk@4", "@4", "silk-care@4@4"}) {
    CHECK_FALSE_TEXT(ResolveModel(document, model).has_value(), model);
  }
}

// Guards against requests of one kind being given the deadline of another, for
// example by a lookup that ignores letter case.
TEST(ServiceDocument, FindsKindsWithDefault) {
  const ServiceDocument document = Example();
  STRCMP_EQUAL("counter", (*FindRequestKind(document, ""))->name.c_str());
  CHECK((*FindRequestKind(document, "report"))->deadline ==
        std::chrono::seconds(60));
  CHECK_FALSE(FindRequestKind(document, "Report").has_value());
}

// Guards against a call being repeated despite a rule because its path is
// encoded or spelled differently from the prefix of the rule.
TEST(ServiceDocument, NeverRepeatIgnoresPathSpelling) {
  const ServiceDocument document = Example();
  for (const char* path : {"/orders", "/orders/7", "/orders?x=1", "/%6Frders",
                           "//orders", "/a/../orders", "/./orders", "/ORDERS",
                           "/a/%2e%2e/orders", "/payments", "orders"}) {
    CHECK_TEXT(IsNeverRepeat(document, "booking", "POST", path), path);
  }
  CHECK(IsNeverRepeat(document, "booking", "post", "/orders"));
  CHECK(IsNeverRepeat(document, "absent", "GET", "/"));
  CHECK_FALSE(IsNeverRepeat(document, "booking", "GET", "/orders"));
  CHECK_FALSE(IsNeverRepeat(document, "booking", "POST", "/stock?q=/orders"));
}

// Guards against a parser that stops at the first error or accepts an invalid
// document in part.
TEST(ServiceDocument, ReportsEveryError) {
  STRCMP_EQUAL(
      "f: [service] the section is missing\n"
      "f:1: [kind] the section needs a name: [kind NAME] with 1 to 64 letters, "
      "digits, '-', '_' or '.'\n"
      "f:3: [adapter a] versions: \"0\" is not a version; expected an integer "
      "from 1 to 1000000000\n"
      "f:4: [adapter a] aliases: alias \"z\" names version 7, which "
      "\"versions\" does not have\n"
      "f:4: [adapter a] aliases: \"q\" is not ALIAS=VERSION with an ALIAS of 1 "
      "to 64 letters, digits, '-', '_' or '.'\n"
      "f:4: [adapter a] aliases: alias \"b\" is the name of another adapter\n"
      "f:7: [adapter b] aliases: alias \"z\" already belongs to adapter \"a\"\n"
      "f:8: [kind k] deadline_ms: the key is missing\n"
      "f:9: [kind k] deadline_s: wrong or missing unit; the key is "
      "\"deadline_ms\"\n",
      ErrorsOf("[kind]\n[adapter a]\nversions = 1, 0\naliases = z=7, q, b=1\n"
               "[adapter b]\nversions = 2\naliases = z=2\n[kind k]\n"
               "deadline_s = 4\nurgency = urgent\n")
          .c_str());
  for (const char* rule : {"POST", "post /a", "POST a", "POST /a%20", "POST //",
                           "POST /a/../b", "POST /a b", "POST /a?b"}) {
    CHECK_TEXT(
        !ErrorsOf(std::string(kServiceSection) + "[kind k]\nurgency=urgent\n" +
                  "deadline_ms=1\n[plain p]\nnever_repeat=" + rule)
             .empty(),
        rule);
  }
  CHECK(!ErrorsOf(std::string(kMaxServiceDocumentBytes + 1, ';')).empty());
}

// Guards against changes that are missing from the description that operators
// review before an edit.
TEST(ServiceDocument, DescribesChanges) {
  const ServiceDocument before = Example();
  CHECK(DiffServiceDocuments(before, before).empty());
  const ServiceDocument after =
      Parse(std::string(kServiceSection) +
            "[kind report]\nurgency = patient\ndeadline_ms = 1000\n"
            "[adapter silk-care]\nversions = 4, 5\naliases = silk=5\n"
            "[plain booking]\nnever_repeat = POST /orders, PUT /x\n"
            "[backend_servers]\nchecks_fencing = engine-2\n");
  const std::string expected =
      "Kind \"counter\" is removed; requests that name it are rejected.\n"
      "The deadline of kind \"report\" changes from 60000 ms to 1000 ms.\n"
      "The default kind changes from \"counter\" to \"report\".\n"
      "Version 3 of adapter \"silk-care\" is removed; requests that name it "
      "are rejected.\n"
      "Version 5 of adapter \"silk-care\" is added.\n"
      "Alias \"silk\" changes from silk-care@4 to silk-care@5.\n"
      "Calls POST /payments of plain service \"booking\" may be repeated from "
      "now on.\n"
      "Calls PUT /x of plain service \"booking\" are never repeated from now "
      "on.\n"
      "Backend server \"engine-1\" is no longer taken to check fencing "
      "numbers.\n";
  std::string sentences;
  for (const std::string& sentence : DiffServiceDocuments(before, after)) {
    sentences += sentence + "\n";
  }
  STRCMP_EQUAL(expected.c_str(), sentences.c_str());
}

}  // namespace amaranthcove
