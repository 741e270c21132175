#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/net/tcp.h"
#include "amaranthcove/wire/codec.h"
#include "src/admin/exported_metrics.h"
#include "testing/integration/fleet_fixture.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove::testing {

namespace {

// A TCP connection that sends arbitrary bytes and records the answer.
struct RawClient {
  RawClient(EventLoop& loop, const Address& server, std::string_view bytes)
      : tcp(TcpConnection::Connect(
            loop,
            server,
            {[this] { connected = true; },
             [this](std::string_view data) { received += data; },
             [this] { closed = true; }})) {
    tcp->Write(bytes);
  }

  // Returns true if all bytes have been sent or the connection is closed.
  bool sent() const {
    return closed || (connected && tcp->buffered_bytes() == 0);
  }

  std::string received;
  bool connected = false;
  bool closed = false;
  std::unique_ptr<TcpConnection> tcp;
};

std::string PostHead(const std::string& headers) {
  return "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}

}  // namespace

TEST_GROUP(BadInput) {
  FleetFixture fleet_;
  FleetFixture::Server* engine_ = nullptr;
  FleetFixture::Server* plain_ = nullptr;
  FleetFixture::SidecarNode* engine_sidecar_ = nullptr;
  FleetFixture::SidecarNode* plain_sidecar_ = nullptr;
  FleetFixture::EntryNode* entry_ = nullptr;

  void setup() override {
    engine_ = &fleet_.AddEngine();
    plain_ = &fleet_.AddPlainService();
    engine_sidecar_ = &fleet_.AddEngineSidecar("engine-1", engine_->address());
    plain_sidecar_ = &fleet_.AddPlainSidecar("desk.1", plain_->address());
    entry_ = &fleet_.AddEntry("entry-1");
    CHECK(fleet_.WaitReady());
  }

  nlohmann::json EntryDump() {
    return entry_->entry->Dump(fleet_.loop().Now());
  }

  std::int64_t Counter(const char* name) {
    return EntryDump()["counters"].value(name, std::int64_t{-1});
  }

  std::int64_t SidecarCounter(const char* name) {
    return engine_sidecar_->sidecar->Dump(fleet_.loop().Now())["counters"]
        .value(name, std::int64_t{-1});
  }

  // Checks that the entry, the sidecar and the engine still serve requests
  // after the bad input.
  void CheckServes() {
    const PendingCall call =
        fleet_.Call(entry_->address(), "POST", "/v1/completions",
                    CompletionBody("atelier/silk", "hello", 2));
    CHECK_EQUAL(200, call.response.status);
    STRCMP_EQUAL("atelier/silk-care@4",
                 call.Json().value("model", std::string()).c_str());
  }

  // Sends a request that the entry must reject before it forwards anything.
  void CheckRefused(const char* code, const std::string& method,
                    const std::string& path, const std::string& body,
                    const HttpHeaders& headers = {}) {
    const std::int64_t refused = Counter("refused_early");
    const PendingCall call =
        fleet_.Call(entry_->address(), method, path, body, headers);
    const std::string what = method + " " + path + " " + body.substr(0, 60);
    STRCMP_EQUAL_TEXT(code, call.Error("code").c_str(), what.c_str());
    STRCMP_EQUAL_TEXT("not_run", call.Error("outcome").c_str(), what.c_str());
    CHECK_EQUAL(refused + 1, Counter("refused_early"));
    CHECK_EQUAL(std::string(FindHeader(call.response.headers, "X-Request-Id")),
                call.Error("request_id"));
    CHECK(!call.Error("request_id").empty());
  }
};

// Guards against incomplete or malformed HTTP requests that are not counted or
// that stop the entry from serving.
TEST(BadInput, TruncatedAndMalformedHttp) {
  for (const std::string& bytes :
       {std::string("POST /v1/comp"), PostHead("Content-Length: 100\r\n") + "{",
        PostHead("Transfer-Encoding: chunked\r\n") + "5\r\n{\"m",
        std::string("GET /v1/models HTTP/1.1\r\nHost"),
        std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc", 9),
        std::string("\r\n\r\n\r\n"), std::string("GET\r\n\r\n"),
        "GET /v1/models HTTP/1.1\r\nX: " + std::string(200000, 'x')}) {
    const std::int64_t before = Counter("http_incomplete");
    {
      RawClient client(fleet_.loop(), entry_->address(), bytes);
      CHECK(fleet_.RunUntil([&] { return client.sent(); }));
    }
    CHECK(fleet_.RunUntil([&] { return Counter("http_incomplete") > before; }));
  }
  CHECK_EQUAL(0, Counter("received"));
  CheckServes();
}

// Guards against oversized or badly framed bodies that get any answer other
// than an error with the outcome `not_run`.
TEST(BadInput, OversizedBodies) {
  const std::string chunk = "20000\r\n" + std::string(0x20000, 'x') + "\r\n";
  std::string chunks;
  for (int i = 0; i < 17; ++i) {
    chunks += chunk;
  }
  struct Case {
    std::string bytes;
    const char* code;
  };
  const std::vector<Case> cases = {
      {PostHead("Content-Length: 2097153\r\n"), "request_too_large"},
      {PostHead("Transfer-Encoding: chunked\r\n") + chunks,
       "request_too_large"},
      {PostHead("Transfer-Encoding: chunked\r\n") + "zz\r\n", "bad_request"}};
  for (const Case& bad : cases) {
    const std::int64_t before = Counter("http_refused");
    const RawClient client(fleet_.loop(), entry_->address(), bad.bytes);
    CHECK(fleet_.RunUntil([&] {
      return client.received.find("\"outcome\":\"not_run\"") !=
             std::string::npos;
    }));
    CHECK_TEXT(client.received.find(bad.code) != std::string::npos,
               client.received.c_str());
    CHECK_EQUAL(before + 1, Counter("http_refused"));
  }
  CheckServes();
}

// Guards against invalid bodies that crash the process, for example by deep
// nesting, and against errors without a code, outcome or request id.
TEST(BadInput, BadBodies) {
  const std::string deep =
      "{\"model\":\"atelier/silk\",\"x\":" + std::string(1 << 20, '[') +
      std::string((1 << 20) - 100, ']');
  for (const std::string& body :
       {std::string("{"), std::string("[]"), std::string(1 << 20, '['), deep,
        std::string("{\"model\":\"atelier/silk\",\"prompt\":\"\xc3\x28\"}")}) {
    CheckRefused("bad_json", "POST", "/v1/completions", body);
    CheckRefused("bad_json", "POST", "/v1/chat/completions", body);
    CheckRefused("bad_json", "POST", "/v1/operations", body);
  }
  CheckRefused("bad_json", "POST", "/v1/operations",
               R"({"team":7,"service":"booking"})");
  CheckRefused("method_not_allowed", "GET", "/v1/operations", "");
  CheckRefused("unknown_service", "POST", "/v1/operations",
               R"({"team":"atelier","service":"other"})");
  CheckRefused("bad_model", "POST", "/v1/completions", R"({"model":["x"]})");
  CheckRefused("unknown_team", "POST", "/v1/completions",
               R"({"model":"other/silk"})");
  CheckRefused("unknown_model", "POST", "/v1/completions",
               R"({"model":"atelier/silk-care@5"})");
  CheckRefused("unknown_kind", "POST", "/v1/completions",
               R"({"model":"atelier/silk"})", {{"X-Request-Kind", "x"}});
  CheckServes();
}

// Guards against parsing in quadratic time, with which this body blocks the
// entry for minutes. The call then exceeds its time limit.
TEST(BadInput, ManySmallObjectsDoNotBlockEntry) {
  std::string body = R"({"model":"atelier/silk","max_tokens":1,"messages":[{})";
  for (int i = 0; i < 100000; ++i) {
    body += ",{}";
  }
  body += "]}";
  const PendingCall call =
      fleet_.Call(entry_->address(), "POST", "/v1/chat/completions", body);
  CHECK(call.whole());
  CheckServes();
}

// Guards against a sidecar that fails when members other than `model` have
// wrong types. They are forwarded to the engine, which may replace them by
// defaults, and the caller must get its answer complete.
TEST(BadInput, WrongMemberTypesGetCompleteAnswers) {
  for (const char* rest :
       {R"("max_tokens":"many")", R"("max_tokens":-1)", R"("max_tokens":1e300)",
        R"("prompt":{"a":[]},"max_tokens":1)",
        R"("messages":[7,null,{"content":5}],"max_tokens":1)"}) {
    const PendingCall call =
        fleet_.Call(entry_->address(), "POST", "/v1/completions",
                    std::string(R"({"model":"atelier/silk",)") + rest + "}");
    CHECK_TEXT(call.whole(), rest);
    CHECK_TEXT(call.Json().is_object(), rest);
  }
  CheckServes();
}

// Guards against a path that reaches another service, or that reaches the same
// service without matching its never_repeat rules.
TEST(BadInput, PathsStayInTheirService) {
  for (const char* path :
       {"/s/atelier/booking/../other/x", "/s/atelier/booking/x/../../other",
        "/s/atelier/booking/%2e%2e/other", "/s/atelier/booking/x%2f..%2forders",
        "/s/atelier/booking/..;/orders", "/s/atelier/booking/..%5corders",
        "/s/atelier/../atelier/booking/x", "/s/atelier/booking/%00"}) {
    CheckRefused("bad_path", "POST", path, "{}");
  }
  CheckRefused("unknown_service", "GET", "/s/atelier/other/x", "");
  CheckRefused("unknown_team", "GET", "/s/other/booking/x", "",
               {{"X-Team", "atelier"}, {"Host", "atelier"}});
  const PendingCall order = fleet_.Call(entry_->address(), "POST",
                                        "/s/atelier/booking//ORDERS", "{}");
  CHECK_EQUAL(428, order.response.status);
  CHECK_EQUAL(
      0, fleet_.Get(plain_->address(), "/_executions")["total"].get<int>());
  const PendingCall good = fleet_.Call(entry_->address(), "GET",
                                       "/s/atelier/booking/stock/7?next=../x");
  STRCMP_EQUAL("GET /stock/7?next=../x",
               good.Json().value("target", std::string()).c_str());
}

// Guards against operation ids that cannot be parsed because the instance name
// contains a dot, which also separates the parts of an operation id.
TEST(BadInput, OperationIdsOfInstanceNameWithDot) {
  const PendingCall offer =
      fleet_.Call(entry_->address(), "POST", "/s/atelier/booking/orders", "{}");
  const std::string key(FindHeader(offer.response.headers, "Idempotency-Key"));
  CHECK_TEXT(key.starts_with("op1.desk.1."), key.c_str());
  const PendingCall order =
      fleet_.Call(entry_->address(), "POST", "/s/atelier/booking/orders", "{}",
                  {{"Idempotency-Key", key}});
  CHECK_EQUAL(200, order.response.status);
}

// Guards against a call that its operation id directs to the service of another
// team or to an engine.
TEST(BadInput, OperationIdsWorkOnlyAtTheirService) {
  std::string other = kAtelierDocument;
  other.replace(other.find("atelier"), 7, "workshop");
  fleet_.PutDocument("workshop", other + "[plain payments]\n");
  CHECK(fleet_.RunUntil(
      [&] { return EntryDump()["documents"].contains("workshop"); }));
  const std::string issued =
      fleet_
          .Call(entry_->address(), "POST", "/v1/operations",
                R"({"team":"atelier","service":"booking"})")
          .Json()
          .value("operation_id", std::string());
  const std::string tail = ".7.1.0123456789abcdef";
  const auto order = [&](const std::string& path, const std::string& key) {
    return fleet_.Call(entry_->address(), "POST", path, "{}",
                       {{"Idempotency-Key", key}});
  };
  const std::string of_engine =
      "op1.engine-1." +
      std::to_string(engine_sidecar_->context->self.incarnation) +
      ".1.0123456789abcdef";
  for (const std::string& key : {issued, of_engine}) {
    for (const char* path :
         {"/s/workshop/payments/orders", "/s/workshop/booking/orders"}) {
      const PendingCall call = order(path, key);
      CHECK_EQUAL(409, call.response.status);
      STRCMP_EQUAL("wrong_service", call.Error("code").c_str());
      STRCMP_EQUAL("not_run", call.Error("outcome").c_str());
    }
  }
  // An earlier incarnation of the instance may have run the order.
  const PendingCall earlier =
      order("/s/atelier/booking/orders", "op1.engine-1" + tail);
  STRCMP_EQUAL("operation_lost", earlier.Error("code").c_str());
  STRCMP_EQUAL("unknown", earlier.Error("outcome").c_str());
  const PendingCall to_entry =
      order("/s/atelier/booking/orders", "op1.entry-1" + tail);
  STRCMP_EQUAL("operation_lost", to_entry.Error("code").c_str());
  STRCMP_EQUAL("unknown", to_entry.Error("outcome").c_str());
  CHECK_EQUAL(
      0, fleet_.Get(plain_->address(), "/_executions")["total"].get<int>());
  CHECK_EQUAL(0,
              fleet_.Get(engine_->address(), "/_stats")["streams"].get<int>());
  CHECK_EQUAL(200, order("/s/atelier/booking/orders", issued).response.status);
}

// Guards against an invalid document that replaces a valid one, or that is
// rejected without being counted and listed in the state's errors.
TEST(BadInput, BadDocuments) {
  const std::string good = kAtelierDocument;
  std::int64_t refused = 0;
  for (const std::string& text :
       {std::string(), std::string("no ini"), good + "[adapter wool]\n",
        good + "[unknown]\n", good + "[kind k]\nurgency = soon\n",
        good + std::string(70000, '\n'), good + "\x01\x02",
        "[service]\nteam = other\n" + good.substr(good.find("base_model"))}) {
    fleet_.PutDocument("atelier", text);
    ++refused;
    CHECK_TEXT(fleet_.RunUntil(
                   [&] { return Counter("documents_refused") == refused; }),
               text.substr(0, 200).c_str());
    const nlohmann::json state = EntryDump()["documents"]["atelier"];
    CHECK_EQUAL(1, state["revision"].get<int>());
    CHECK(!state["errors"].empty());
  }
  CheckServes();
  fleet_.PutDocument("atelier", good + "[adapter linen]\nversions = 1\n");
  CHECK(fleet_.RunUntil(
      [&] { return EntryDump()["documents"]["atelier"]["errors"].empty(); }));
  CheckServes();
}

// Guards against an unauthenticated connection to a peer port that stops the
// process, gets its frames processed, or is not counted.
TEST(BadInput, BadFramesFromUnauthenticatedPeers) {
  wire::Cancel cancel;
  cancel.attempt.instance = "entry-1";
  wire::Frame frame;
  frame.__set_cancel(cancel);
  const std::string early = *wire::EncodeFrame(frame);
  struct Case {
    std::string bytes;
    const char* counter;
  };
  const std::vector<Case> cases = {
      {std::string("\xff\xff\xff\xff", 4), "bad_frames"},
      {std::string("\0\0\x40\0", 4), "bad_frames"},
      {std::string("\0\0\0\5hello", 9), "bad_frames"},
      {"GET / HTTP/1.1\r\n\r\n", "bad_frames"},
      {early.substr(0, early.size() - 1), "failed_handshakes"},
      {early, "failed_handshakes"},
      {std::string("\0\0\0\1\0", 5), "failed_handshakes"}};
  const std::string entry_peer = entry_->context->self.peer_address;
  for (const Case& bad : cases) {
    const std::int64_t entry_before = Counter(bad.counter);
    const std::int64_t sidecar_before = SidecarCounter(bad.counter);
    {
      RawClient to_entry(fleet_.loop(), *ParseAddress(entry_peer), bad.bytes);
      RawClient to_sidecar(fleet_.loop(),
                           engine_sidecar_->sidecar->peer_address(), bad.bytes);
      CHECK(fleet_.RunUntil(
          [&] { return to_entry.sent() && to_sidecar.sent(); }));
    }
    CHECK(fleet_.RunUntil([&] {
      return Counter(bad.counter) > entry_before &&
             SidecarCounter(bad.counter) > sidecar_before;
    }));
  }
  CheckServes();
}

// Guards against a counter that is not exported as a metric. If this fails, add
// the counter to the table in src/admin/exported_metrics.cc and to
// docs/operators.md.
TEST(BadInput, EveryCounterHasAMetric) {
  const Time now = fleet_.loop().Now();
  for (const nlohmann::json& dump :
       {entry_->entry->Dump(now), engine_sidecar_->sidecar->Dump(now),
        plain_sidecar_->sidecar->Dump(now)}) {
    for (const std::string& pointer : UnexportedCounters(dump)) {
      FAIL(pointer.c_str());
    }
  }
}

}  // namespace amaranthcove::testing
