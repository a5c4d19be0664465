// From a job's id to what the logs say of it.
#include "Ctl/explain.h"

#include <sstream>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"

namespace figflow::ctl {
namespace {

std::string Text(const nlohmann::json& rows) {
  std::string text;
  for (const auto& row : rows) {
    absl::StrAppend(&text, row["about"].get<std::string>(), " ",
                    row["source"].get<std::string>(), " ",
                    row["event"].get<std::string>(), "\n");
  }
  return text;
}

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(ParsesWhatTheLogWrites);
  CPPUNIT_TEST(OtherLinesAreSkipped);
  CPPUNIT_TEST(GathersWhatBearsOnAJob);
  CPPUNIT_TEST(SimilarIdsAreNotMixedUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against values that are cut at blanks or keep their escapes.
  void ParsesWhatTheLogWrites() {
    const std::optional<LogLine> line = ParseLogLine(
        "12.5 front-a-1 2026-12-04T09:30:00.123 WARNING category=jobs "
        "event=run_failed task=j7.0.1.2 reason=\"a \\\"b\\\"\\nc\" empty=\"\" "
        "omitted=3");
    CPPUNIT_ASSERT(line.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("front-a-1"), line->origin);
    CPPUNIT_ASSERT_EQUAL(std::string("jobs"), line->category);
    CPPUNIT_ASSERT_EQUAL(std::string("run_failed"), line->event);
    CPPUNIT_ASSERT_EQUAL(std::string("2026-12-04T09:30:00.123"),
                         line->time_text);
    CPPUNIT_ASSERT_EQUAL(std::string("j7.0.1.2"), line->Field("task"));
    CPPUNIT_ASSERT_EQUAL(std::string("a \"b\"\nc"), line->Field("reason"));
    CPPUNIT_ASSERT_EQUAL(std::string(), line->Field("empty"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), line->Field("omitted"));
  }

  // Guards against a tool that stops at a line of another program, or at one
  // that was cut off.
  void OtherLinesAreSkipped() {
    for (const char* text :
         {"", "hello", "category=jobs event=x",
          "2026-12-04T09:30:00.123 INFO category=jobs",
          "2026-12-04T09:30:00.123 INFO category=jobs event=",
          "2026-99-04T09:30:00.123 INFO category=jobs event=x",
          "2026-12-04T09:30:00.123 INFO category=jobs event=\"unfinished"}) {
      const std::optional<LogLine> line = ParseLogLine(text);
      CPPUNIT_ASSERT_MESSAGE(text, !line || line->event == "unfinished");
    }
  }

  // Guards against an explanation that misses the take-over before a late
  // answer, or drowns it in the lines of other jobs.
  void GathersWhatBearsOnAJob() {
    std::vector<SourcedLine> lines;
    std::istringstream owner(
        "2026-12-04T09:30:03.000 INFO category=jobs event=pool_owned "
        "pool=rag-room fence=41 jobs=12\n"
        "2026-12-04T09:30:04.100 INFO category=jobs event=stage_placed job=j7 "
        "stage=0 pool=rag-room tasks=2\n"
        "2026-12-04T09:30:04.100 INFO category=jobs event=stage_placed job=j8 "
        "stage=0 pool=rag-room tasks=1\n"
        "2026-12-04T09:30:04.500 INFO category=jobs event=run_failed "
        "task=j7.0.0.1 run=3 worker=w5\n"
        "2026-12-04T09:30:04.600 WARNING category=jobs event=worker_lost "
        "worker=w5 pool=rag-room cause=silent\n"
        "2026-12-04T09:30:04.600 WARNING category=jobs event=worker_lost "
        "worker=w6 pool=rag-room cause=silent\n"
        "2026-12-04T09:30:20.000 INFO category=pools event=pool_load "
        "pool=rag-room idle=0\n");
    std::istringstream entry(
        "2026-12-04T09:30:00.000 INFO category=pools event=owner_gone "
        "scope=rag-room\n"
        "2026-12-04T09:30:01.000 WARNING category=platform event=store_lost\n"
        "2026-12-04T09:30:05.000 INFO category=requests event=call_answered "
        "job=j7 pool=rag-room outcome=accepted\n");
    ReadLog(owner, "b", &lines);
    ReadLog(entry, "a", &lines);
    CPPUNIT_ASSERT_EQUAL(std::string("pool a owner_gone\n"
                                     "daemon a store_lost\n"
                                     "pool b pool_owned\n"
                                     "id b stage_placed\n"
                                     "id b run_failed\n"
                                     "worker b worker_lost\n"
                                     "id a call_answered\n"),
                         Text(Explain("j7", std::move(lines))));
  }

  void SimilarIdsAreNotMixedUp() {
    std::vector<SourcedLine> lines;
    std::istringstream log(
        "2026-12-04T09:30:04.100 INFO category=jobs event=stage_placed job=j70 "
        "pool=p\n"
        "2026-12-04T09:30:04.200 INFO category=jobs event=run_failed "
        "task=j7.0.0.1\n");
    ReadLog(log, "a", &lines);
    CPPUNIT_ASSERT_EQUAL(std::string("id a run_failed\n"),
                         Text(Explain("j7", lines)));
    CPPUNIT_ASSERT(Explain("j", lines).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace
}  // namespace figflow::ctl
