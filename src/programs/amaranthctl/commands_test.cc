#include "src/programs/amaranthctl/commands.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

TEST_GROUP(Amaranthctl) {
  std::string directory;
  EventLoop loop;
  std::ostringstream out;
  std::ostringstream err;

  void setup() override {
    std::string name =
        (std::filesystem::temp_directory_path() / "amaranthctl.XXXXXX")
            .string();
    CHECK(mkdtemp(name.data()) != nullptr);
    directory = name;
  }

  void teardown() override {
    std::filesystem::remove_all(directory);
  }

  std::string Write(const std::string& name, const std::string& text) {
    std::string file = directory + "/" + name;
    std::ofstream(file) << text;
    return file;
  }

  int Run(const std::vector<std::string>& arguments) {
    out.str("");
    err.str("");
    return RunAmaranthctl(arguments, loop, out, err);
  }
};

// Guards against exit code 0 for an invalid document, which would mislead
// scripts that check it.
TEST(Amaranthctl, ExitCodeReflectsTheResult) {
  const std::string text =
      "[service]\nteam = t\nbase_model = b\nobjective = stalls\n"
      "[kind k]\nurgency = urgent\ndeadline_ms = ";
  const std::string good = Write("good.ini", text + "1\n");
  const std::string other = Write("other.ini", text + "2\n");
  const std::string bad = Write("bad.ini", text + "1s\n");
  CHECK_EQUAL(kExitSuccess, Run({"check", good}));
  CHECK_EQUAL(kExitFailure, Run({"check", bad}));
  STRCMP_EQUAL((bad + ":7: [kind k] deadline_ms: \"1s\" is not an integer from "
                      "1 to 86400000\n")
                   .c_str(),
               err.str().c_str());
  CHECK_EQUAL(kExitFailure, Run({"check", directory + "/absent.ini"}));
  CHECK_EQUAL(kExitSuccess, Run({"diff", good, other}));
  STRCMP_EQUAL("The deadline of kind \"k\" changes from 1 ms to 2 ms.\n",
               out.str().c_str());
  CHECK_EQUAL(kExitSuccess, Run({"diff", good, good}));
  CHECK_EQUAL(kExitFailure, Run({"diff", good, bad}));
}

// Guards against exit code 0, or no message, after wrong usage.
TEST(Amaranthctl, RefusesWrongUsage) {
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{{},
                                             {"check"},
                                             {"check", "a", "b"},
                                             {"diff", "a"},
                                             {"dump"},
                                             {"dump", "localhost:1"},
                                             {"dump", "127.0.0.1:0"},
                                             {"explain", "127.0.0.1:1"},
                                             {"explain", "127.0.0.1:1", "a b"},
                                             {"explain", "127.0.0.1:1", "../x"},
                                             {"other"},
                                             {"--other"}}) {
    CHECK_EQUAL(kExitUsage, Run(arguments));
    CHECK(!err.str().empty());
  }
  CHECK_EQUAL(kExitSuccess, Run({"--help"}));
  CHECK_EQUAL(kExitSuccess, Run({"--version"}));
}

// Guards against printing the events of another request, and against exit code
// 0 if the log does not contain the request.
TEST(Amaranthctl, ExplainsFromALog) {
  const std::string log =
      Write("day.log",
            "front-1 2026-04-14T00:33:49.400Z INFO  router event=request_end "
            "request=a1 server=e7 outcome=failed status=502 total_ms=82\n"
            "front-1 2026-04-14T00:33:49.500Z INFO  router event=request_end "
            "request=a2 server=e8 outcome=answered status=200 total_ms=9\n");
  CHECK_EQUAL(kExitSuccess, Run({"explain", log, "a1"}));
  STRCMP_CONTAINS("server=e7", out.str().c_str());
  STRCMP_CONTAINS("Failed with 502 after 82 ms", out.str().c_str());
  CHECK(out.str().find("e8") == std::string::npos);
  CHECK_EQUAL(kExitFailure, Run({"explain", log, "a3"}));
  CHECK(out.str().empty());
  CHECK_EQUAL(kExitUsage, Run({"explain", directory + "/absent", "a1"}));
}

}  // namespace amaranthcove
