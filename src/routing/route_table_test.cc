#include "amaranthcove/routing/route_table.h"

#include <array>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  return route;
}

std::string FindName(const RouteTable& table,
                     std::string_view host,
                     std::string_view path) {
  const Route* route = table.Find(host, path);
  return route == nullptr ? "" : route->name;
}

}  // namespace

TEST_GROUP(RouteTable){RouteTable MakeTable(){RoutingConfig config;
config.routes = {MakeRoute("all", "desk.example", "/"),
                 MakeRoute("orders", "desk.example", "/orders/"),
                 MakeRoute("rush", "desk.example", "/orders/rush/"),
                 MakeRoute("other", "care.example", "/orders/")};
return RouteTable(std::move(config));
}  // namespace amaranthcove
}
;

// Guards against choosing a route with a shorter prefix than another match.
TEST(RouteTable, PrefersTheLongestPrefix) {
  const RouteTable table = MakeTable();
  CHECK("rush" == FindName(table, "desk.example", "/orders/rush/7"));
  CHECK("orders" == FindName(table, "desk.example", "/orders/7"));
  CHECK("all" == FindName(table, "desk.example", "/stock/7"));
}

// Guards against prefixes that match part of a path segment, against using the
// routes of another host, and against matching the query of a path.
TEST(RouteTable, MatchesWholeSegmentsOfOneHost) {
  const RouteTable table = MakeTable();
  CHECK("all" == FindName(table, "desk.example", "/orders"));
  CHECK("all" == FindName(table, "desk.example", "/orders?next=/orders/"));
  CHECK(FindName(table, "care.example", "/stock/7").empty());
  CHECK(FindName(table, "unknown.example", "/orders/7").empty());
  CHECK("orders" == FindName(table, "DESK.example:8080", "/orders/7"));
  CHECK(FindName(table, "desk.example", "").empty());
}

// Guards against an index that points into the moved-from table.
TEST(RouteTable, IndexSurvivesMove) {
  RouteTable table = MakeTable();
  const RouteTable moved = std::move(table);
  CHECK("rush" == FindName(moved, "desk.example", "/orders/rush/7"));
}

// Guards against shares of requests that do not follow the weights.
TEST(RouteTable, PicksServicesByWeight) {
  const std::array<WeightedService, 2> services = {{{"a", 9}, {"b", 1}}};
  int picked_b = 0;
  for (std::uint64_t random = 0; random < 100; ++random) {
    picked_b += PickService(services, random) == "b" ? 1 : 0;
  }
  CHECK_EQUAL(10, picked_b);
  CHECK(PickService({}, 3).empty());
}

}  // namespace amaranthcove
