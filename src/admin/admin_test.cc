#include "amaranthcove/admin/admin_server.h"

#include <optional>
#include <set>
#include <string>

#include "amaranthcove/net/http_client.h"
#include "src/admin/exported_metrics.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using Json = nlohmann::json;

constexpr Duration kCallTimeout = std::chrono::seconds(20);

HttpResponse Fetch(EventLoop& loop,
                   const Address& server,
                   const std::string& method,
                   const std::string& path) {
  const auto client = HttpClient::Create(loop);
  std::optional<HttpResponse> result;
  client->Fetch(server, {method, path, {}, {}}, loop.Now() + kCallTimeout,
                [&](HttpCallEnd, HttpResponse response) {
                  result = std::move(response);
                });
  while (!result) {
    loop.RunOnce(kCallTimeout);
  }
  return *result;
}

}  // namespace

TEST_GROUP(Admin) {
  EventLoop loop;
  MetricsRegistry registry{"entry-1", "entry", "dc-1"};
  Json dump = {{"calls", 3},
               {"counters", {{"received", 5}}},
               {"documents",
                {{"good", {{"revision", 2}, {"newest_revision", 2}}},
                 {"bad", {{"revision", 1}, {"newest_revision", 3}}}}},
               {"backend", {{"superseded", true}}}};
  AdminServer server{
      loop,
      registry,
      {[this] { return dump; }, [](const std::string&) { return Json(); },
       [] { return true; }}};

  void CheckMetric(const std::string& name, const std::string& value) {
    const std::string line =
        name + "{data_centre=\"dc-1\",instance=\"entry-1\",role=\"entry\"} " +
        value + "\n";
    const std::string text =
        Fetch(loop, server.local_address(), "GET", "/metrics").body;
    CHECK_TEXT(text.find(line) != std::string::npos, (line + text).c_str());
  }
};

// Guards against metrics without a help text, two metrics with the same name,
// two rows for the same number, and names that don't fit the metric type.
TEST(Admin, MetricTableIsConsistent) {
  std::set<std::string> names;
  std::set<std::string> pointers;
  for (const ExportedMetric& metric : ExportedMetrics()) {
    const std::string name = metric.name;
    CHECK_TEXT(names.insert(name).second, metric.name);
    CHECK_TEXT(pointers.insert(metric.pointer).second, metric.pointer);
    CHECK_TEXT(name.starts_with("amaranthcove_"), metric.name);
    CHECK_EQUAL_TEXT(metric.type == MetricType::kCounter,
                     name.ends_with("_total"), metric.name);
    CHECK_TEXT(std::string(metric.help).ends_with("."), metric.name);
  }
}

// Guards against gauges that never decrease, counters that do not follow the
// dump, and a refused document that no metric shows.
TEST(Admin, ExportsTheDump) {
  CHECK(server.Listen({"127.0.0.1", 0}).has_value());
  CheckMetric("amaranthcove_calls_in_progress", "3");
  CheckMetric("amaranthcove_requests_received_total", "5");
  CheckMetric("amaranthcove_documents", "2");
  CheckMetric("amaranthcove_documents_refused_now", "1");
  CheckMetric("amaranthcove_superseded", "1");
  dump["calls"] = 1;
  dump["counters"]["received"] = 9;
  dump["documents"].erase("bad");
  CheckMetric("amaranthcove_calls_in_progress", "1");
  CheckMetric("amaranthcove_requests_received_total", "9");
  CheckMetric("amaranthcove_documents_refused_now", "0");
}

// Guards against missing a counter of the dump that is not exported.
TEST(Admin, FindsUnexportedCounters) {
  CHECK(UnexportedCounters(dump).empty());
  dump["backend"]["counters"]["new"] = 1;
  CHECK_EQUAL(1, UnexportedCounters(dump).size());
  STRCMP_EQUAL("/backend/counters/new", UnexportedCounters(dump)[0].c_str());
}

// Guards against an admin server that accepts methods other than GET.
TEST(Admin, AllowsOnlyGet) {
  CHECK(server.Listen({"127.0.0.1", 0}).has_value());
  for (const char* path : {"/metrics", "/healthz", "/readyz", "/dump"}) {
    const Address address = server.local_address();
    CHECK_EQUAL(200, Fetch(loop, address, "GET", path).status);
    for (const char* method : {"POST", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
      CHECK_EQUAL(405, Fetch(loop, address, method, path).status);
    }
  }
  CHECK_EQUAL(404, Fetch(loop, server.local_address(), "GET", "/x").status);
}

}  // namespace amaranthcove
