#include "amaranthcove/net/upstream_client.h"

#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "amaranthcove/net/tcp.h"
#include "src/net/testing/malformed_heads.h"
#include "src/net/testing/raw_peer.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

// Timeout of a test whose expected event does not occur. Does not affect tests
// that pass.
constexpr Duration kTestTimeout = std::chrono::seconds(20);

// Bytes that a system holds back at the sender until the receiver reads, but
// takes from the program at once.
constexpr std::size_t kMoreThanAReceiveBuffer = 512 << 10;

// Bytes that the buffers of both ends of a connection do not hold, so that the
// sender is still writing them while the receiver does not read.
constexpr std::size_t kLongUpload = 16 << 20;

struct CallRecord {
  std::optional<UpstreamEnd> end;
  int status = 0;
  std::string body;
};

}  // namespace

// Uses a server on whose connections the test itself writes the answers.
TEST_GROUP(UpstreamClient) {
  EventLoop loop_;
  std::vector<std::unique_ptr<TcpConnection>> accepted_;
  std::vector<std::string> received_;
  std::vector<bool> closed_;
  bool read_accepted_ = true;
  std::vector<UpstreamConnectionId> avoided_;  // By calls of `Start`.
  std::unique_ptr<TcpListener> listener_;
  Address server_;  // The address that `Start` sends to.
  std::unique_ptr<UpstreamClient> client_;

  void setup() override {
    auto listener =
        TcpListener::Listen(loop_, {"127.0.0.1", 0},
                            [this](std::unique_ptr<TcpConnection> connection) {
                              const std::size_t index = accepted_.size();
                              accepted_.push_back(std::move(connection));
                              received_.emplace_back();
                              closed_.push_back(false);
                              if (read_accepted_) {
                                Read(index);
                              }
                            });
    listener_ = std::move(*listener);
    server_ = listener_->local_address();
    client_ = UpstreamClient::Create(loop_, {});
  }

  void teardown() override {
    client_.reset();
    accepted_.clear();
    listener_.reset();
  }

  // Starts reading from an accepted connection.
  void Read(std::size_t index) {
    accepted_[index]->Open(
        {nullptr,
         [this, index](std::string_view bytes) { received_[index] += bytes; },
         [this, index] { closed_[index] = true; }});
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const Time limit = SteadyNow() + kTestTimeout;
    while (!condition() && SteadyNow() < limit) {
      loop_.RunOnce(std::chrono::milliseconds(20));
    }
    return condition();
  }

  void RunRounds() {
    for (int round = 0; round < 5; ++round) {
      loop_.RunOnce(std::chrono::milliseconds(10));
    }
  }

  // The request has a body of "body-" and `attempt`, and `padding` bytes.
  UpstreamCallId Start(CallRecord & record, std::string attempt = "a1",
                       std::size_t padding = 0) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/x";
    request.headers = {{"call-id", attempt}};
    request.body = "body-" + attempt + std::string(padding, 'x');
    return client_->Start(
        server_, request,
        {[attempt](const HttpResponse& head) {
           const std::string_view id = FindHeader(head.headers, "call-id");
           if (id.empty()) {
             return AnswerMatch::kUnidentified;
           }
           return id == attempt ? AnswerMatch::kMatches : AnswerMatch::kOther;
         },
         [&record](const HttpResponse& head) { record.status = head.status; },
         [&record](std::string_view data) { record.body += data; },
         [&record](UpstreamEnd end) { record.end = end; }},
        {avoided_, false});
  }

  bool HasArrived(std::size_t connection, std::string_view text) {
    return RunUntil([&] {
      return received_.size() > connection &&
             received_[connection].find(text) != std::string::npos;
    });
  }

  // Starts a call with a long upload to `listener`, whose server has then read
  // the beginning of the request only.
  std::unique_ptr<RawPeer> StartLongUpload(const RawListener& listener,
                                           CallRecord& record) {
    server_ = listener.address;
    Start(record, "a1", kLongUpload);
    std::unique_ptr<RawPeer> server = listener.Accept(loop_);
    CHECK(RunUntil([&server] {
      server->ReadSome(64);
      return !server->received.empty();
    }));
    RunRounds();
    return server;
  }

  // Returns how a call ends whose server sends `answer` and leaves the
  // connection open. Checks that nothing of a broken answer was passed on.
  UpstreamEnd EndAfterAnswer(std::string_view answer) {
    client_->CloseIdle(server_);
    const std::size_t connection = received_.size();
    CallRecord record;
    Start(record);
    CHECK(HasArrived(connection, "body-a1"));
    accepted_[connection]->Write(answer);
    CHECK(RunUntil([&record] { return record.end.has_value(); }));
    CHECK(record.end == UpstreamEnd::kComplete || record.status == 0);
    return *record.end;
  }

  void FinishFirstCall() {
    CallRecord record;
    Start(record);
    CHECK(HasArrived(0, "body-a1"));
    accepted_[0]->Write(
        "HTTP/1.1 200 OK\r\nCall-Id: a1\r\nContent-Length: 2\r\n\r\nok");
    CHECK(RunUntil([&] { return record.end.has_value(); }));
    CHECK(record.end == UpstreamEnd::kComplete);
  }
};

// Guards against opening a new connection for each request.
TEST(UpstreamClient, ReusesIdleConnections) {
  FinishFirstCall();
  CallRecord record;
  Start(record, "a2");
  CHECK(HasArrived(0, "body-a2"));
  accepted_[0]->Write(
      "HTTP/1.1 200 OK\r\nCall-Id: a2\r\nContent-Length: 0\r\n\r\n");
  CHECK(RunUntil([&] { return record.end.has_value(); }));
  CHECK_EQUAL(1, static_cast<int>(client_->counters().connections_opened));
}

// Guards against returning the late answer to an earlier request.
TEST(UpstreamClient, DropsAnswersToEarlierRequests) {
  FinishFirstCall();
  CallRecord record;
  Start(record, "a2");
  CHECK(HasArrived(0, "body-a2"));
  accepted_[0]->Write(
      "HTTP/1.1 200 OK\r\nCall-Id: a1\r\nContent-Length: 4\r\n\r\nlate"
      "HTTP/1.1 200 OK\r\nCall-Id: a2\r\nContent-Length: 4\r\n\r\nmine");
  CHECK(RunUntil([&] { return record.end.has_value(); }));
  CHECK(record.end == UpstreamEnd::kComplete);
  CHECK("mine" == record.body);
}

// Guards against a request that is sent again on the connection of its last
// send, where a late copy of that send's answer would be taken for its own.
TEST(UpstreamClient, DoesNotUseAvoidedConnections) {
  CallRecord refused;
  avoided_ = {client_->ConnectionOf(Start(refused))};
  CHECK(HasArrived(0, "body-a1"));
  accepted_[0]->Write(
      "HTTP/1.1 503 Full\r\nCall-Id: a1\r\nContent-Length: 0\r\n\r\n");
  CHECK(RunUntil([&] { return refused.end.has_value(); }));
  CallRecord again;
  Start(again);
  CHECK(HasArrived(1, "body-a1"));
  // The avoided connection stays open for other requests.
  avoided_.clear();
  CallRecord other;
  Start(other, "a2");
  CHECK(HasArrived(0, "body-a2"));
  CHECK_EQUAL(2, static_cast<int>(client_->counters().connections_opened));
}

// Guards against taking an answer without an id, such as the copy of a refusal
// that a server had sent without one, for the answer to a later request.
TEST(UpstreamClient, UnidentifiedAnswersMatchTheFirstCallOnly) {
  FinishFirstCall();
  CallRecord record;
  Start(record, "a2");
  CHECK(HasArrived(0, "body-a2"));
  accepted_[0]->Write(
      "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
      "HTTP/1.1 200 OK\r\nCall-Id: a2\r\nContent-Length: 4\r\n\r\nmine");
  CHECK(RunUntil([&] { return record.end.has_value(); }));
  CHECK_EQUAL(200, record.status);
  CHECK("mine" == record.body);
}

// Guards against keeping a connection on which a late copy of an answer could
// not be told from the answer to the next request.
TEST(UpstreamClient, ConnectionsOfUnidentifiedAnswersAreNotKept) {
  CallRecord record;
  Start(record);
  CHECK(HasArrived(0, "body-a1"));
  accepted_[0]->Write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  CHECK(RunUntil([&] { return record.end.has_value(); }));
  CHECK(record.end == UpstreamEnd::kComplete);
  CHECK(RunUntil([&] { return closed_[0]; }));
}

// Guards against reusing a connection on which unexpected data has arrived,
// which would be taken as the answer to the next request.
TEST(UpstreamClient, ClosesConnectionsWithStrayBytes) {
  FinishFirstCall();
  accepted_[0]->Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
  CHECK(RunUntil([&] { return closed_[0]; }));
  CallRecord record;
  Start(record, "a2");
  CHECK(HasArrived(1, "body-a2"));
}

// Guards against losing an answer without a length, and against taking a
// truncated answer as complete.
TEST(UpstreamClient, AnswerWithoutLengthEndsWithAnOrderlyClose) {
  CallRecord whole;
  Start(whole);
  CHECK(HasArrived(0, "body-a1"));
  accepted_[0]->Write("HTTP/1.1 200 OK\r\n\r\nall");
  CHECK(RunUntil([&] { return whole.body == "all"; }));
  accepted_[0].reset();
  CHECK(RunUntil([&] { return whole.end.has_value(); }));
  CHECK(whole.end == UpstreamEnd::kComplete);

  CallRecord cut;
  Start(cut);
  CHECK(HasArrived(1, "body-a1"));
  accepted_[1]->Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  CHECK(RunUntil([&] { return cut.body == "half"; }));
  accepted_[1].reset();
  CHECK(RunUntil([&] { return cut.end.has_value(); }));
  CHECK(cut.end == UpstreamEnd::kBroken);
}

// Guards against taking the beginning of an answer without a length for the
// whole one. If the connection is reset while the request is still being
// written, the system may report the reset to the write only, and the end of
// the input then looks like that of an orderly close.
TEST(UpstreamClient, AnswerWithoutLengthThatIsResetDuringTheUploadIsBroken) {
  const RawListener listener;
  for (const bool is_read_before_reset : {true, false}) {
    for (const bool is_deliberate : {true, false}) {
      CallRecord record;
      const auto server = StartLongUpload(listener, record);
      server->Write("HTTP/1.1 200 OK\r\nCall-Id: a1\r\n\r\npart");
      if (is_read_before_reset) {
        CHECK(RunUntil([&record] { return record.body == "part"; }));
      }
      if (is_deliberate) {
        server->Reset();
      } else {
        server->Close();  // Resets the connection, as the request is unread.
      }
      CHECK(RunUntil([&record] { return record.end.has_value(); }));
      CHECK(record.end == UpstreamEnd::kBroken);
    }
  }
}

// Guards against losing a sound answer without a length that the server ends in
// the orderly way while the request is still being written, whether it goes on
// with the connection or then closes it with the rest of the request unread.
TEST(UpstreamClient, AnswerWithoutLengthMayEndDuringTheUpload) {
  const RawListener listener;
  for (const bool closes_after_the_answer : {false, true}) {
    for (const bool is_read_before_close : {true, false}) {
      CallRecord record;
      const auto server = StartLongUpload(listener, record);
      server->Write("HTTP/1.1 200 OK\r\nCall-Id: a1\r\n\r\nwhole");
      if (is_read_before_close) {
        CHECK(RunUntil([&record] { return record.body == "whole"; }));
      }
      server->CloseWriting();
      if (closes_after_the_answer) {
        server->Close();
      }
      CHECK(RunUntil([&record] { return record.end.has_value(); }));
      CHECK(record.end == UpstreamEnd::kComplete);
      CHECK("whole" == record.body);
    }
  }
}

// Guards against losing an answer with a length, such as a refusal, because the
// server resets the connection right after it instead of reading the request.
TEST(UpstreamClient, AnswerWithLengthIsKeptIfAResetFollows) {
  const RawListener listener;
  CallRecord record;
  const auto server = StartLongUpload(listener, record);
  server->Write(
      "HTTP/1.1 413 Long\r\nCall-Id: a1\r\nContent-Length: 3\r\n\r\nno!");
  server->Reset();
  CHECK(RunUntil([&record] { return record.end.has_value(); }));
  CHECK(record.end == UpstreamEnd::kComplete);
  CHECK_EQUAL(413, record.status);
  CHECK("no!" == record.body);
}

// Guards against reporting kNotSent for a request that the server may have
// executed.
TEST(UpstreamClient, DistinguishesNotSentFromBroken) {
  CallRecord broken;
  Start(broken);
  CHECK(HasArrived(0, "body-a1"));
  accepted_[0].reset();
  CHECK(RunUntil([&] { return broken.end.has_value(); }));
  CHECK(broken.end == UpstreamEnd::kBroken);

  const Address free_address = listener_->local_address();
  listener_.reset();
  CallRecord not_sent;
  HttpRequest request;
  request.method = "GET";
  request.path = "/";
  client_->Start(free_address, request,
                 {nullptr, [](const HttpResponse&) {}, [](std::string_view) {},
                  [&](UpstreamEnd end) { not_sent.end = end; }},
                 {});
  CHECK(RunUntil([&] { return not_sent.end.has_value(); }));
  CHECK(not_sent.end == UpstreamEnd::kNotSent);
}

// Guards against a server that keeps working on a cancelled call.
TEST(UpstreamClient, CancelClosesTheConnection) {
  CallRecord record;
  const UpstreamCallId call = Start(record);
  CHECK(HasArrived(0, "body-a1"));
  client_->Cancel(call);
  CHECK(RunUntil([&] { return closed_[0]; }));
  CHECK(!record.end.has_value());
}

// Guards against a server that gets the whole request of a cancelled call,
// because the rest of it was still on its way when the connection was closed.
TEST(UpstreamClient, CancelDiscardsWhatHasNotArrived) {
  read_accepted_ = false;
  CallRecord record;
  const UpstreamCallId call = Start(record, "a1", kMoreThanAReceiveBuffer);
  CHECK(RunUntil([&] { return accepted_.size() == 1; }));
  RunRounds();
  CHECK(!client_->IsUnsent(call));
  client_->Cancel(call);
  RunRounds();
  Read(0);
  CHECK(RunUntil([&] { return closed_[0]; }));
  CHECK(received_[0].size() < kMoreThanAReceiveBuffer);
}

// Guards against withdrawing a request that is on its way, and against sending
// one that counts as unsent.
TEST(UpstreamClient, RequestIsUnsentUntilItsConnectionOpens) {
  CallRecord record;
  const UpstreamCallId call = Start(record);
  CHECK(client_->IsUnsent(call));
  CHECK(HasArrived(0, "body-a1"));
  CHECK(!client_->IsUnsent(call));
  client_->Cancel(call);
  CHECK(!client_->IsUnsent(call));
}

// Guards against bytes that are not HTTP being passed on or crashing the
// parser.
TEST(UpstreamClient, MalformedAnswerBreaksTheCall) {
  CallRecord record;
  Start(record);
  CHECK(HasArrived(0, "body-a1"));
  accepted_[0]->Write("\x16\x03\x01 this is no answer\r\n\r\n");
  CHECK(RunUntil([&] { return record.end.has_value(); }));
  CHECK(record.end == UpstreamEnd::kBroken);
}

// Guards against passing on a message whose status is none of a final answer,
// and against waiting for another answer behind it.
TEST(UpstreamClient, AnswersWithInvalidStatusAreBroken) {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    const std::string answer =
        "HTTP/1.1 " + std::string(status) +
        " X\r\nCall-Id: a1\r\nContent-Length: 2\r\n\r\nok";
    CHECK_TEXT(UpstreamEnd::kBroken == EndAfterAnswer(answer), status);
  }
}

// Guards against passing on fields that are none, and against a body that ends
// elsewhere than the server meant, after a head that HTTP does not allow.
TEST(UpstreamClient, AnswersWithMalformedHeadsAreBroken) {
  const std::string start = "HTTP/1.1 200 OK\r\nCall-Id: a1\r\n";
  for (const std::string_view lines : kMalformedFieldLines) {
    const std::string fields =
        std::string(lines) + "Content-Length: 4\r\n\r\nbody";
    CHECK_TEXT(UpstreamEnd::kBroken == EndAfterAnswer(start + fields),
               fields.c_str());
    // Right behind the status line, and in an interim answer.
    CHECK_TEXT(
        UpstreamEnd::kBroken == EndAfterAnswer("HTTP/1.1 200 OK\r\n" + fields),
        fields.c_str());
    CHECK_TEXT(
        UpstreamEnd::kBroken ==
            EndAfterAnswer("HTTP/1.1 103 Early Hints\r\n" + std::string(lines) +
                           "\r\n" + start + "Content-Length: 4\r\n\r\nbody"),
        fields.c_str());
  }
  for (const std::string_view lines : kMalformedLengthLines) {
    const std::string answer =
        start + std::string(lines) + "\r\n4\r\nbody\r\n0\r\n\r\n";
    CHECK_TEXT(UpstreamEnd::kBroken == EndAfterAnswer(answer), answer.c_str());
  }
  for (const char* status_line :
       {"HTTP/1.1 0200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 200O OK",
        "HTTP/1.1  200 OK", "HTTP/1.1 200 O\x01K"}) {
    const std::string answer =
        std::string(status_line) +
        "\r\nCall-Id: a1\r\nContent-Length: 4\r\n\r\nbody";
    CHECK_TEXT(UpstreamEnd::kBroken == EndAfterAnswer(answer), status_line);
  }
}

// Guards against refusing heads that HTTP allows, or that servers commonly
// send, however their bytes are divided.
TEST(UpstreamClient, AcceptsWellFormedHeadsInPieces) {
  const std::string answer =
      "\r\nHTTP/1.1 200 OK\nCall-Id: a1\r\nEmpty:\r\n!#$%&'*+-.^_`|~9Az:\tx\t "
      "\r\n"
      "Non-Ascii: caf\xC3\xA9 \xFF\r\nContent-Length: 4\r\n\r\nbody";
  for (const std::size_t piece_bytes : {answer.size(), std::size_t{1}}) {
    CallRecord record;
    const std::size_t connection = received_.size();
    Start(record);
    CHECK(HasArrived(connection, "body-a1"));
    for (std::size_t at = 0; at < answer.size(); at += piece_bytes) {
      accepted_[connection]->Write(answer.substr(at, piece_bytes));
      loop_.RunOnce(std::chrono::milliseconds(1));
    }
    CHECK(RunUntil([&record] { return record.end.has_value(); }));
    CHECK(record.end == UpstreamEnd::kComplete);
    CHECK_EQUAL(200, record.status);
    CHECK("body" == record.body);
    client_->CloseIdle(server_);
  }
}

// Guards against taking an interim answer for the final one, or for a broken
// one.
TEST(UpstreamClient, InterimAnswersPrecedeTheFinalOne) {
  CallRecord record;
  Start(record);
  CHECK(HasArrived(0, "body-a1"));
  accepted_[0]->Write(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n");
  RunRounds();
  CHECK(!record.end.has_value());
  accepted_[0]->Write(
      "HTTP/1.1 199 More\r\n\r\n"
      "HTTP/1.1 200 OK\r\nCall-Id: a1\r\nContent-Length: 5\r\n\r\nfinal");
  CHECK(RunUntil([&record] { return record.end.has_value(); }));
  CHECK(record.end == UpstreamEnd::kComplete);
  CHECK_EQUAL(200, record.status);
  CHECK("final" == record.body);
}

// Guards against taking the rest of an answer, whose length is stated twice,
// for the answer to the next request on the connection.
TEST(UpstreamClient, AnswersThatStateTheirLengthTwiceAreBroken) {
  const std::string answers[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"};
  for (std::size_t i = 0; i < std::size(answers); ++i) {
    CallRecord record;
    Start(record);
    CHECK(HasArrived(i, "body-a1"));
    accepted_[i]->Write(answers[i]);
    CHECK(RunUntil([&] { return record.end.has_value(); }));
    CHECK(record.end == UpstreamEnd::kBroken);
  }
}

}  // namespace amaranthcove
