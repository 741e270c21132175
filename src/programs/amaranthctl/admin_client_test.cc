#include "src/programs/amaranthctl/admin_client.h"

#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "amaranthcove/admin/admin_server.h"
#include "src/programs/amaranthctl/commands.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

const Address kAnyPort = {"127.0.0.1", 0};

}  // namespace

TEST_GROUP(AdminClient) {
  EventLoop loop;
  MetricsRegistry registry{"entry-1", "entry", "dc-1"};
  AdminServer admin{loop,
                    registry,
                    {[] {
                       return nlohmann::json{{"role", "entry"}};
                     },
                     [](const std::string& id) {
                       return id == "entry-1-7"
                                  ? nlohmann::json{{"request_id", id}}
                                  : nlohmann::json();
                     },
                     [] { return true; }}};
  std::ostringstream out;
  std::ostringstream err;

  int Run(const std::vector<std::string>& arguments) {
    out.str("");
    err.str("");
    return RunAmaranthctl(arguments, loop, out, err);
  }
};

// Guards against exit code 0 for a missing page, and against a page or an error
// written to the wrong stream.
TEST(AdminClient, PrintsThePagesOfAProcess) {
  CHECK(admin.Listen(kAnyPort).has_value());
  const std::string address = FormatAddress(admin.local_address());
  CHECK_EQUAL(kExitSuccess, Run({"dump", address}));
  STRCMP_EQUAL("{\n  \"role\": \"entry\"\n}\n", out.str().c_str());
  STRCMP_EQUAL("", err.str().c_str());
  CHECK_EQUAL(kExitSuccess, Run({"explain", address, "entry-1-7"}));
  STRCMP_EQUAL("{\n  \"request_id\": \"entry-1-7\"\n}\n", out.str().c_str());
  CHECK_EQUAL(kExitFailure, Run({"explain", address, "entry-1-8"}));
  STRCMP_EQUAL("", out.str().c_str());
  CHECK(err.str().find("status 404") != std::string::npos);
}

// Guards against a client that hangs if nothing listens, if the server does not
// respond or if it closes the connection.
TEST(AdminClient, FailsWithoutAResponse) {
  std::vector<std::unique_ptr<HttpResponder>> unanswered;
  auto server =
      HttpServer::Listen(loop, kAnyPort, {},
                         [&](const HttpRequest& request,
                             std::unique_ptr<HttpResponder> responder) {
                           if (request.path == "/dump") {
                             responder->Abort();
                           } else {
                             unanswered.push_back(std::move(responder));
                           }
                         });
  CHECK(server.has_value());
  const Address address = (*server)->local_address();
  const Result<std::string> silent =
      FetchAdminPage(loop, address, "/healthz", std::chrono::milliseconds(50));
  CHECK(!silent && silent.error().code == ErrorCode::kUnavailable);
  CHECK(silent.error().message.find("within 50 ms") != std::string::npos);
  CHECK_EQUAL(kExitFailure, Run({"dump", FormatAddress(address)}));
  unanswered.clear();
  server->reset();
  CHECK_EQUAL(kExitFailure, Run({"dump", FormatAddress(address)}));
  CHECK(err.str().find("the connection failed") != std::string::npos);
}

}  // namespace amaranthcove
