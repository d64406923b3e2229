#include "toml_table/toml_parser.h"

#include <gtest/gtest.h>

#include "toml_table/nearest_word.h"

namespace heatherspan {
namespace {

auto FaultOf(const std::string& text) -> std::string {
  TomlFaults faults("f.toml");
  ParseToml(text, "f.toml", faults);
  return faults.faults().empty() ? "" : faults.faults().front().Text();
}

// Guards against faults that point to the wrong line.
TEST(ParseToml, GivesTheValuesTheirPlaces) {
  TomlFaults faults("f.toml");
  const auto root = ParseToml("a = 1\n[b]\nc = [ 2.5, \"x\" ]\n", "f.toml", faults);
  ASSERT_TRUE(faults.faults().empty());
  EXPECT_EQ(std::get<std::int64_t>(root.Find("a")->value), 1);
  const auto* list = root.Find("b")->Find("c");
  EXPECT_EQ(list->At(1)->position, (TomlPosition{3, 12}));
  EXPECT_EQ(list->At(1)->Shown(), "\"x\"");
  EXPECT_EQ(list->At(2), nullptr);
}

TEST(ParseToml, ReportsSyntaxErrorsWithTheirPlace) {
  EXPECT_EQ(FaultOf("a = 1\nb = \n").rfind("f.toml:2:", 0), 0U);
  EXPECT_NE(FaultOf("a = 1\na = 2\n"), "");
  EXPECT_NE(FaultOf("a = \"\xff\"\n"), "");
}

// Guards against stack exhaustion: toml++ frees tables recursively and does not limit dotted keys.
TEST(ParseToml, RefusesDeepNesting) {
  std::string dotted = "a";
  for (int i = 0; i < 300'000; ++i) dotted += ".a";
  EXPECT_EQ(FaultOf("\n" + dotted + " = 1\n"),
            "f.toml:2:34: the text nests deeper than any key needs");
  EXPECT_NE(FaultOf("[" + dotted + "]\n"), "");
  EXPECT_NE(FaultOf("x = {y = \"\"\"\n\"\"\", " + dotted + " = 1}\n"), "");
  EXPECT_NE(FaultOf("x = " + std::string(100'000, '[')), "");
}

TEST(ParseToml, AcceptsDotsInStringsCommentsAndLists) {
  const std::string dots(100, '.');
  EXPECT_EQ(FaultOf("a = \"\\\"" + dots + "\" # " + dots + "\nb = '''\n" + dots + "'''\n"), "");
  EXPECT_EQ(FaultOf("c = [1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5,"
                    "1.5, 1.5, 1.5, 1.5, 1.5]\n"),
            "");
}

// Guards against values that forge log lines, drive terminals or are no valid JSON text; long
// values are cut off within a character here.
TEST(TomlFaults, KeepMessagesPrintable) {
  TomlFaults faults("f");
  TomlValue value;
  value.value = std::string(79, 'a') + "\xd0\xb6";
  faults.Add({}, "\xd0\xb6 a\nb \x1b \xed\xa0\x80 " + value.Shown());
  EXPECT_EQ(faults.faults()[0].message, "\xd0\xb6 a?b ? ??? \"" + std::string(79, 'a') + "?...\"");
}

TEST(FaultStatus, IsBounded) {
  TomlFaults faults("f");
  for (int i = 0; i < 110'000; ++i) faults.Add({}, "wrong");
  const std::string message(FaultStatus(faults.faults()).message());
  EXPECT_EQ(message.size(), 100 * std::string("f:1:1: wrong\n").size() +
                                std::string("and 109900 more faults").size());
}

TEST(NearestWord, IsEmptyForWordsWithNothingInCommon) {
  const std::vector<std::string> words = {"cap_rps", "name"};
  EXPECT_EQ(NearestWord("cap_rsp", words), "cap_rps");
  EXPECT_EQ(NearestWord("nme", words), "name");
  EXPECT_EQ(NearestWord("zone", words), "");
}

}  // namespace
}  // namespace heatherspan
