#include <gmock/gmock.h>

#include <fstream>
#include <iterator>

#include "settings/settings_keys.h"

namespace heatherspan {
namespace {

auto ExpectedTables() -> std::string {
  std::string text;
  for (const auto& section : SettingsSections()) {
    text += "## `[" + section.name + "]`\n\n" + MarkdownTable(section.keys.Describe()) + "\n";
  }
  text += "## Secrets\n\n| variable | value | meaning |\n| --- | --- | --- |\n";
  for (const auto& secret : SettingsSecrets()) {
    text += "| `" + secret.variable + "` | at least " + std::to_string(secret.min_characters) +
            " characters | " + secret.meaning + " |\n";
  }
  return text;
}

// Guards against a page that names other keys, ranges or defaults than the program reads.
TEST(SettingsPage, MatchesTheKeyTables) {
  std::ifstream file(HS_DOCS_DIR "/settings.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  const auto start = page.find("## `[node]`");
  ASSERT_NE(start, std::string::npos);
  EXPECT_EQ(page.substr(start), ExpectedTables());
}

}  // namespace
}  // namespace heatherspan
