#include "observe/event_log.h"

#include <gtest/gtest.h>

#include <sstream>

namespace heatherspan {
namespace {

class EventLogTest : public testing::Test {
 protected:
  std::ostringstream lines_;
  EventLog log_{LogLevel::kInfo, lines_};
};

TEST_F(EventLogTest, WritesOneLineOfPairs) {
  log_.Write(LogLevel::kInfo, "refused", {{"reason", "region-cap"}, {"version", 12}});
  EXPECT_EQ(lines_.str(), "event=refused reason=region-cap version=12\n");
}

// A caller's header in a log line must not be able to forge further pairs or lines.
TEST_F(EventLogTest, QuotesValuesThatCouldForgePairs) {
  log_.Write(LogLevel::kInfo, "refused", {{"request_id", "a b=\"c\"\nevent=x"}, {"empty", ""}});
  EXPECT_EQ(lines_.str(), "event=refused request_id=\"a b=\\\"c\\\" event=x\" empty=\"\"\n");
}

TEST_F(EventLogTest, DropsEventsBelowTheThreshold) {
  log_.Write(LogLevel::kDebug, "request", {});
  EXPECT_TRUE(lines_.str().empty());
}

}  // namespace
}  // namespace heatherspan
