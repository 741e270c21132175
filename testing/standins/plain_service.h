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
  Duration delay = Duration::zero();  // From execution to answer.
};

// The plain service of section 10.2. Any request executes once on arrival.
// GET /_executions counts executions for each operation id and for each
// "METHOD TARGET". POST /_control: {"delay_ms":N}, {"lose_next_answers":N} (the
// next N requests execute, then their connections break), {"hang":true} (later
// requests execute and are never answered; false ends it).
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
