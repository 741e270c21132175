#include "testing/standins/plain_service.h"

#include <utility>

namespace amaranthcove::standins {

PlainService::PlainService(EventLoop& loop,
                           const PlainServiceSettings& settings)
    : loop_(loop), delay_(settings.delay) {}

void PlainService::Handle(HttpRequest request,
                          std::unique_ptr<HttpResponder> responder) {
  if (request.path == "/_executions") {
    SendJson(*responder, 200, Executions());
  } else if (request.path == "/_control") {
    Control(request, *responder);
  } else {
    Execute(request, std::move(responder));
  }
}

void PlainService::Control(const HttpRequest& request,
                           HttpResponder& responder) {
  const auto control = ParseObject(request.body);
  if (!control.has_value()) {
    SendError(responder, 400, "bad_request", "the body is no JSON object");
    return;
  }
  delay_ = std::chrono::milliseconds(
      NumberAt(*control, "delay_ms", ToMilliseconds(delay_)));
  lose_next_answers_ =
      NumberAt(*control, "lose_next_answers", lose_next_answers_);
  hang_ = BoolAt(*control, "hang", hang_);
  SendJson(responder, 200, Json::object());
}

void PlainService::Execute(const HttpRequest& request,
                           std::unique_ptr<HttpResponder> responder) {
  const std::string operation(FindHeader(request.headers, "x-operation-id"));
  const std::string target = request.method + " " + request.path;
  ++total_;
  ++by_target_[target];
  Json answer = {{"execution", total_},
                 {"target", target},
                 {"body_bytes", request.body.size()}};
  if (!operation.empty()) {
    ++by_operation_[operation];
    answer["operation_id"] = operation;
  }
  std::shared_ptr<HttpResponder> shared = std::move(responder);
  if (hang_) {
    unanswered_.push_back(std::move(shared));
    return;
  }
  const bool loses_answer = lose_next_answers_ > 0;
  if (loses_answer) {
    --lose_next_answers_;
  }
  loop_.RunAfter(delay_, [shared, answer = std::move(answer), loses_answer] {
    if (loses_answer) {
      shared->Abort();
    } else {
      SendJson(*shared, 200, answer);
    }
  });
}

Json PlainService::Executions() const {
  return {{"total", total_},
          {"operations", by_operation_},
          {"targets", by_target_}};
}

}  // namespace amaranthcove::standins
