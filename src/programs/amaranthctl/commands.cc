#include "src/programs/amaranthctl/commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <ostream>

#include <boost/program_options.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/file.h"
#include "amaranthcove/request_timeline/request_timeline.h"
#include "amaranthcove/service_document/service_document.h"
#include "src/programs/amaranthctl/admin_client.h"

namespace amaranthcove {
namespace {

namespace options = boost::program_options;

constexpr std::string_view kUsage =
    "Usage: amaranthctl [OPTION] COMMAND ARGUMENT...\n"
    "\n"
    "Commands:\n"
    "  check DOCUMENT   report every error of a service document\n"
    "  diff OLD NEW     describe what an edit of a service document changes\n"
    "  dump ADDRESS     print the state of the process whose admin port is at\n"
    "                   ADDRESS, as JSON\n"
    "  explain ADDRESS REQUEST-ID\n"
    "                   print where a recent request went and why, as JSON;\n"
    "                   ADDRESS is the admin port of the entry that served it\n"
    "  explain LOG REQUEST-ID\n"
    "                   print the request's story from the logs of routers "
    "and\n"
    "                   adapter agents; LOG is a file, or - for standard "
    "input\n"
    "\n"
    "Exit code: 0 fine; 1 a document is refused, the process did not respond\n"
    "within 5 s, or the process or the log does not know the request; 2 wrong\n"
    "usage.\n"
    "\n";

struct Arguments {
  bool help = false;
  bool version = false;
  std::vector<std::string> words;  // The command and its arguments.
};

options::options_description VisibleOptions() {
  options::options_description visible("Options");
  visible.add_options()("help", "print this text")("version",
                                                   "print the version");
  return visible;
}

// Throws options::error if `arguments` contain invalid options.
Arguments ParseArguments(const std::vector<std::string>& arguments) {
  options::options_description all = VisibleOptions();
  Arguments result;
  all.add_options()("word",
                    options::value<std::vector<std::string>>(&result.words));
  options::positional_options_description positional;
  positional.add("word", -1);
  options::variables_map values;
  options::store(options::command_line_parser(arguments)
                     .options(all)
                     .positional(positional)
                     .run(),
                 values);
  options::notify(values);
  result.help = values.count("help") > 0;
  result.version = values.count("version") > 0;
  return result;
}

int UsageError(std::ostream& err, std::string_view message) {
  err << "amaranthctl: " << message << "\n"
      << "Try \"amaranthctl --help\".\n";
  return kExitUsage;
}

// Reads and parses `file`. Writes its errors to `err`.
std::optional<ServiceDocument> ReadDocument(const std::string& file,
                                            std::ostream& err) {
  const Result<std::string> text = ReadFile(file, kMaxServiceDocumentBytes);
  if (!text) {
    err << file << ": " << text.error().message << "\n";
    return std::nullopt;
  }
  auto document = ParseServiceDocument(*text);
  if (!document) {
    err << FormatIniErrors(file, document.error());
    return std::nullopt;
  }
  return std::move(*document);
}

int Check(const std::string& file, std::ostream& out, std::ostream& err) {
  const std::optional<ServiceDocument> document = ReadDocument(file, err);
  if (!document) {
    return kExitFailure;
  }
  out << file << ": valid; team " << document->team
      << ", kinds: " << document->kinds.size()
      << ", adapters: " << document->adapters.size()
      << ", aliases: " << document->aliases.size()
      << ", plain services: " << document->plain_services.size() << "\n";
  return kExitSuccess;
}

int Diff(const std::string& old_file,
         const std::string& new_file,
         std::ostream& out,
         std::ostream& err) {
  const std::optional<ServiceDocument> before = ReadDocument(old_file, err);
  const std::optional<ServiceDocument> after = ReadDocument(new_file, err);
  if (!before || !after) {
    return kExitFailure;
  }
  const std::vector<std::string> changes =
      DiffServiceDocuments(*before, *after);
  if (changes.empty()) {
    out << "Nothing changes.\n";
  }
  for (const std::string& change : changes) {
    out << change << "\n";
  }
  return kExitSuccess;
}

// Prints the admin page at `path` of the process at `address`.
int PrintAdminPage(const std::string& address,
                   const std::string& path,
                   EventLoop& loop,
                   std::ostream& out,
                   std::ostream& err) {
  const Result<Address> server = ParseAddress(address);
  if (!server || server->port == 0) {
    return UsageError(err, "\"" + address + "\" is not A.B.C.D:PORT");
  }
  const Result<std::string> page = FetchAdminPage(loop, *server, path);
  if (!page) {
    err << "amaranthctl: " << page.error().message << "\n";
    return kExitFailure;
  }
  out << *page;
  return kExitSuccess;
}

// Returns whether `text` has the form of a request id. Request ids consist of
// an instance name and numbers, so they need no encoding in a path.
bool IsRequestId(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

int ExplainFromLog(const std::string& file,
                   std::string_view request,
                   std::ostream& out,
                   std::ostream& err) {
  std::vector<LogEvent> log;
  if (file == "-") {
    log = ReadLog(std::cin);
  } else {
    std::ifstream stream(file);
    if (!stream) {
      return UsageError(
          err, "\"" + file + "\" is neither A.B.C.D:PORT nor a file to read");
    }
    log = ReadLog(stream);
  }
  const RequestTimeline timeline = BuildRequestTimeline(log, request);
  if (timeline.events.empty()) {
    err << "amaranthctl: the log has no line of request " << request << "\n";
    return kExitFailure;
  }
  for (const LogEvent& event : timeline.events) {
    out << event.line << "\n";
  }
  for (const std::string& summary : timeline.summaries) {
    out << summary << "\n";
  }
  return kExitSuccess;
}

int Explain(const std::vector<std::string>& words,
            EventLoop& loop,
            std::ostream& out,
            std::ostream& err) {
  if (words.size() != 3) {
    return UsageError(err, "explain takes ADDRESS or LOG, and REQUEST-ID");
  }
  if (!IsRequestId(words[2])) {
    return UsageError(err, "\"" + words[2] + "\" is not a request id");
  }
  if (!ParseAddress(words[1])) {
    return ExplainFromLog(words[1], words[2], out, err);
  }
  return PrintAdminPage(words[1], "/explain/" + words[2], loop, out, err);
}

int RunCommand(const std::vector<std::string>& words,
               EventLoop& loop,
               std::ostream& out,
               std::ostream& err) {
  if (words.empty()) {
    return UsageError(err, "a command is needed");
  }
  if (words[0] == "check") {
    return words.size() == 2 ? Check(words[1], out, err)
                             : UsageError(err, "check takes one DOCUMENT");
  }
  if (words[0] == "diff") {
    return words.size() == 3 ? Diff(words[1], words[2], out, err)
                             : UsageError(err, "diff takes OLD and NEW");
  }
  if (words[0] == "dump") {
    return words.size() == 2 ? PrintAdminPage(words[1], "/dump", loop, out, err)
                             : UsageError(err, "dump takes one ADDRESS");
  }
  if (words[0] == "explain") {
    return Explain(words, loop, out, err);
  }
  return UsageError(err, "unknown command \"" + words[0] + "\"");
}

}  // namespace

int RunAmaranthctl(const std::vector<std::string>& arguments,
                   EventLoop& loop,
                   std::ostream& out,
                   std::ostream& err) {
  Arguments parsed;
  try {
    parsed = ParseArguments(arguments);
  } catch (const options::error& error) {
    return UsageError(err, error.what());
  }
  if (parsed.help) {
    out << kUsage << VisibleOptions();
    return kExitSuccess;
  }
  if (parsed.version) {
    out << "amaranthctl " << AMARANTHCOVE_VERSION << "\n";
    return kExitSuccess;
  }
  return RunCommand(parsed.words, loop, out, err);
}

}  // namespace amaranthcove
