#include "amaranthcove/operations/operation_table.h"

#include <map>
#include <set>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr OperationLimits kSmallLimits{4, 8, Duration(100), Duration(100)};

// Applies calls to a table, and records the executions and reported outcomes of
// each id.
struct History {
  std::optional<OperationTable> table;
  Incarnation incarnation = 0;
  Time now{};
  std::vector<std::string> ids;
  std::map<std::string, int> executions;
  std::map<std::string, std::uint64_t> running;  // Request hash by id.
  std::map<std::string, OperationAnswer> answers;
  std::set<std::string> not_run;

  void Restart() {
    ++incarnation;
    table.emplace("s-1", incarnation, std::to_string(incarnation),
                  kSmallLimits);
    running.clear();
  }

  void Issue() {
    const Result<std::string> id = table->Issue(now);
    RC_ASSERT(id.has_value() == (running.size() < kSmallLimits.max_entries));
    if (id) {
      ids.push_back(*id);
    }
  }

  void Begin(const std::string& id, std::uint64_t hash) {
    const BeginResult result = table->Begin(id, hash, now);
    if (result.decision == BeginDecision::kRun) {
      RC_ASSERT(++executions[id] == 1);
      RC_ASSERT(not_run.count(id) == 0U);
      running[id] = hash;
    } else if (running.count(id) != 0) {
      RC_ASSERT(result.decision == (running[id] == hash
                                        ? BeginDecision::kRunning
                                        : BeginDecision::kMismatch));
    }
    if (not_run.count(id) != 0) {
      RC_ASSERT(result.decision >= BeginDecision::kLost);
      RC_ASSERT(!result.answer);
    }
    if (result.answer) {
      RC_ASSERT(*result.answer == answers.at(id));
    }
    RecordOutcome(id, result.outcome);
  }

  void Complete(const std::string& id, std::uint64_t size) {
    const OperationAnswer answer{200, "t", std::string(size, 'x')};
    const bool completed = size < 4 ? table->CompleteUnknown(id, now)
                                    : table->Complete(id, answer, now);
    RC_ASSERT(completed == (running.erase(id) == 1U));
    if (completed) {
      answers[id] = answer;
    }
    RC_ASSERT(table->answer_bytes() <= kSmallLimits.max_answer_bytes);
  }

  void RecordOutcome(const std::string& id, Outcome outcome) {
    if (outcome == Outcome::kNotRun) {
      RC_ASSERT(executions[id] == 0);
      not_run.insert(id);
    }
  }
};

}  // namespace

TEST_GROUP(OperationTable){};

// Guards against a second execution of an operation, an execution after
// "not_run" was reported, and loss of a running operation, under restarts,
// late copies, forged ids and full tables.
TEST(OperationTable, RunsEachOperationAtMostOnce) {
  CHECK(rc::check([] {
    using Step = std::tuple<int, std::size_t, std::uint64_t>;
    const auto steps = *rc::gen::resize(
        300, rc::gen::container<std::vector<Step>>(rc::gen::tuple(
                 rc::gen::inRange(0, 20), rc::gen::inRange<std::size_t>(0, 64),
                 rc::gen::inRange<std::uint64_t>(0, 10))));
    History history;
    history.Restart();
    for (const auto& [action, index, value] : steps) {
      history.now += Duration(value);
      if (action == 0) {
        history.Restart();
      } else if (action < 4 || history.ids.empty()) {
        history.Issue();
      } else {
        // Mostly one of the last issued ids, sometimes an old one.
        const std::size_t back = action % 2 == 0 ? index % 3 : index;
        std::string id =
            history.ids[history.ids.size() - 1 - back % history.ids.size()];
        if (action < 12) {
          history.Begin(id, value % 2);
        } else if (action < 17) {
          history.Complete(id, value);
        } else if (action < 18) {
          history.RecordOutcome(id, history.table->Retire(id, history.now));
        } else {
          id.back() = id.back() == '0' ? '1' : '0';
          history.Begin(id, 0);
          RC_ASSERT(history.executions[id] == 0);
        }
      }
      RC_ASSERT(history.table->size() <= kSmallLimits.max_entries);
      RC_ASSERT(history.table->running() == history.running.size());
    }
  }));
}

// Guards against a repeated call, such as a payment, that does not get the
// stored answer, and against an id that is accepted for a different request.
TEST(OperationTable, ReturnsStoredAnswerAndDetectsMismatch) {
  OperationTable table("s-1", 7, "key");
  const std::string id = *table.Issue(Time());
  CHECK(table.Begin(id, 1, Time()).decision == BeginDecision::kRun);
  CHECK(table.Complete(id, {201, "text/plain", "paid"}, Time()));
  const BeginResult repeated = table.Begin(id, 1, Time());
  CHECK(repeated.decision == BeginDecision::kDone);
  STRCMP_EQUAL("paid", repeated.answer->body.c_str());
  const BeginResult other = table.Begin(id, 2, Time());
  CHECK(other.decision == BeginDecision::kMismatch);
  CHECK(other.outcome == Outcome::kCompleted);
}

// Guards against one operation having several ids, which routing or a table
// could take for different operations.
TEST(OperationTable, ParsesOnlyTheCanonicalText) {
  const std::string tag(16, 'a');
  // Instance names may contain dots.
  const auto dotted = ParseOperationId("op1.rack.1.7.9." + tag);
  CHECK(dotted.has_value());
  STRCMP_EQUAL("rack.1", dotted->instance.c_str());
  STRCMP_EQUAL(("op1.rack.1.7.9." + tag).c_str(),
               FormatOperationId(*dotted).c_str());
  const std::string text = "op1.s_1-a.7.9." + tag;
  STRCMP_EQUAL(text.c_str(),
               FormatOperationId(*ParseOperationId(text)).c_str());
  for (const std::string& bad :
       {std::string(), "op2.s.7.9." + tag, "op1..7.9." + tag,
        "op1.s.07.9." + tag, "op1.s.7.+9." + tag, "op1.s.7.0." + tag,
        "op1.s.7.9223372036854775808." + tag, "op1.s.7.9." + tag + "a",
        "op1.s.7.9." + std::string(16, 'A'), text + ".",
        std::string("op1.s.7.."), std::string("op1.s.7.9")}) {
    CHECK_FALSE_TEXT(ParseOperationId(bad).has_value(), bad.c_str());
  }
}

}  // namespace amaranthcove
