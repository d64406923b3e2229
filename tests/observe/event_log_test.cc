#include "observe/event_log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <sstream>

#include "observe/log_rate_limiter.h"

namespace heatherspan {
namespace {

class EventLogTest : public testing::Test {
 protected:
  std::ostringstream lines_;
  EventLog log_{LogLevel::kInfo, lines_};
};

TEST_F(EventLogTest, WritesOneLineOfKeyValuePairs) {
  log_.Write(LogLevel::kInfo, "refused", {{"reason", "region-cap"}, {"version", 12}});
  EXPECT_EQ(lines_.str(), "event=refused reason=region-cap version=12\n");
}

// Guards against a caller that forges key=value pairs or log lines through a header value.
TEST_F(EventLogTest, QuotesValuesThatCouldForgePairs) {
  log_.Write(LogLevel::kInfo, "refused", {{"request_id", "a b=\"c\"\nevent=x"}, {"empty", ""}});
  EXPECT_EQ(lines_.str(), "event=refused request_id=\"a b=\\\"c\\\" event=x\" empty=\"\"\n");
}

TEST_F(EventLogTest, DropsEventsBelowTheThreshold) {
  log_.Write(LogLevel::kDebug, "request", {});
  EXPECT_TRUE(lines_.str().empty());
}

// Guards against a flood of events whose logging takes CPU time from requests, and against lines
// that are omitted without a report.
TEST(LogRateLimiter, LimitsTheRateAndReportsOmittedLines) {
  LogRateLimiter limiter(3);
  const auto start = std::chrono::steady_clock::time_point(std::chrono::hours(1));
  int written = 0;
  for (int i = 0; i < 10; ++i) written += limiter.Acquire(start, 0).write ? 1 : 0;
  EXPECT_EQ(written, 3);
  const auto next = limiter.Acquire(start + std::chrono::seconds(1), 5);
  EXPECT_TRUE(next.write);
  EXPECT_EQ(next.notice, "event=log-lines-left-out over_rate=7 reader_too_slow=5");
  EXPECT_EQ(limiter.Acquire(start + std::chrono::seconds(2), 5).notice, "");
}

// Guards against requests that are blocked because the reader of the output stops reading.
TEST(EventLogOutput, BlockedReaderDoesNotBlockWriters) {
  std::signal(SIGPIPE, SIG_IGN);
  std::array<int, 2> pipe{};
  ASSERT_EQ(::pipe(pipe.data()), 0);
  std::fflush(stdout);
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(pipe[1], STDOUT_FILENO);
  ::close(pipe[1]);
  {
    EventLog log(LogLevel::kInfo, 1'000'000);
    const std::string value(200, 'x');
    // Several times the combined capacity of the pipe and the queue.
    for (int i = 0; i < 30'000; ++i) log.Write(LogLevel::kInfo, "event", {{"value", value}});
    // Closing the read end makes the blocked write fail, so that the writer thread ends.
    ::close(pipe[0]);
  }
  ::dup2(saved, STDOUT_FILENO);
  ::close(saved);
  std::clearerr(stdout);
}

}  // namespace
}  // namespace heatherspan
