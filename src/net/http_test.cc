#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "amaranthcove/net/http_client.h"
#include "amaranthcove/net/http_server.h"
#include "src/net/testing/malformed_heads.h"
#include "src/net/testing/raw_peer.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(20);
const Address kAnyPort = {"127.0.0.1", 0};

struct Answer {
  HttpCallEnd end = HttpCallEnd::kBroken;
  HttpResponse response;
};

}  // namespace

TEST_GROUP(Http) {
  EventLoop loop;
  std::unique_ptr<HttpClient> client = HttpClient::Create(loop);
  std::unique_ptr<HttpServer> server;
  std::vector<std::unique_ptr<HttpResponder>> responders;
  std::vector<HttpRequest> requests;

  void Listen(HttpServer::Handler handler,
              const HttpServer::Options& options = HttpServer::Options()) {
    auto listening =
        HttpServer::Listen(loop, kAnyPort, options, std::move(handler));
    CHECK(listening.has_value());
    server = std::move(*listening);
  }

  // Starts a server that stores each request and responder for the test.
  void ListenAndCollect(const HttpServer::Options& options =
                            HttpServer::Options()) {
    const auto keep = [this](HttpRequest request,
                             std::unique_ptr<HttpResponder> responder) {
      requests.push_back(std::move(request));
      responders.push_back(std::move(responder));
    };
    Listen(keep, options);
  }

  // Completes one request, so that the connection of `peer` is idle.
  // Precondition: `ListenAndCollect` was called.
  void ServeOneRequest(RawPeer & peer) {
    peer.Write("GET / HTTP/1.1\r\n\r\n");
    RunUntil(loop, [this] { return !responders.empty(); });
    responders[0]->Send({200, {}, "done"});
    RunUntil(loop, [&peer] {
      static_cast<void>(peer.ReadAvailable());
      return peer.received.ends_with("done");
    });
  }

  Answer Fetch(const Address& address, HttpRequest request) {
    std::optional<Answer> answer;
    client->Fetch(address, std::move(request), SteadyNow() + kTestTimeout,
                  [&answer](HttpCallEnd end, HttpResponse response) {
                    answer = Answer{end, std::move(response)};
                  });
    CHECK_FALSE(answer.has_value());
    RunUntil(loop, [&answer] { return answer.has_value(); });
    return *answer;
  }

  // Returns the end of a call whose server sends `bytes` and then closes the
  // connection.
  HttpCallEnd EndAfterAnswer(std::string_view bytes) {
    const RawListener listener;
    std::optional<HttpCallEnd> end;
    client->Fetch(
        listener.address, {"GET", "/", {}, ""}, SteadyNow() + kTestTimeout,
        [&end](HttpCallEnd call_end, const HttpResponse&) { end = call_end; });
    const auto peer = listener.Accept(loop);
    RunUntil(loop, [&peer] {
      peer->ReadAvailable();
      return peer->received.ends_with("\r\n\r\n");
    });
    peer->Write(bytes);
    peer->Close();
    RunUntil(loop, [&end] { return end.has_value(); });
    return *end;
  }

  void teardown() override {
    responders.clear();
    client.reset();
    server.reset();
    // h2o closes its connections in the loop.
    for (int i = 0; i < 20; ++i) {
      loop.RunOnce(Duration::zero());
    }
  }
};

// Guards against lost parts of requests or answers.
TEST(Http, CarriesRequestAndAnswer) {
  Listen([this](HttpRequest request, std::unique_ptr<HttpResponder> to) {
    requests.push_back(std::move(request));
    to->Send({201, {{"X-Request-Id", "7"}}, std::string(300'000, 'b')});
  });
  const Answer answer =
      Fetch(server->local_address(), {"PUT",
                                      "/a/b?c=d%20e",
                                      {{"X-Request-Kind", "counter"}},
                                      std::string(200'000, 'a')});
  CHECK(answer.end == HttpCallEnd::kComplete);
  CHECK_EQUAL(201, answer.response.status);
  CHECK("7" == FindHeader(answer.response.headers, "x-request-id"));
  CHECK(answer.response.body == std::string(300'000, 'b'));
  CHECK("PUT" == requests[0].method);
  CHECK("/a/b?c=d%20e" == requests[0].path);
  CHECK("counter" == FindHeader(requests[0].headers, "X-Request-Kind"));
  CHECK(requests[0].body == std::string(200'000, 'a'));
}

// Guards against header injection by line breaks in a value.
TEST(Http, DropsFieldsWithLineBreaks) {
  Listen([](const HttpRequest&, std::unique_ptr<HttpResponder> to) {
    to->Send({200, {{"X-A", "1\r\nX-B: 2"}, {"Content-Length", "9"}}, "ok"});
  });
  const Answer answer = Fetch(server->local_address(), {"GET", "/", {}, ""});
  CHECK(answer.end == HttpCallEnd::kComplete);
  CHECK(FindHeader(answer.response.headers, "x-b").empty());
  CHECK("ok" == answer.response.body);
}

// Guards against lost or reordered pieces when pieces are written while an
// earlier one is still being sent.
TEST(Http, StreamsPiecesInOrder) {
  ListenAndCollect();
  std::string received;
  std::optional<HttpCallEnd> end;
  HttpClient::Callbacks callbacks;
  callbacks.on_data = [&received](std::string_view data) { received += data; };
  callbacks.on_end = [&end](HttpCallEnd call_end) { end = call_end; };
  client->Start(server->local_address(), {"GET", "/", {}, ""},
                SteadyNow() + kTestTimeout, callbacks);
  RunUntil(loop, [this] { return !responders.empty(); });
  responders[0]->Start({200, {}, "head;"});
  RunUntil(loop, [&received] { return received == "head;"; });
  std::string expected = "head;";
  for (int i = 0; i < 5000; ++i) {
    const std::string piece = "piece " + std::to_string(i) + ";";
    expected += piece;
    responders[0]->Write(piece);
  }
  responders[0]->End();
  responders.clear();
  RunUntil(loop, [&end] { return end.has_value(); });
  CHECK(*end == HttpCallEnd::kComplete);
  CHECK(expected == received);
}

// Guards against answers whose truncation callers cannot detect. h2o does not
// use chunked encoding for these statuses, but ends the answer by closing the
// connection.
TEST(Http, FramesStreamedAnswersOfOtherStatuses) {
  Listen([](const HttpRequest&, std::unique_ptr<HttpResponder> to) {
    to->Start({503, {}, "a"});
    to->Write("b");
    to->End();
  });
  const Answer answer = Fetch(server->local_address(), {"GET", "/", {}, ""});
  CHECK(answer.end == HttpCallEnd::kComplete);
  CHECK_EQUAL(503, answer.response.status);
  CHECK("ab" == answer.response.body);
}

// Guards against an aborted answer that the caller takes as complete.
TEST(Http, AbortedAnswersAreBroken) {
  for (const bool started : {false, true}) {
    Listen([started](const HttpRequest&, std::unique_ptr<HttpResponder> to) {
      if (started) {
        to->Start({200, {}, "part"});
      }
    });
    const Answer answer = Fetch(server->local_address(), {"GET", "/", {}, ""});
    CHECK(answer.end == HttpCallEnd::kBroken);
  }
}

// Guards against an aborted stream that ends between two chunks, which lenient
// clients take as complete, and against one that a slow reader keeps open.
TEST(Http, AbortedStreamsEndWithAMalformedChunk) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  peer.Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil(loop, [this] { return !responders.empty(); });
  responders[0]->Start({200, {}, "part"});
  responders[0]->Abort();
  RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
  CHECK(peer.received.ends_with("4\r\npart\r\n\r\n1\r\n"));

  RawPeer slow(RawPeer::Connect(server->local_address()));
  slow.Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil(loop, [this] { return responders.size() == 2; });
  constexpr std::size_t kMoreThanSocketsBuffer = 64 << 20;
  responders[1]->Start({200, {}, std::string(kMoreThanSocketsBuffer, 'x')});
  responders[1]->Abort();
  RunUntil(loop, [this] { return responders[1]->buffered_bytes() == 0; });
  RunUntil(loop, [&slow] { return slow.ReadAvailable(); });
  CHECK(slow.received.size() < kMoreThanSocketsBuffer);
}

// Guards against malformed HTTP in an answer aborted with `kClose`, and against
// an end that strict callers take as the end of a complete answer.
TEST(Http, AbortWithCloseSendsNoMalformedChunk) {
  HttpServer::Options options;
  options.abort_method = HttpServer::AbortMethod::kClose;
  ListenAndCollect(options);
  RawPeer peer(RawPeer::Connect(server->local_address()));
  peer.Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil(loop, [this] { return !responders.empty(); });
  responders[0]->Start({200, {}, "part"});
  responders[0]->Abort();
  RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
  CHECK(peer.received.ends_with("4\r\npart\r\n"));
}

// Guards against losing the error event of an aborted stream because the
// previous piece was still being sent.
TEST(Http, AbortSendsWhatWasWritten) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  peer.Write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  RunUntil(loop, [this] { return responders.size() == 1; });
  responders[0]->Start({200, {}, "first"});
  responders[0]->Write("second");
  responders[0]->Write("third");
  responders[0]->Abort();
  RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
  STRCMP_CONTAINS("first", peer.received.c_str());
  STRCMP_CONTAINS("secondthird", peer.received.c_str());
  CHECK_FALSE(peer.received.ends_with("0\r\n\r\n"));
}

// Guards against truncated bodies that are reported as kComplete.
TEST(Http, TruncatedBodiesAreBroken) {
  CHECK(HttpCallEnd::kComplete ==
        EndAfterAnswer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab"));
  CHECK(HttpCallEnd::kComplete ==
        EndAfterAnswer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                       "2\r\nab\r\n0\r\n\r\n"));
  CHECK(HttpCallEnd::kComplete ==
        EndAfterAnswer("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
  for (const char* bytes :
       {"", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\na",
        "HTTP/1.1 200 OK\r\n\r\nno length and no chunks"}) {
    CHECK_TEXT(HttpCallEnd::kBroken == EndAfterAnswer(bytes), bytes);
  }
}

// Guards against reporting the beginning of an answer as complete after the
// connection was reset while the request was still being written.
TEST(Http, AnswersThatAreResetDuringTheUploadAreBroken) {
  // Bytes that the buffers of a connection do not hold.
  constexpr std::size_t kLongUpload = 16 << 20;
  for (const char* answer :
       {"HTTP/1.1 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
    const RawListener listener;
    std::optional<HttpCallEnd> end;
    client->Start(
        listener.address, {"POST", "/", {}, std::string(kLongUpload, 'x')},
        SteadyNow() + kTestTimeout,
        {nullptr, nullptr, [&end](HttpCallEnd call_end) { end = call_end; }});
    const auto peer = listener.Accept(loop);
    RunUntil(loop, [&peer] {
      peer->ReadSome(64);
      return !peer->received.empty();
    });
    peer->Write(answer);
    for (int round = 0; round < 5; ++round) {
      loop.RunOnce(std::chrono::milliseconds(10));
    }
    peer->Reset();
    RunUntil(loop, [&end] { return end.has_value(); });
    CHECK_TEXT(*end == HttpCallEnd::kBroken, answer);
  }
}

// Guards against retrying a request on a new connection, because the server may
// have executed the first copy.
TEST(Http, BrokenKeepAliveConnectionIsNotSentAgain) {
  const RawListener listener;
  std::vector<HttpCallEnd> ends;
  const auto fetch = [&] {
    client->Fetch(
        listener.address, {"POST", "/", {}, "x"}, SteadyNow() + kTestTimeout,
        [&ends](HttpCallEnd end, const HttpResponse&) { ends.push_back(end); });
  };
  fetch();
  const auto peer = listener.Accept(loop);
  peer->Write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab");
  RunUntil(loop, [&ends] { return ends.size() == 1; });
  CHECK(ends[0] == HttpCallEnd::kComplete);
  peer->ReadAvailable();
  peer->received.clear();
  fetch();
  RunUntil(loop, [&peer] {
    peer->ReadAvailable();
    return peer->received.ends_with("\r\n\r\nx");
  });
  peer->Close();
  RunUntil(loop, [&ends] { return ends.size() == 2; });
  CHECK(ends[1] == HttpCallEnd::kBroken);
}

// Guards against treating a refused connection like a request that may have
// been executed, which would prevent its retry.
TEST(Http, RefusedConnectionEndsWithConnectFailed) {
  Address closed;
  {
    const RawListener listener;
    closed = listener.address;
  }
  const Answer answer = Fetch(closed, {"GET", "/", {}, ""});
  CHECK(answer.end == HttpCallEnd::kConnectFailed);
}

// Guards against calls that continue after their deadline.
TEST(Http, CallsEndAtTheirDeadline) {
  ListenAndCollect();
  std::optional<HttpCallEnd> end;
  client->Fetch(
      server->local_address(), {"GET", "/", {}, ""},
      SteadyNow() + std::chrono::milliseconds(30),
      [&end](HttpCallEnd call_end, const HttpResponse&) { end = call_end; });
  RunUntil(loop, [&end] { return end.has_value(); });
  CHECK(*end == HttpCallEnd::kTimedOut);
}

// Guards against work that continues for a disconnected caller, before and
// after the answer has started.
TEST(Http, DetectsDisconnectedCallers) {
  for (const bool started : {false, true}) {
    ListenAndCollect();
    auto peer =
        std::make_unique<RawPeer>(RawPeer::Connect(server->local_address()));
    // The unread pipelined request must not hide the end of the connection.
    peer->Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    RunUntil(loop, [this] { return !responders.empty(); });
    bool gone = false;
    responders[0]->OnCallerGone([&gone] { gone = true; });
    if (started) {
      responders[0]->Start({200, {}, "x"});
    }
    peer->Close();
    RunUntil(loop, [&gone] { return gone; });
    responders[0]->Write("more");
    responders[0]->End();
    responders.clear();
  }
}

// Guards against callbacks after a call was cancelled by its own callback, and
// against a server that keeps working on the cancelled call.
TEST(Http, CancelledCallsGetNoCallbacks) {
  ListenAndCollect();
  int calls = 0;
  HttpCallId id = 0;
  HttpClient::Callbacks callbacks;
  callbacks.on_data = [&](std::string_view) {
    ++calls;
    client->Cancel(id);
  };
  callbacks.on_end = [&calls](HttpCallEnd) { ++calls; };
  id = client->Start(server->local_address(), {"GET", "/", {}, ""},
                     SteadyNow() + kTestTimeout, callbacks);
  RunUntil(loop, [this] { return !responders.empty(); });
  bool gone = false;
  responders[0]->OnCallerGone([&gone] { gone = true; });
  responders[0]->Start({200, {}, "x"});
  RunUntil(loop, [&gone] { return gone; });
  CHECK_EQUAL(1, calls);
}

// Guards against error answers of h2o that are not in the JSON format that
// callers parse, and against large bodies that exhaust the memory.
TEST(Http, RefusesLargeBodiesInJson) {
  HttpServer::Options options;
  options.limits.max_body_bytes = 100;
  ListenAndCollect(options);
  for (const char* framing : {"content-length: 101\r\n\r\n",
                              "transfer-encoding: chunked\r\n\r\n65\r\n"}) {
    RawPeer peer(RawPeer::Connect(server->local_address()));
    peer.Write("POST / HTTP/1.1\r\n");
    peer.Write(framing);
    peer.Write(std::string(101, 'x'));
    RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
    STRCMP_CONTAINS("HTTP/1.1 413 ", peer.received.c_str());
    STRCMP_CONTAINS(R"("outcome":"not_run")", peer.received.c_str());
  }
  CHECK(requests.empty());
}

// Guards against large header fields that reach the handler, and against limits
// that apply only to connections opened after a change.
TEST(Http, RefusesLargeHeaders) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  ServeOneRequest(peer);
  HttpServer::Limits limits;
  limits.max_header_bytes = 200;
  server->SetLimits(limits);
  peer.Write("GET / HTTP/1.1\r\nx-a: " + std::string(200, 'a') + "\r\n\r\n");
  RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
  STRCMP_CONTAINS("HTTP/1.1 431 ", peer.received.c_str());
  STRCMP_CONTAINS(R"("outcome":"not_run")", peer.received.c_str());
  CHECK_EQUAL(1, static_cast<int>(requests.size()));
  CHECK_EQUAL(1, static_cast<int>(server->counters().refused));
}

// Guards against callers that keep connections open by sending their header
// fields slowly without end.
TEST(Http, RefusesSlowHeaders) {
  HttpServer::Options options;
  options.limits.header_timeout = std::chrono::milliseconds(300);
  ListenAndCollect(options);
  RawPeer peer(RawPeer::Connect(server->local_address()));
  peer.Write("GET / HTTP/1.1\r\nx-a: b");
  int pieces = 0;
  RunUntil(loop, [&peer, &pieces] {
    if (peer.ReadAvailable()) {
      return true;
    }
    if (++pieces < 10) {
      peer.Write("b");
    }
    return false;
  });
  STRCMP_CONTAINS("HTTP/1.1 408 ", peer.received.c_str());
  CHECK(requests.empty());
}

// Guards against a header timeout that ends a request whose body arrives
// slowly.
TEST(Http, HeaderTimeoutDoesNotApplyToBodies) {
  HttpServer::Options options;
  options.limits.header_timeout = std::chrono::milliseconds(300);
  ListenAndCollect(options);
  for (const char* framing : {"content-length: 4\r\n\r\nbo",
                              "transfer-encoding: chunked\r\n\r\n4\r\nbo"}) {
    requests.clear();
    RawPeer peer(RawPeer::Connect(server->local_address()));
    peer.Write("POST / HTTP/1.1\r\n");
    peer.Write(framing);
    // Several times the header timeout.
    const Time resumed = SteadyNow() + std::chrono::milliseconds(1200);
    RunUntil(loop, [&peer, resumed] {
      CHECK_FALSE(peer.ReadAvailable());
      return SteadyNow() >= resumed;
    });
    peer.Write(std::string_view(framing).starts_with("content")
                   ? "dy"
                   : "dy\r\n0\r\n\r\n");
    RunUntil(loop, [this] { return !requests.empty(); });
    CHECK("body" == requests[0].body);
  }
}

// Guards against idle connections that are never closed, and against an idle
// timeout that ends a longer request.
TEST(Http, ClosesIdleConnectionsOnly) {
  HttpServer::Options options;
  options.limits.idle_timeout = std::chrono::milliseconds(300);
  ListenAndCollect(options);
  RawPeer busy(RawPeer::Connect(server->local_address()));
  busy.Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil(loop, [this] { return !responders.empty(); });
  RawPeer idle(RawPeer::Connect(server->local_address()));
  RunUntil(loop, [&idle] { return idle.ReadAvailable(); });
  CHECK(idle.received.empty());
  CHECK_FALSE(busy.ReadAvailable());
  responders[0]->Send({200, {}, "done"});
  RunUntil(loop, [&busy] { return busy.ReadAvailable(); });
  CHECK(busy.received.ends_with("done"));
}

// Guards against a request that is hidden in the body of another one, because
// the length of that body is stated twice: it was handled as a request of its
// own.
TEST(Http, RefusesRequestsThatStateTheirLengthTwice) {
  ListenAndCollect();
  const std::string hidden =
      "POST /hidden HTTP/1.1\r\ncontent-length: 0\r\n\r\n";
  const std::string length =
      "content-length: " + std::to_string(hidden.size()) + "\r\n";
  const std::string chunked_length =
      "content-length: " + std::to_string(hidden.size() + 5) + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string last_chunk = "0\r\n\r\n";
  const std::string heads[] = {
      " HTTP/1.1\r\nContent-Length: 0\r\n" + length + "\r\n",
      " HTTP/1.1\nContent-Length: 0\n" + length + "\n",
      " HTTP/1.1\r\n" + length + "x-a: b\r\nCONTENT-LENGTH: 0\r\n\r\n",
      " HTTP/1.1\r\n" + chunked_length + chunked + "\r\n" + last_chunk,
      " HTTP/1.1\r\n" + chunked + chunked_length + "\r\n" + last_chunk,
      " HTTP/1.1\r\n" + chunked + chunked + "\r\n" + last_chunk,
      " HTTP/1.0\r\nconnection: keep-alive\r\n" + chunked + "\r\n" +
          last_chunk};
  for (const std::string& head : heads) {
    RawPeer peer(RawPeer::Connect(server->local_address()));
    peer.Write("POST /outer");
    peer.Write(head);
    peer.Write(hidden);
    RunUntil(loop, [&] { return peer.ReadAvailable() || !requests.empty(); });
    STRCMP_CONTAINS("HTTP/1.1 400 ", peer.received.c_str());
    STRCMP_CONTAINS(R"("outcome":"not_run")", peer.received.c_str());
    CHECK_EQUAL_TEXT(std::string::npos, peer.received.find("HTTP/1.1 ", 1),
                     "another request was answered");
  }
  CHECK(requests.empty());
}

// Guards against a request that is sent on with a part of a field, because it
// is continued on another line, or to the route of another host.
TEST(Http, RefusesContinuedFieldsAndTwoHosts) {
  ListenAndCollect();
  for (const char* fields :
       {"Prompt-Prefix: a:1,\r\n b:2\r\n", "X: a\r\n\tb\r\n",
        "Host: a.example\r\nhost: b.example\r\n"}) {
    RawPeer peer(RawPeer::Connect(server->local_address()));
    peer.Write("GET / HTTP/1.1\r\n" + std::string(fields) + "\r\n");
    RunUntil(loop, [&] { return peer.ReadAvailable() || !requests.empty(); });
    STRCMP_CONTAINS("HTTP/1.1 400 ", peer.received.c_str());
  }
  CHECK(requests.empty());
}

// Guards against a late second copy of an answer that is taken for the answer
// to the next call.
TEST(Http, CallsThatKeepNoConnectionAreNotFollowedByOthers) {
  const RawListener listener;
  for (int i = 0; i < 2; ++i) {
    std::optional<Answer> answer;
    client->Fetch(listener.address, {"POST", "/", {}, "body", false},
                  SteadyNow() + kTestTimeout,
                  [&answer](HttpCallEnd end, HttpResponse response) {
                    answer = Answer{end, std::move(response)};
                  });
    const auto peer = listener.Accept(loop);
    RunUntil(loop, [&peer] {
      peer->ReadAvailable();
      return peer->received.ends_with("body");
    });
    peer->Write(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
        "mine");
    RunUntil(loop, [&answer] { return answer.has_value(); });
    CHECK("mine" == answer->response.body);
    STRCMP_CONTAINS("connection: close\r\n", peer->received.c_str());
  }
}

// Guards against refusing bodies whose length is stated once, also after
// another request on the connection and in several pieces.
TEST(Http, AcceptsBodiesThatStateTheirLengthOnce) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  const std::string_view bodies[] = {
      "content-length: 4\r\n\r\nbody",
      "Transfer-Encoding: chunked\r\nx-content-length: 9\r\n\r\n"
      "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"};
  for (int i = 0; i < 4; ++i) {
    peer.Write("POST / HTTP/1.1\r\nx-a: content-length: 7\r\n");
    for (const char byte : bodies[i % 2]) {
      peer.Write({&byte, 1});
      loop.RunOnce(Duration::zero());
    }
    RunUntil(loop,
             [&] { return responders.size() > static_cast<std::size_t>(i); });
    CHECK("body" == requests[i].body);
    responders[i]->Send({200, {}, "done"});
    peer.received.clear();
    RunUntil(loop, [&peer] {
      static_cast<void>(peer.ReadAvailable());
      return peer.received.ends_with("done");
    });
  }
  CHECK_EQUAL(0, static_cast<int>(server->counters().refused));
}

// Guards against taking the rest of an answer, whose length is stated twice,
// for the answer to the next call.
TEST(Http, AnswersThatStateTheirLengthTwiceAreBroken) {
  CHECK(HttpCallEnd::kBroken ==
        EndAfterAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                       "Content-Length: 4\r\n\r\nbody"));
  CHECK(HttpCallEnd::kBroken ==
        EndAfterAnswer("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "4\r\nbody\r\n0\r\n\r\n"));
}

// Guards against passing on a message whose status is none of a final answer.
TEST(Http, AnswersWithInvalidStatusAreBroken) {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    const std::string answer =
        "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok";
    CHECK_TEXT(HttpCallEnd::kBroken == EndAfterAnswer(answer), status);
  }
}

// Guards against passing on fields that are none, and against a body that ends
// elsewhere than the server meant, after a head that HTTP does not allow.
TEST(Http, AnswersWithMalformedHeadsAreBroken) {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string start_with_field = start + "A: b\r\n";
  for (const std::string_view lines : kMalformedFieldLines) {
    const std::string fields =
        std::string(lines) + "Content-Length: 4\r\n\r\nbody";
    CHECK_TEXT(HttpCallEnd::kBroken == EndAfterAnswer(start + fields),
               fields.c_str());
    CHECK_TEXT(
        HttpCallEnd::kBroken == EndAfterAnswer(start_with_field + fields),
        fields.c_str());
  }
  for (const std::string_view lines : kMalformedLengthLines) {
    const std::string answer =
        start + std::string(lines) + "\r\n4\r\nbody\r\n0\r\n\r\n";
    CHECK_TEXT(HttpCallEnd::kBroken == EndAfterAnswer(answer), answer.c_str());
  }
}

// Guards against taking an interim answer for the final one, or for a broken
// one.
TEST(Http, InterimAnswersPrecedeTheFinalOne) {
  CHECK(HttpCallEnd::kComplete ==
        EndAfterAnswer("HTTP/1.1 100 Continue\r\n\r\n"
                       "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
}

// Guards against bytes that are not HTTP but reach a handler.
TEST(Http, RefusesOtherProtocols) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  peer.Write("nonsense\r\n\r\n");
  RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
  STRCMP_CONTAINS("HTTP/1.1 400 ", peer.received.c_str());
  CHECK(requests.empty());
}

// Guards against unbounded memory use by an endless answer.
TEST(Http, FetchLimitsTheBodySize) {
  ListenAndCollect();
  std::optional<HttpCallEnd> end;
  client->Fetch(
      server->local_address(), {"GET", "/", {}, ""}, SteadyNow() + kTestTimeout,
      [&end](HttpCallEnd call_end, const HttpResponse&) { end = call_end; });
  RunUntil(loop, [this] { return !requests.empty(); });
  responders[0]->Start({200, {}, ""});
  const std::string piece(1 << 20, ' ');
  for (std::size_t sent = 0; sent <= HttpClient::kMaxFetchedBytes;
       sent += piece.size()) {
    responders[0]->Write(piece);
  }
  responders[0]->End();
  RunUntil(loop, [&end] { return end.has_value(); });
  CHECK(end == HttpCallEnd::kBroken);
}

// Guards against a deadline timer that remains in the event loop after its
// client was destroyed and then uses the freed call.
TEST(Http, DestroyedClientCancelsItsDeadlines) {
  ListenAndCollect();
  const Time deadline = SteadyNow() + std::chrono::milliseconds(50);
  bool ended = false;
  client->Fetch(server->local_address(), {"GET", "/", {}, ""}, deadline,
                [&ended](HttpCallEnd, const HttpResponse&) { ended = true; });
  RunUntil(loop, [this] { return !requests.empty(); });
  client.reset();
  RunUntil(loop, [deadline] { return SteadyNow() > deadline; });
  loop.RunOnce(Duration::zero());
  CHECK_FALSE(ended);
}

// Guards against a graceful shutdown that interrupts requests or leaves
// connections open for further requests.
TEST(Http, StopAcceptingFinishesRequests) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  peer.Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil(loop, [this] { return !responders.empty(); });
  server->StopAccepting();
  responders[0]->Send({200, {}, "done"});
  RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
  CHECK(peer.received.ends_with("done"));
  const Answer answer = Fetch(server->local_address(), {"GET", "/", {}, ""});
  CHECK(answer.end == HttpCallEnd::kConnectFailed);
}

// Guards against handling, and perhaps forwarding, a request whose connection
// was closed just before the request was read.
TEST(Http, RequestArrivingDuringCloseIsNotHandled) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  ServeOneRequest(peer);
  for (int round = 0; round < 5; ++round) {
    loop.RunOnce(Duration::zero());
  }
  peer.Write("GET / HTTP/1.1\r\n\r\n");
  server->StopAccepting();
  RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
  for (int round = 0; round < 5; ++round) {
    loop.RunOnce(Duration::zero());
  }
  CHECK_EQUAL(1, static_cast<int>(responders.size()));
}

// Guards against handling, and perhaps forwarding, a request whose connection
// was closed as idle just before the request was read.
TEST(Http, RequestArrivingDuringIdleCloseIsNotCutOff) {
  HttpServer::Options options;
  options.limits.idle_timeout = std::chrono::milliseconds(400);
  ListenAndCollect(options);
  RawPeer peer(RawPeer::Connect(server->local_address()));
  ServeOneRequest(peer);
  // The server observes that the connection is idle.
  const Time seen = SteadyNow() + std::chrono::milliseconds(300);
  RunUntil(loop, [seen] { return SteadyNow() > seen; });
  // The request arrives in a round that began after the idle timeout.
  loop.RunAfter(Duration::zero(),
                [&peer] { peer.Write("GET / HTTP/1.1\r\n\r\n"); });
  usleep(800'000);
  bool closed = false;
  for (int round = 0; round < 5; ++round) {
    loop.RunOnce(Duration::zero());
    closed = peer.ReadAvailable() || closed;
  }
  CHECK(!closed || responders.size() == 1);
}

// Guards against work for a caller that has closed its connection before the
// server, being behind, read its request.
TEST(Http, RequestOfACallerThatHasLeftIsNotHandled) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  peer.Write("GET / HTTP/1.1\r\n\r\n");
  peer.Close();
  for (int round = 0; round < 20; ++round) {
    loop.RunOnce(std::chrono::milliseconds(10));
  }
  CHECK(responders.empty());
}

// Guards against a request that is handled, and whose caller's departure is
// never reported, because the departure was found between its arrival and its
// handling.
TEST(Http, RequestWhoseCallerIsFoundGoneIsNotHandled) {
  ListenAndCollect();
  // While a request is open, the server checks its callers.
  RawPeer open(RawPeer::Connect(server->local_address()));
  open.Write("GET / HTTP/1.1\r\n\r\n");
  RunUntil(loop, [this] { return responders.size() == 1; });
  RawPeer peer(RawPeer::Connect(server->local_address()));
  for (int round = 0; round < 5; ++round) {
    loop.RunOnce(Duration::zero());
  }
  peer.Write("GET / HTTP/1.1\r\n\r\n");
  peer.Close();
  // The check is due in the round in which the request is read.
  usleep(200'000);
  for (int round = 0; round < 20; ++round) {
    loop.RunOnce(std::chrono::milliseconds(10));
  }
  CHECK_EQUAL(1, static_cast<int>(responders.size()));
}

// Guards against idle connections that stay open during a shutdown, so that a
// late request on them would be cut off when the process ends.
TEST(Http, StopAcceptingClosesIdleConnections) {
  ListenAndCollect();
  RawPeer peer(RawPeer::Connect(server->local_address()));
  ServeOneRequest(peer);
  server->StopAccepting();
  RunUntil(loop, [&peer] { return peer.ReadAvailable(); });
  peer.Write("GET / HTTP/1.1\r\n\r\n");
  loop.RunOnce(std::chrono::milliseconds(20));
  CHECK_EQUAL(1, static_cast<int>(responders.size()));
}

}  // namespace amaranthcove
