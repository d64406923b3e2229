#include "base/reason.h"

#include <gtest/gtest.h>

#include <set>

#include "base/verdict.h"

namespace heatherspan {
namespace {

TEST(Reason, EveryReasonHasItsOwnText) {
  std::set<std::string_view> texts;
  for (const auto reason : AllReasons()) {
    EXPECT_TRUE(texts.insert(ReasonText(reason)).second) << ReasonText(reason);
    EXPECT_EQ(ParseReason(ReasonText(reason)), reason);
  }
  EXPECT_EQ(ReasonText(Reason::kInternal), "internal");
}

TEST(Verdict, ReadsBackWhatItWrites) {
  for (const auto verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    EXPECT_EQ(ParseVerdict(VerdictText(verdict)), verdict);
  }
  EXPECT_EQ(ParseVerdict("run"), std::nullopt);
}

}  // namespace
}  // namespace heatherspan
