#include "Sheet/sheet_parser.h"

#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Sheet/sheet_diff.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace figflow {
namespace {

constexpr char kHeader[] =
    "project,team,pool,data_centre,instances,max_down,budget_minutes,priority,"
    "long_share,max_move\n";
constexpr char kRow[] = "a,t,pa,dc1,4,1,60,normal,0.3,2\n";

// `text` with %H for the header, %R for a good row.
std::string Expand(absl::string_view text) {
  return absl::StrReplaceAll(text, {{"%H", kHeader}, {"%R", kRow}});
}

std::string FaultList(const std::vector<SheetFault>& faults) {
  std::string list;
  for (const SheetFault& fault : faults) {
    absl::StrAppend(&list, list.empty() ? "" : " ", fault.row, ":",
                    fault.column, ":", SheetFaultKindName(fault.kind));
  }
  return list;
}

struct ParseCase {
  const char* name;
  const char* sheet;
  // "row:column:kind" of all faults; empty for an accepted sheet.
  const char* faults;
};

constexpr ParseCase kParseCases[] = {
    {"plain", "#revision,7\n%H%R", ""},
    {"byte-order mark, CRLF, blank trailing cells and rows",
     "\xEF\xBB\xBF#revision,7,,,,,,,,\r\n"
     "project,team,pool,data_centre,instances,max_down,budget_minutes,priority,"
     "long_share,max_move,,\r\na,t,pa,dc1,4,1,60,normal,0.3,2,,\r\n,,,,"
     "\r\n\r\n",
     ""},
    {"quoted cells, no last line break",
     "#revision,\"7\"\n%H\"a\",\"t\", \"pa\" ,dc1,\"4\",1,60,normal,0.3,2", ""},
    {"other column order",
     "#revision,7\nmax_move,team,pool,data_centre,instances,max_down,"
     "budget_minutes,priority,long_share,project\n2,t,pa,dc1,4,1,60,low,0.3,"
     "a\n",
     ""},
    {"two data centres, blank row between",
     "#revision,7\n%H%R\na,t,pa,dc2,4,1,60,normal,0.9,2\n", ""},
    {"embedded quote and comma in a name",
     "#revision,7\n%H\"a\"\"b,c\",t,pa,dc1,4,1,60,normal,0.3,2\n", "3:1:name"},
    {"open quote", "#revision,7\n%Ha,t,pa,dc1,4,1,60,normal,0.3,\"2\n",
     "3:10:syntax"},
    {"quote inside and text after a quoted cell",
     "#revision,7\n%Ha\"b,t,pa,dc1,4,1,60,normal,0.3,\"2\"x\n",
     "3:1:syntax 3:1:name 3:10:syntax"},
    {"rows after a quoted line break keep their number",
     "#revision,7\n%H\"a\nb\",t,pa,dc1,4,1,60,normal,0.3,2\n"
     "c,t,pc,dc1,x,1,60,normal,0.3,2\n",
     "3:1:name 4:5:number"},
    {"empty file", "", "0:0:missing-column 1:1:missing-revision"},
    {"missing revision line", "%H%R", "1:1:missing-revision"},
    {"bad revision", "#revision,x\n%H%R", "1:2:number"},
    {"no revision number", "#revision\n%H%R", "1:2:number"},
    {"revision then something", "#revision,7,8\n%H%R", "1:3:syntax"},
    {"no rows", "#revision,7\n%H", "0:0:no-rows"},
    {"unknown, doubled and missing column",
     "#revision,7\nproject,team,pool,data_center,instances,max_down,"
     "budget_minutes,priority,priority,max_move\n%R",
     "2:0:missing-column 2:0:missing-column 2:4:unknown-column "
     "2:9:duplicate-column"},
    {"semicolons", "#revision,7\nproject;team\na;t\n",
     "2:0:missing-column 2:0:missing-column 2:0:missing-column "
     "2:0:missing-column 2:0:missing-column 2:0:missing-column "
     "2:0:missing-column 2:0:missing-column 2:0:missing-column "
     "2:0:missing-column 2:1:unknown-column"},
    {"numbers, units and ranges, all reported",
     "#revision,7\n%Ha,t,pa,dc1,four,1.5,1e3,normal,30%,2\n"
     "b,t,pb,dc1,-1,99999,90 min,normal,1.01,\"1,000\"\n",
     "3:5:number 3:6:number 3:7:unit 3:9:unit "
     "4:5:range 4:6:range 4:7:unit 4:9:range 4:10:number"},
    {"number too large for any type",
     "#revision,7\n%Ha,t,pa,dc1,99999999999999999999,1,60,normal,nan,2\n",
     "3:5:number 3:9:number"},
    {"blank cells", "#revision,7\n%Ha,,pa,dc1,4,1,60,normal\n",
     "3:2:missing-value 3:9:missing-value 3:10:missing-value"},
    {"cells beyond the columns",
     "#revision,7\n%Ha,t,pa,dc1,4,1,60,normal,0.3,2,x\n", "3:11:syntax"},
    {"unknown priority", "#revision,7\n%Ha,t,pa,dc1,4,1,60,Urgent,0.3,2\n",
     "3:8:priority"},
    {"duplicate project and data centre", "#revision,7\n%H%R%R",
     "4:1:duplicate-row"},
    {"pool claimed by two projects",
     "#revision,7\n%H%Rb,t,pa,dc2,4,1,60,normal,0.3,2\n", "4:3:pool-claimed"},
    {"project-wide columns differ",
     "#revision,7\n%H%Ra,u,pa,dc2,4,2,61,low,0.3,2\n",
     "4:2:inconsistent 4:6:inconsistent 4:7:inconsistent 4:8:inconsistent"},
    {"more down than instances, budget above a day",
     "#revision,7\n%Ha,t,pa,dc1,1,2,1441,normal,0.3,2\n",
     "3:6:range 3:7:range"},
    {"position with other column order",
     "#revision,7\npool,project,team,data_centre,instances,max_down,"
     "budget_minutes,priority,long_share,max_move\n"
     "pa,a,t,dc1,4,1,60,low,0,2\npa,b,t,dc1,4,1,60,low,0,2\n",
     "4:1:pool-claimed"},
    {"workbook instead of text", "#revision,7\n%Ha\x01,t,pa,dc1,4,1,60,low,0,2",
     "3:1:name"},
};

SheetRows Rows(absl::string_view rows) {
  const ParsedSheet sheet =
      ParseSheet(absl::StrCat("#revision,7\n", kHeader, rows));
  CPPUNIT_ASSERT_EQUAL(std::string(), FaultList(sheet.faults));
  return sheet.document.rows;
}

class SheetParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SheetParserTest);
  CPPUNIT_TEST(ReportsAllFaultsWithPositions);
  CPPUNIT_TEST(RefusesOversizedSheets);
  CPPUNIT_TEST(TextAndJsonFormsRoundTrip);
  CPPUNIT_TEST(RefusesBadJson);
  CPPUNIT_TEST(DiffNamesChangedColumns);
  CPPUNIT_TEST(ExamplesAreAccepted);
  CPPUNIT_TEST(ForeignEncodingIsOneFault);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against half-accepted sheets, against stopping at the first fault
  // and against positions that differ from what the spreadsheet shows.
  void ReportsAllFaultsWithPositions() {
    for (const ParseCase& c : kParseCases) {
      const ParsedSheet sheet = ParseSheet(Expand(c.sheet));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.faults),
                                   FaultList(sheet.faults));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, sheet.ok(),
                                   !sheet.document.rows.empty());
    }
  }

  // Guards against documents that the store refuses later.
  void RefusesOversizedSheets() {
    std::string rows;
    for (size_t i = 0; i <= kMaxSheetRows; ++i) {
      absl::StrAppend(&rows, "a,t,pa,dc", i, ",4,1,60,low,0,2\n");
    }
    const ParsedSheet many =
        ParseSheet(absl::StrCat("#revision,1\n", kHeader, rows));
    CPPUNIT_ASSERT_EQUAL(std::string("0:0:too-large"), FaultList(many.faults));
    const ParsedSheet big = ParseSheet(std::string(kMaxSheetBytes + 1, ','));
    CPPUNIT_ASSERT_EQUAL(std::string("0:0:too-large"), FaultList(big.faults));
  }

  // Guards against values that change on their way through CSV, the API or
  // the store, which would show as a difference nobody made.
  void TextAndJsonFormsRoundTrip() {
    const ParsedSheet sheet = ParseSheet(
        Expand("#revision,7\n%H%Rb,t,pb,dc1,4,1,60,urgent,0.0004999,2\n"
               "c,t,pc,dc1,4,1,60,high,0.001,2\nd,t,pd,dc1,4,1,60,low,1,2\n"));
    CPPUNIT_ASSERT(sheet.ok());
    const ParsedSheet text = ParseSheet(ToCsv(sheet.document));
    CPPUNIT_ASSERT(text.document.rows == sheet.document.rows);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, text.document.base_revision);
    const auto json = SheetDocumentFromJson(
        nlohmann::json::parse(ToJson(sheet.document).dump()));
    CPPUNIT_ASSERT(json && json->rows == sheet.document.rows);
    for (const SheetRow& row : sheet.document.rows) {
      const auto compact = RowFromCompactJson(
          nlohmann::json::parse(RowToCompactJson(row).dump()));
      CPPUNIT_ASSERT(compact && *compact == row);
    }
  }

  void RefusesBadJson() {
    nlohmann::json good = ToJson(SheetDocument{3, Rows(kRow)});
    nlohmann::json lacks = good;
    lacks["rows"][0].erase("pool");
    nlohmann::json range = good;
    range["rows"][0]["instances"] = -1;
    nlohmann::json type = good;
    type["rows"][0]["instances"] = nullptr;
    for (const nlohmann::json& bad :
         {lacks, range, type, nlohmann::json(), nlohmann::json{{"rows", 1}}}) {
      CPPUNIT_ASSERT_MESSAGE(bad.dump(), !SheetDocumentFromJson(bad));
    }
    SheetDocument twice{3, Rows(kRow)};
    twice.rows.push_back(twice.rows[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("2:1:duplicate-row"),
                         FaultList(CheckDocument(twice)));
  }

  void DiffNamesChangedColumns() {
    const SheetDiff diff =
        DiffRows(Rows("a,t,pa,dc1,4,1,60,low,0,2\nb,t,pb,dc1,4,1,60,low,0,2\n"
                      "c,t,pc,dc1,4,1,60,low,0,2\n"),
                 Rows("b,t,pb,dc1,5,1,60,low,0.1,2\nc,t,pc,dc1,4,1,60,low,0,2\n"
                      "c,t,pc,dc2,4,1,60,low,0,2\n"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, diff.added.size());
    CPPUNIT_ASSERT_EQUAL(std::string("dc2"), diff.added[0].data_centre.value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, diff.removed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), diff.removed[0].project.value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, diff.changed.size());
    CPPUNIT_ASSERT((diff.changed[0].columns ==
                    std::vector<std::string>{"instances", "long_share"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"after":5,"before":4})"),
        ToJson(diff)["changed"][0]["columns"]["instances"].dump());
    CPPUNIT_ASSERT(DiffRows(Rows(kRow), Rows(kRow)).empty());
  }

  // Guards against examples that differ from the sizes they stand for.
  void ExamplesAreAccepted() {
    struct Example {
      const char* file;
      size_t data_centres;
      size_t services;
      int instances;
    };
    for (const Example& example : {Example{"vatuwaqa.csv", 3, 5, 50},
                                   Example{"whisker-brew.csv", 4, 5, 50},
                                   Example{"demo.csv", 2, 2, 10}}) {
      std::ifstream file(absl::StrCat(FIGFLOW_EXAMPLES, "/", example.file));
      std::stringstream text;
      text << file.rdbuf();
      const ParsedSheet sheet = ParseSheet(text.str());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(example.file, std::string(),
                                   FaultList(sheet.faults));
      std::map<std::string, int> projects;
      std::map<std::string, int> data_centres;
      int instances = 0;
      for (const SheetRow& row : sheet.document.rows) {
        ++projects[row.project.value()];
        ++data_centres[row.data_centre.value()];
        instances += row.instances;
      }
      CPPUNIT_ASSERT_EQUAL(size_t{1}, projects.count(kSpareProject));
      CPPUNIT_ASSERT_EQUAL(example.services + 1, projects.size());
      CPPUNIT_ASSERT_EQUAL(example.data_centres, data_centres.size());
      CPPUNIT_ASSERT_EQUAL(example.instances, instances);
    }
  }

  // A spreadsheet's "Unicode text" gave a fault for each of its cells.
  void ForeignEncodingIsOneFault() {
    using namespace std::string_literals;
    const std::pair<std::string, std::string> sheets[] = {
        {"\xFF\xFE#\0r\0e\0v\0,\0\n\0a\0,\0"s, "UTF-16"},
        {"\xFE\xFF\0#\0r\0e\0v"s, "UTF-16"},
        {"#\0r\0e\0v\0,\0"s, "UTF-16"},
        {"\xFF\xFE\0\0#\0\0\0"s, "UTF-32"},
    };
    for (const auto& [sheet, encoding] : sheets) {
      const ParsedSheet parsed = ParseSheet(sheet);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, parsed.faults.size());
      CPPUNIT_ASSERT(parsed.faults[0].message.find(encoding) !=
                     std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheetParserTest);

}  // namespace
}  // namespace figflow
