#include "amaranthcove/base/address.h"
#include "amaranthcove/base/hash.h"
#include "amaranthcove/base/ids.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

TEST_GROUP(Address){};

// Guards against an address being changed by parsing and formatting.
TEST(Address, RoundTrip) {
  const Result<Address> address = ParseAddress("127.0.0.1:8080");
  CHECK(address.has_value());
  STRCMP_EQUAL("127.0.0.1:8080", FormatAddress(*address).c_str());
}

// Guards against invalid addresses in settings being accepted, which would fail
// only when a listener or a client uses them.
TEST(Address, RejectsInvalidText) {
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                           "127.0.0.1:80x", "localhost:80", "1.2.3:4"}) {
    CHECK_FALSE_TEXT(ParseAddress(text).has_value(), text);
  }
}

TEST_GROUP(Hash){};

// Guards against a hash that differs between releases: entries of different
// releases would choose different backend servers for the same adapter.
TEST(Hash, IsStable) {
  CHECK(Hash64("adapter") != Hash64("adapter", 1));
  CHECK_EQUAL(0x2D06800538D394C2ULL, Hash64(""));
}

}  // namespace amaranthcove
