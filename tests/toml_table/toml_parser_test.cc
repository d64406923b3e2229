#include "toml_table/toml_parser.h"

#include <gtest/gtest.h>

#include "toml_table/nearest_word.h"

namespace heatherspan {
namespace {

auto FirstError(const std::string& text) -> std::string {
  TomlErrors errors("f.toml");
  ParseToml(text, "f.toml", errors);
  return errors.errors().empty() ? "" : errors.errors().front().Text();
}

// Guards against errors reported at the wrong line.
TEST(ParseToml, RecordsThePositionOfEachValue) {
  TomlErrors errors("f.toml");
  const auto root = ParseToml("a = 1\n[b]\nc = [ 2.5, \"x\" ]\n", "f.toml", errors);
  ASSERT_TRUE(errors.errors().empty());
  EXPECT_EQ(std::get<std::int64_t>(root.Find("a")->value), 1);
  const auto* list = root.Find("b")->Find("c");
  EXPECT_EQ(list->At(1)->position, (TomlPosition{3, 12}));
  EXPECT_EQ(list->At(1)->DisplayText(), "\"x\"");
  EXPECT_EQ(list->At(2), nullptr);
}

TEST(ParseToml, ReportsSyntaxErrorsWithTheirPosition) {
  EXPECT_EQ(FirstError("a = 1\nb = \n").rfind("f.toml:2:", 0), 0U);
  EXPECT_NE(FirstError("a = 1\na = 2\n"), "");
  EXPECT_NE(FirstError("a = \"\xff\"\n"), "");
}

// Guards against stack exhaustion: toml++ frees tables recursively and does not limit the number of
// parts of a dotted key.
TEST(ParseToml, RejectsDeepNesting) {
  std::string dotted = "a";
  for (int i = 0; i < 300'000; ++i) dotted += ".a";
  EXPECT_EQ(FirstError("\n" + dotted + " = 1\n"),
            "f.toml:2:34: nesting exceeds 16 open brackets or 16 dots in a key");
  EXPECT_NE(FirstError("[" + dotted + "]\n"), "");
  EXPECT_NE(FirstError("x = {y = \"\"\"\n\"\"\", " + dotted + " = 1}\n"), "");
  EXPECT_NE(FirstError("x = " + std::string(100'000, '[')), "");
}

TEST(ParseToml, AcceptsDotsInStringsCommentsAndLists) {
  const std::string dots(100, '.');
  EXPECT_EQ(FirstError("a = \"\\\"" + dots + "\" # " + dots + "\nb = '''\n" + dots + "'''\n"), "");
  EXPECT_EQ(FirstError("c = [1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5,"
                       "1.5, 1.5, 1.5, 1.5, 1.5]\n"),
            "");
}

// Guards against values that forge log lines, control terminals or produce invalid JSON. The long
// value is truncated within a character.
TEST(TomlErrors, ReplaceUnprintableBytesInMessages) {
  TomlErrors errors("f");
  TomlValue value;
  value.value = std::string(79, 'a') + "\xd0\xb6";
  errors.Add({}, "\xd0\xb6 a\nb \x1b \xed\xa0\x80 " + value.DisplayText());
  EXPECT_EQ(errors.errors()[0].message, "\xd0\xb6 a?b ? ??? \"" + std::string(79, 'a') + "?...\"");
}

TEST(ErrorStatus, ListsAtMost100Errors) {
  TomlErrors errors("f");
  for (int i = 0; i < 110'000; ++i) errors.Add({}, "wrong");
  const std::string message(ErrorStatus(errors.errors()).message());
  EXPECT_EQ(message.size(), 100 * std::string("f:1:1: wrong\n").size() +
                                std::string("and 109900 more errors").size());
}

TEST(NearestWord, IsEmptyWhenNoWordIsClose) {
  const std::vector<std::string> words = {"cap_rps", "name"};
  EXPECT_EQ(NearestWord("cap_rsp", words), "cap_rps");
  EXPECT_EQ(NearestWord("nme", words), "name");
  EXPECT_EQ(NearestWord("zone", words), "");
}

}  // namespace
}  // namespace heatherspan
