#ifndef AMARANTHCOVE_TESTING_STANDINS_STANDIN_H_
#define AMARANTHCOVE_TESTING_STANDINS_STANDIN_H_

#include <memory>

#include "amaranthcove/net/http_server.h"

namespace amaranthcove::standins {

// Simulates one external system that is reached by HTTP on one address.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class StandIn {
 public:
  virtual ~StandIn() = default;

  // Handles one request and answers it through `responder`, before returning or
  // later from the event loop.
  virtual void Handle(HttpRequest request,
                      std::unique_ptr<HttpResponder> responder) = 0;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_STANDIN_H_
