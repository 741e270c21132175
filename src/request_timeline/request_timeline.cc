#include "amaranthcove/request_timeline/request_timeline.h"

#include <algorithm>
#include <set>

namespace amaranthcove {

namespace {

// How long before a request's first event related events are included. Older
// events at a server rarely explain a request.
constexpr std::int64_t kContextWindowMs = 5000;

// The time range of a request and what it involved, according to the log.
struct RequestContext {
  std::int64_t first_ms = 0;
  std::int64_t last_ms = 0;
  std::set<std::string, std::less<>> servers;
  std::set<std::string, std::less<>> adapters;
  std::set<std::string, std::less<>> hosts;   // IP addresses of the servers.
  std::set<std::string, std::less<>> agents;  // Adapter agents on `hosts`.
  std::set<std::string, std::less<>> routers;
};

std::string_view HostOf(std::string_view address) {
  return address.substr(0, address.find(':'));
}

void Add(std::set<std::string, std::less<>>& set, std::string_view value) {
  if (!value.empty()) {
    set.emplace(value);
  }
}

RequestContext CollectContext(std::span<const LogEvent> log,
                              std::string_view request) {
  RequestContext context;
  bool found = false;
  for (const LogEvent& event : log) {
    if (event.Field("request") != request) {
      continue;
    }
    context.first_ms =
        found ? std::min(context.first_ms, event.time_ms) : event.time_ms;
    context.last_ms =
        found ? std::max(context.last_ms, event.time_ms) : event.time_ms;
    found = true;
    context.routers.insert(event.process);
    Add(context.servers, event.Field("server"));
    Add(context.adapters, event.Field("adapter"));
  }
  for (const LogEvent& event : log) {
    if (event.Field("event") == "backend_changed" &&
        context.servers.contains(event.Field("server"))) {
      Add(context.hosts, HostOf(event.Field("address")));
    }
  }
  for (const LogEvent& event : log) {
    if (event.component == "adapter_agent" && event.Field("event") == "start" &&
        context.hosts.contains(HostOf(event.Field("engine")))) {
      Add(context.agents, event.process);
    }
  }
  return context;
}

bool IsRelated(const LogEvent& event, const RequestContext& context) {
  if (event.time_ms < context.first_ms - kContextWindowMs ||
      event.time_ms > context.last_ms) {
    return false;
  }
  if (event.component == "adapter_agent") {
    const std::string_view kind = event.Field("event");
    return context.agents.contains(event.process) &&
           (context.adapters.contains(event.Field("adapter")) ||
            kind == "start" || kind == "engine_lost" ||
            kind == "engine_regained");
  }
  return event.Field("event") == "backend_changed" &&
         context.routers.contains(event.process) &&
         context.servers.contains(event.Field("server"));
}

std::string Field(const LogEvent& event, std::string_view name) {
  return std::string(event.Field(name));
}

std::string Summarize(const LogEvent& end) {
  const std::string total = Field(end, "total_ms") + " ms";
  const std::string_view outcome = end.Field("outcome");
  if (outcome == "answered") {
    return "Answered with " + Field(end, "status") + " by " +
           Field(end, "server") + " after " + total + ".";
  }
  if (outcome == "refused") {
    return "Refused with 503 and not run: " + Field(end, "waited_ms") +
           " ms of waiting for its adapter, " + Field(end, "not_run") +
           " sends turned away, and the best of " + Field(end, "candidates") +
           " servers would have begun after " + Field(end, "expected_ms") +
           " ms.";
  }
  if (outcome == "failed") {
    return "Failed with 502 after " + total +
           ": it may have run, and no further send was allowed.";
  }
  if (outcome == "timed_out" || outcome == "broken_off") {
    const bool out_of_time = end.Field("total_ms") == end.Field("limit_ms");
    return (outcome == "timed_out" ? "Timed out with 504 after "
                                   : "Broke off within its answer after ") +
           total +
           (out_of_time ? ": the caller's time was over."
                        : ": its server ended it, see send_failed.");
  }
  return "The caller left after " + total + ".";
}

}  // namespace

RequestTimeline BuildRequestTimeline(std::span<const LogEvent> log,
                                     std::string_view request) {
  RequestTimeline timeline;
  const RequestContext context = CollectContext(log, request);
  for (const LogEvent& event : log) {
    if (event.Field("request") == request) {
      timeline.events.push_back(event);
      if (event.Field("event") == "request_end") {
        timeline.summaries.push_back(Summarize(event));
      } else if (event.Field("event") == "request_refused") {
        timeline.summaries.push_back("Refused with " + Field(event, "status") +
                                     " and not run: " + Field(event, "reason") +
                                     ".");
      }
    } else if (!context.servers.empty() && IsRelated(event, context)) {
      timeline.events.push_back(event);
    }
  }
  std::stable_sort(timeline.events.begin(), timeline.events.end(),
                   [](const LogEvent& a, const LogEvent& b) {
                     return a.time_ms < b.time_ms;
                   });
  return timeline;
}

}  // namespace amaranthcove
