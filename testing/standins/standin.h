#ifndef AMARANTHCOVE_TESTING_STANDINS_STANDIN_H_
#define AMARANTHCOVE_TESTING_STANDINS_STANDIN_H_

#include <memory>

#include "amaranthcove/net/http_server.h"

namespace amaranthcove::standins {

// Simulates one outside system on one address.
//
// Thread safety: belongs to the loop's thread.
class StandIn {
 public:
  virtual ~StandIn() = default;

  // Answers one request, now or later.
  virtual void Handle(HttpRequest request,
                      std::unique_ptr<HttpResponder> responder) = 0;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_STANDIN_H_
