#ifndef AMARANTHCOVE_TESTING_STANDINS_PLAIN_SERVICE_H_
#define AMARANTHCOVE_TESTING_STANDINS_PLAIN_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "testing/standins/http_util.h"
#include "testing/standins/standin.h"

namespace amaranthcove::standins {

struct PlainServiceSettings {
  Duration delay = Duration::zero();  // Time from execution to answer.
};

// Simulates the plain service described in section 10.2 of docs/design.md. Each
// request executes once, on arrival. GET /_executions returns the number of
// executions in total, by operation id and by "METHOD TARGET".
//
// POST /_control accepts any of these members:
//   "delay_ms": N sets the time from execution to answer;
//   "lose_next_answers": N breaks the connections of the next N requests after
//     they have executed;
//   "hang": true executes requests without ever answering them, until false is
//     sent.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class PlainService final : public StandIn {
 public:
  // Preconditions: `loop` outlives the service.
  PlainService(EventLoop& loop, const PlainServiceSettings& settings);

  void Handle(HttpRequest request,
              std::unique_ptr<HttpResponder> responder) override;

 private:
  void Control(const HttpRequest& request, HttpResponder& responder);
  void Execute(const HttpRequest& request,
               std::unique_ptr<HttpResponder> responder);
  Json Executions() const;

  EventLoop& loop_;
  Duration delay_;
  std::int64_t lose_next_answers_ = 0;
  bool hang_ = false;
  std::int64_t total_ = 0;
  std::map<std::string, std::int64_t> by_operation_;
  std::map<std::string, std::int64_t> by_target_;
  std::vector<std::shared_ptr<HttpResponder>> unanswered_;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_PLAIN_SERVICE_H_
