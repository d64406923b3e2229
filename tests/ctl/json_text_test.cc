#include "ctl/json_text.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

TEST(ReadableText, WritesJsonAsLines) {
  EXPECT_EQ(ReadableText(R"({"a":1,"b":{"c":["x","y"]},"d":[],"e":[{"v":2,"w":"z"}]})"),
            "a: 1\nb:\n  c:\n    - x\n    - y\nd: none\ne:\n  - v: 2, w: z\n");
  EXPECT_EQ(ReadableText("plain"), "plain\n");
  EXPECT_EQ(ReadableText(""), "");
}

// Guards against answers that drive the operator's terminal.
TEST(ReadableText, ReplacesControlCharacters) {
  EXPECT_EQ(ReadableText("{\"a\":\"\\u001b[2J\"}"), "a: ?[2J\n");
  EXPECT_EQ(ReadableText("\x1b[2J"), "?[2J\n");
}

// Guards against stack exhaustion by an answer that nests without end.
TEST(ReadableText, LeavesDeepNestingAsText) {
  const std::string deep(200'000, '[');
  EXPECT_EQ(ReadableText(deep + std::string(200'000, ']')).size(), 400'001U);
  EXPECT_EQ(JsonText("[[1").substr(0, 3), "{\n ");
}

}  // namespace
}  // namespace heatherspan
