#include "amaranthcove/platform_client/platform_client.h"

#include <algorithm>
#include <map>
#include <memory>

#include "amaranthcove/net/http_server.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

// Upper bound on the time until the client learns a change if a watch is lost.
constexpr Duration kMaxChangeDelay = std::chrono::seconds(4);

// A platform whose responses are set by the test. A call without a response
// stays pending, like a watch that a platform has lost.
class FakePlatform {
 public:
  explicit FakePlatform(EventLoop& loop) {
    auto server =
        HttpServer::Listen(loop, {"127.0.0.1", 0}, {},
                           [this](const HttpRequest& request,
                                  std::unique_ptr<HttpResponder> responder) {
                             Answer(request.path, std::move(responder));
                           });
    CHECK(server.has_value());
    server_ = std::move(*server);
  }

  void AnswerPending() {
    for (auto& responder : pending_) {
      responder->Send({200, {}, "{}"});
    }
  }

  Address address() const { return server_->local_address(); }

  // Responses by prefix of the path. They are sent in order; the last one is
  // repeated.
  std::map<std::string, std::vector<HttpResponse>> answers;
  std::vector<std::string> paths;

 private:
  void Answer(const std::string& path,
              std::unique_ptr<HttpResponder> responder) {
    paths.push_back(path);
    for (auto& [start, queue] : answers) {
      if (path.starts_with(start)) {
        responder->Send(queue.front());
        if (queue.size() > 1) {
          queue.erase(queue.begin());
        }
        return;
      }
    }
    pending_.push_back(std::move(responder));
  }

  std::vector<std::unique_ptr<HttpResponder>> pending_;
  std::unique_ptr<HttpServer> server_;
};

HttpResponse Ok(std::string body) {
  return {200, {}, std::move(body)};
}

HttpResponse ListResponse(int list_revision,
                          const std::string& team,
                          int revision) {
  return Ok(R"({"revision":)" + std::to_string(list_revision) +
            R"(,"documents":[{"team":")" + team + R"(","revision":)" +
            std::to_string(revision) + R"(,"removed":false}]})");
}

HttpResponse DocumentResponse(const std::string& team, int revision) {
  return Ok(R"({"team":")" + team + R"(","revision":)" +
            std::to_string(revision) + R"(,"removed":false,"text":"t)" +
            std::to_string(revision) + R"("})");
}

}  // namespace

TEST_GROUP(PlatformClient) {
  EventLoop loop;
  std::unique_ptr<HttpClient> http = HttpClient::Create(loop);
  FakePlatform first{loop};
  FakePlatform second{loop};
  std::map<std::string, std::int64_t, std::less<>> known;
  std::vector<Document> documents;
  std::vector<InstanceRecord> instances;
  std::unique_ptr<PlatformClient> client;

  void setup() override {
    PlatformClient::Options options;
    options.platforms = {first.address(), second.address()};
    options.random = [] { return 0.0; };
    client = std::make_unique<PlatformClient>(
        loop, *http, options,
        PlatformClient::Callbacks{
            [this](std::string_view team) {
              const auto found = known.find(team);
              return found == known.end() ? 0 : found->second;
            },
            [this](Document document) {
              known[document.team] = document.revision;
              documents.push_back(std::move(document));
            },
            [this](std::int64_t, std::span<const InstanceRecord> changes) {
              instances.insert(instances.end(), changes.begin(), changes.end());
            }});
  }

  void RunUntil(const std::function<bool()>& done) {
    const Time limit = SteadyNow() + std::chrono::seconds(20);
    while (!done()) {
      CHECK_TEXT(SteadyNow() < limit, "the event did not happen in time");
      loop.RunOnce(std::chrono::milliseconds(20));
    }
  }

  static bool Contains(const std::vector<std::string>& paths,
                       std::string_view start) {
    return std::ranges::any_of(paths, [&](const std::string& path) {
      return path.starts_with(start);
    });
  }
};

// Guards against fetching texts that are already known, and against a watch
// that restarts from revision 0 after a response.
TEST(PlatformClient, FetchesOnlyNewerTexts) {
  known["old"] = 4;
  first.answers["/v1/documents?after=0&"] = {ListResponse(8, "old", 4)};
  first.answers["/v1/documents?after=8&"] = {ListResponse(9, "new", 9)};
  first.answers["/v1/documents/new"] = {DocumentResponse("new", 9)};
  client->WatchDocuments(true);
  RunUntil([&] {
    return !documents.empty() &&
           Contains(first.paths, "/v1/documents?after=9&wait_ms=2000");
  });
  STRCMP_EQUAL("t9", documents[0].text.c_str());
  CHECK_FALSE(Contains(first.paths, "/v1/documents/old"));
  CHECK_EQUAL(4, client->counters().calls);
}

// Guards against a lagging platform instance that moves the watch or a document
// back to an earlier revision.
TEST(PlatformClient, IgnoresStaleResponses) {
  first.answers["/v1/documents?after=0&"] = {ListResponse(8, "a", 8)};
  first.answers["/v1/documents?after=8&"] = {ListResponse(5, "a", 9)};
  first.answers["/v1/documents/a"] = {DocumentResponse("a", 8)};
  second.answers["/v1/documents/a"] = {DocumentResponse("a", 8)};
  client->WatchDocuments(true);
  RunUntil([&] {
    return !documents.empty() &&
           Contains(second.paths, "/v1/documents?after=8&");
  });
  CHECK_EQUAL(1, client->counters().stale_answers);
  CHECK_EQUAL(8, known["a"]);
}

// Guards against ending a fetch with a text older than the listed revision.
TEST(PlatformClient, FetchesAgainAfterAStaleText) {
  first.answers["/v1/documents?after=0&"] = {ListResponse(8, "a", 8)};
  first.answers["/v1/documents/a"] = {DocumentResponse("a", 7)};
  second.answers["/v1/documents/a"] = {DocumentResponse("a", 8)};
  client->WatchDocuments(true);
  RunUntil([&] { return known["a"] == 8; });
  CHECK_EQUAL(1, client->counters().stale_answers);
}

// Guards against staying with a platform address that fails or sends malformed
// responses while another address works.
TEST(PlatformClient, TriesTheNextPlatform) {
  first.answers["/v1/documents"] = {{500, {}, ""}};
  first.answers["/v1/instances"] = {Ok("nonsense")};
  second.answers["/v1/documents?after=0&"] = {ListResponse(8, "a", 8)};
  second.answers["/v1/documents/a"] = {DocumentResponse("a", 8)};
  second.answers["/v1/instances?after=0&"] = {
      Ok(R"({"revision":1,"instances":[{"instance":"e","role":"entry",
          "address":"127.0.0.1:1","region":"r","data_centre":"d",
          "state":"live"}]})")};
  client->WatchDocuments(true);
  client->WatchInstances(true);
  RunUntil([&] { return !documents.empty() && !instances.empty(); });
  CHECK_EQUAL(1, client->counters().failed_calls);
  CHECK_EQUAL(1, client->counters().malformed_answers);
}

// Guards against calls that continue after the watch was stopped, and against
// callbacks into a destroyed client.
TEST(PlatformClient, StopsWatching) {
  client->WatchDocuments(true);
  RunUntil([&] { return first.paths.size() == 1; });
  client->WatchDocuments(false);
  client->WatchInstances(true);
  RunUntil([&] { return first.paths.size() == 2; });
  client.reset();
  first.AnswerPending();
  for (int round = 0; round < 5; ++round) {
    loop.RunOnce(std::chrono::milliseconds(20));
  }
  CHECK_EQUAL(2U, first.paths.size());
}

// Guards against waiting without end for a watch that the platform has lost:
// the client would miss a change although the platform responds to other calls.
TEST(PlatformClient, LearnsChangeAfterLostWatch) {
  first.answers["/v1/documents?after=0&"] = {ListResponse(8, "a", 8)};
  first.answers["/v1/documents/a"] = {DocumentResponse("a", 8)};
  client->WatchDocuments(true);
  RunUntil([&] {
    return known["a"] == 8 && Contains(first.paths, "/v1/documents?after=8&");
  });
  for (FakePlatform* platform : {&first, &second}) {
    platform->answers["/v1/documents?after=8&"] = {ListResponse(9, "a", 9)};
    platform->answers["/v1/documents/a"] = {DocumentResponse("a", 9)};
  }
  const Time changed = SteadyNow();
  RunUntil([&] { return known["a"] == 9; });
  CHECK(SteadyNow() - changed < kMaxChangeDelay);
}

// Guards against one document that cannot be read blocking all others.
TEST(PlatformClient, ContinuesAfterUnreadableDocument) {
  known["d"] = 2;
  first.answers["/v1/documents?after=0&"] = {Ok(R"({"revision":2,"documents":[
          {"team":"a","revision":1,"removed":false},
          {"team":"d","revision":2,"removed":true},
          {"team":"b","revision":2,"removed":false},
          {"team":"c","revision":2,"removed":true}]})")};
  for (FakePlatform* platform : {&first, &second}) {
    platform->answers["/v1/documents/a"] = {{404, {}, ""}};
    platform->answers["/v1/documents/b"] = {DocumentResponse("b", 2)};
  }
  client->WatchDocuments(true);
  RunUntil([&] { return documents.size() == 2; });
  CHECK(documents[0].removed);
  STRCMP_EQUAL("t2", documents[1].text.c_str());
}

}  // namespace amaranthcove
