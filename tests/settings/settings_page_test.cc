#include <gmock/gmock.h>

#include <fstream>
#include <iterator>

#include "settings/settings_keys.h"
#include "settings/settings_reader.h"

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

// Guards against an example on the page that the program refuses.
TEST(SettingsPage, HasASoundExample) {
  std::ifstream file(HS_DOCS_DIR "/settings.md");
  std::string example;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("    ")) example += line + "\n";
  }
  const auto secret = [](const std::string&) { return std::string(64, 's'); };
  const auto settings = ReadSettings(example, "example", secret);
  ASSERT_TRUE(settings.ok()) << settings.status().message();
  EXPECT_EQ(settings->seeds.size(), 2U);
}

}  // namespace
}  // namespace heatherspan
