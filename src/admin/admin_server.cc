#include "amaranthcove/admin/admin_server.h"

#include <string_view>
#include <utility>

#include "src/admin/exported_metrics.h"

namespace amaranthcove {

namespace {

constexpr std::string_view kExplainPrefix = "/explain/";

HttpResponse JsonResponse(int status, const nlohmann::json& json) {
  return {status,
          {{"Content-Type", "application/json"}},
          json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
              "\n"};
}

HttpResponse TextResponse(int status, std::string text) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

}  // namespace

AdminServer::AdminServer(EventLoop& loop,
                         MetricsRegistry& registry,
                         AdminSource source)
    : loop_(loop), registry_(registry), source_(std::move(source)) {}

Status AdminServer::Listen(const Address& address) {
  auto server =
      HttpServer::Listen(loop_, address, {},
                         [this](const HttpRequest& request,
                                std::unique_ptr<HttpResponder> responder) {
                           OnRequest(request, *responder);
                         });
  if (!server) {
    return tl::unexpected<Error>(server.error());
  }
  server_ = std::move(*server);
  return {};
}

std::string AdminServer::RenderMetrics() {
  ExportMetrics(source_.dump(), registry_);
  registry_.Gauge("amaranthcove_ready", "1 if the process takes work.")
      .Set(source_.ready() ? 1 : 0);
  return registry_.Serialize();
}

void AdminServer::OnRequest(const HttpRequest& request,
                            HttpResponder& responder) {
  const std::string_view path = request.path;
  if (request.method != "GET") {
    responder.Send(TextResponse(405, "only GET is allowed\n"));
  } else if (path == "/metrics") {
    responder.Send(TextResponse(200, RenderMetrics()));
  } else if (path == "/healthz") {
    responder.Send(TextResponse(200, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = source_.ready();
    responder.Send(
        TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
  } else if (path == "/dump") {
    responder.Send(JsonResponse(200, source_.dump()));
  } else if (path.starts_with(kExplainPrefix)) {
    const nlohmann::json record =
        source_.explain(std::string(path.substr(kExplainPrefix.size())));
    if (record.is_null()) {
      responder.Send(JsonResponse(
          404, {{"error", "the request is not, or no longer, known here"}}));
    } else {
      responder.Send(JsonResponse(200, record));
    }
  } else {
    responder.Send(TextResponse(404, "unknown path\n"));
  }
}

}  // namespace amaranthcove
