#include <gtest/gtest.h>

#include <filesystem>
#include <sstream>

#include "ctl/run_ctl.h"
#include "scripted_transport.h"

namespace heatherspan {
namespace {

constexpr std::string_view kCredential = "a-test-credential";

auto GoldenDir() -> std::string { return std::string(HS_TEST_DATA_DIR) + "/golden"; }

auto Cases() -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(GoldenDir())) {
    if (entry.is_directory()) names.push_back(entry.path().filename().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

auto Replaced(std::string text, const std::string& from, const std::string& to) -> std::string {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

/// One argument on each line.
auto Arguments(const std::string& text, const std::string& directory) -> std::vector<std::string> {
  std::vector<std::string> arguments;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    line = Replaced(line, "@DIR@", directory);
    arguments.push_back(Replaced(line, "@EXAMPLES@", HS_EXAMPLES_DIR));
  }
  return arguments;
}

class GoldenTest : public testing::TestWithParam<std::string> {};

// Each folder guards one command's exit code, output, error and requests.
TEST_P(GoldenTest, MatchesItsFolder) {
  const auto directory = GoldenDir() + "/" + GetParam();
  const auto file = [&](const std::string& name) { return ReadTestFile(directory + "/" + name); };
  std::ostringstream out;
  std::ostringstream err;
  const auto credential = GetParam() == "missing-credential" ? "" : std::string(kCredential);
  CtlContext context{out, err, credential, "ivanka", [] { return "w-random"; }};
  ScriptedTransport transport(file("exchanges.json"));
  const auto code = RunCtl(Arguments(file("args"), directory), context, transport);
  const auto shown = [&](const std::ostringstream& stream) {
    return Replaced(Replaced(stream.str(), directory, "@DIR@"), HS_EXAMPLES_DIR, "@EXAMPLES@");
  };
  EXPECT_EQ(std::to_string(static_cast<int>(code)) + "\n", file("exit"));
  EXPECT_EQ(shown(out), file("out"));
  EXPECT_EQ(shown(err), file("err"));
  EXPECT_EQ(transport.Problems(), "");
  EXPECT_EQ((out.str() + err.str()).find(kCredential), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Ctl, GoldenTest, testing::ValuesIn(Cases()),
                         [](const auto& test) { return Replaced(test.param, "-", "_"); });

}  // namespace
}  // namespace heatherspan
