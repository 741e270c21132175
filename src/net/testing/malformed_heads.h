#ifndef AMARANTHCOVE_SRC_NET_TESTING_MALFORMED_HEADS_H_
#define AMARANTHCOVE_SRC_NET_TESTING_MALFORMED_HEADS_H_

#include <array>
#include <string_view>

namespace amaranthcove {

// What may follow "HTTP/1.1 200 OK\r\n" in the head of an answer that no client
// may take, because a line of it is no field. Readers of such a head may
// disagree about its fields and the length of the body. Each entry ends a line.
inline constexpr std::array<std::string_view, 17> kMalformedFieldLines = {
    "X Name: value\r\n",
    "X-Name : value\r\n",
    "X-Name\t: value\r\n",
    " X-Name: value\r\n",
    "\tX-Name: value\r\n",
    "X-Name: value\r\n X-Other: value\r\n",
    "X-Name: value\r\n\tX-Other: value\r\n",
    "X\x01Name: value\r\n",
    "X\x0bName: value\r\n",
    "X\x7fName: value\r\n",
    std::string_view("X\0Name: value\r\n", 15),
    "X\rName: value\r\n",
    ": value\r\n",
    "X-Name\r\n",
    "X-Name: a\x01z\r\n",
    std::string_view("X-Name: a\0z\r\n", 13),
    "X-Name: a\rz\r\n"};

// Field lines as above that seem to state the length of a body.
inline constexpr std::array<std::string_view, 6> kMalformedLengthLines = {
    "Content-Length : 4\r\n",
    "Content-Length\x01: 4\r\n",
    " Content-Length: 4\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Transfer-Encoding\x0b: chunked\r\n",
    "X-Name: a\r\n Content-Length: 4\r\n"};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_NET_TESTING_MALFORMED_HEADS_H_
