#include "src/net/response_head.h"

#include <string>

#include "src/net/testing/malformed_heads.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::internal {

TEST_GROUP(ResponseHead){};

// Guards against taking a head that HTTP does not allow.
TEST(ResponseHead, MalformedLinesAreFound) {
  for (const std::string_view lines : kMalformedFieldLines) {
    const std::string head =
        "HTTP/1.1 200 OK\r\n" + std::string(lines) + "\r\n";
    CHECK_TEXT(!IsWellFormedResponseHead(head), head.c_str());
  }
}

// Guards against finding the end of a head at the wrong place, such as inside
// it or in the body.
TEST(ResponseHead, EndsAtTheFirstEmptyLine) {
  const std::string head = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n";
  CHECK(IsWellFormedResponseHead(head));
  for (std::size_t size = 0; size < head.size(); ++size) {
    ResponseHeadCheck check;
    CHECK_EQUAL(size, CheckResponseHead(check, head.substr(0, size)));
    CHECK(check.part != ResponseHeadCheck::Part::kComplete);
    CHECK(check.part != ResponseHeadCheck::Part::kMalformed);
  }
  ResponseHeadCheck check;
  CHECK_EQUAL(head.size(), CheckResponseHead(check, head + "body\r\n\r\n"));
}

// Guards against refusing what servers commonly send.
TEST(ResponseHead, CommonFormsAreWellFormed) {
  for (const char* head :
       {"HTTP/1.1 200\r\n\r\n", "HTTP/1.0 200 \r\n\r\n", "HTTP/1.1 204 No\n\n",
        "\r\nHTTP/1.1 200 OK\r\nA:\r\nB:\tc d \xFF\r\n\r\n"}) {
    CHECK_TEXT(IsWellFormedResponseHead(head), head);
  }
}

}  // namespace amaranthcove::internal
