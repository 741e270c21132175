#include "amaranthcove/ini/ini.h"

#include <algorithm>
#include <cstring>
#include <set>
#include <utility>

#include <ini.h>

namespace amaranthcove {
namespace {

constexpr std::string_view kWhiteSpace = " \t\r\v\f";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kWhiteSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhiteSpace) - begin + 1);
}

// Passes the text to inih line by line. Section headers are parsed here,
// because inih truncates their names at 49 bytes and does not report empty
// sections. Entries that inih rejects are detected here, because inih reports
// only the first of them.
class Parser {
 public:
  explicit Parser(std::string_view text) : rest_(text) {
    if (rest_.starts_with(kByteOrderMark)) {
      rest_.remove_prefix(kByteOrderMark.size());
    }
  }

  tl::expected<std::vector<IniSection>, IniErrors> Parse() {
    ini_parse_stream(&Parser::ReadLine, this, &Parser::HandleEntry, this);
    if (!errors_.empty()) {
      SortIniErrors(errors_);
      return tl::unexpected<IniErrors>(std::move(errors_));
    }
    return std::move(sections_);
  }

 private:
  // The `fgets`-like reader of inih. Fills `buffer` with the next line, or with
  // an empty line if the line is not an entry.
  static char* ReadLine(char* buffer, int size, void* parser) {
    auto* self = static_cast<Parser*>(parser);
    self->CheckEntryReported();
    if (self->rest_.empty()) {
      return nullptr;
    }
    const std::string_view line = self->TakeLine();
    const bool is_entry =
        self->HandleLine(line, std::min(size - 3, +kMaxIniLineBytes));
    const std::size_t length = is_entry ? line.size() : 0;
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\0';
    self->expects_entry_ = is_entry;
    return buffer;
  }

  // The handler of inih, called for each entry that inih has parsed.
  static int HandleEntry(void* parser,
                         const char* /*section*/,
                         const char* key,
                         const char* value) {
    auto* self = static_cast<Parser*>(parser);
    self->expects_entry_ = false;
    self->AddEntry(key, value);
    return 1;
  }

  std::string_view TakeLine() {
    ++line_;
    const std::size_t end = rest_.find('\n');
    std::string_view line = rest_.substr(0, end);
    rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    return line;
  }

  // Handles section headers and reports invalid lines. Returns whether `line`
  // is to be parsed by inih as an entry.
  bool HandleLine(std::string_view line, int limit) {
    const std::string_view content = Trim(line);
    if (content.empty()) {
      return false;
    }
    if (line.size() > static_cast<std::size_t>(limit)) {
      AddError("", "the line has " + std::to_string(line.size()) +
                       " bytes; at most " + std::to_string(limit) +
                       " are allowed");
      // Entries after an invalid header belong to no section.
      in_invalid_section_ = in_invalid_section_ || content.front() == '[';
      return false;
    }
    if (line.find('\0') != std::string_view::npos) {
      AddError("", "the line contains a zero byte");
      return false;
    }
    if (content.front() == ';' || content.front() == '#') {
      return false;
    }
    if (line.front() != content.front()) {
      AddError("",
               "the line begins with white space; continuation lines are "
               "not allowed");
      return false;
    }
    if (content.front() == '[') {
      StartSection(content);
      return false;
    }
    return true;
  }

  void StartSection(std::string_view header) {
    in_invalid_section_ = true;
    const std::size_t close = header.find(']');
    if (close == std::string_view::npos) {
      AddError("", "the section header has no ']'");
      return;
    }
    const std::string_view after = Trim(header.substr(close + 1));
    if (!after.empty() && after.front() != ';') {
      AddError("", "text after the section header is not allowed");
      return;
    }
    const std::string_view title = Trim(header.substr(1, close - 1));
    const std::size_t type_end =
        std::min(title.find_first_of(kWhiteSpace), title.size());
    IniSection section;
    section.type = title.substr(0, type_end);
    section.name = Trim(title.substr(type_end));
    section.line = line_;
    if (section.type.empty()) {
      AddError("", "the section header is empty");
      return;
    }
    in_invalid_section_ = false;
    keys_.clear();
    const bool is_new = titles_.insert(IniSectionTitle(section)).second;
    sections_.push_back(std::move(section));
    if (!is_new) {
      AddError("", "duplicate section; each section may appear once");
    }
  }

  void AddEntry(std::string_view key, std::string_view value) {
    if (in_invalid_section_) {
      return;
    }
    if (sections_.empty()) {
      AddError(key, "the key stands before the first section");
      return;
    }
    if (key.empty()) {
      AddError("", "the key is missing; expected KEY = VALUE");
      return;
    }
    if (!keys_.insert(std::string(key)).second) {
      AddError(key, "duplicate key; each key may appear once in a section");
      return;
    }
    sections_.back().entries.push_back(
        {std::string(key), std::string(value), line_});
  }

  void CheckEntryReported() {
    if (expects_entry_) {
      AddError("", "expected KEY = VALUE");
    }
    expects_entry_ = false;
  }

  void AddError(std::string_view key, std::string message) {
    std::string title;
    if (!sections_.empty() && !in_invalid_section_) {
      title = IniSectionTitle(sections_.back());
    }
    errors_.push_back(
        {line_, std::move(title), std::string(key), std::move(message)});
  }

  std::string_view rest_;
  int line_ = 0;
  // Whether inih has been given an entry line and has not reported an entry
  // yet.
  bool expects_entry_ = false;
  bool in_invalid_section_ = false;  // The last section header was invalid.
  std::vector<IniSection> sections_;
  std::set<std::string> titles_;
  std::set<std::string> keys_;  // Keys of the last section.
  IniErrors errors_;
};

}  // namespace

tl::expected<std::vector<IniSection>, IniErrors> ParseIni(
    std::string_view text) {
  return Parser(text).Parse();
}

std::string IniSectionTitle(const IniSection& section) {
  return section.name.empty() ? section.type
                              : section.type + " " + section.name;
}

void SortIniErrors(IniErrors& errors) {
  std::stable_sort(
      errors.begin(), errors.end(),
      [](const IniError& a, const IniError& b) { return a.line < b.line; });
}

std::string FormatIniErrors(std::string_view file, const IniErrors& errors) {
  std::string text;
  for (const IniError& error : errors) {
    text += file;
    if (error.line > 0) {
      text += ':';
      text += std::to_string(error.line);
    }
    text += ": ";
    if (!error.section.empty()) {
      text += '[';
      text += error.section;
      text += "] ";
    }
    if (!error.key.empty()) {
      text += error.key + ": ";
    }
    text += error.message + "\n";
  }
  return text;
}

}  // namespace amaranthcove
