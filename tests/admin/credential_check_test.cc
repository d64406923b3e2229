#include "admin/credential_check.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "admin/admin_document.h"

namespace heatherspan {
namespace {

constexpr const char* kOperator = "operator-secret";

// Guards against access with a wrong, empty or partly right credential.
TEST(CheckCredentialTest, FindsTheOwner) {
  const auto document = AdminDocument();
  const auto operators = CheckCredential("Bearer operator-secret", kOperator, &document);
  ASSERT_TRUE(operators.has_value());
  EXPECT_TRUE(operators->is_operator());
  const auto team = CheckCredential("Bearer red", kOperator, &document);
  ASSERT_TRUE(team.has_value());
  EXPECT_EQ(team->team, TeamName("red"));
  for (const auto* wrong : {"", "Bearer", "Bearer ", "operator-secret", "Basic operator-secret",
                            "Bearer operator-secre", "Bearer operator-secret2", "Bearer green"}) {
    EXPECT_FALSE(CheckCredential(wrong, kOperator, &document).has_value()) << wrong;
  }
  EXPECT_FALSE(CheckCredential("Bearer red", kOperator, nullptr).has_value());
}

// Guards against a team without a credential that an empty credential, or its hash, would match.
TEST(CheckCredentialTest, TeamWithoutCredentialHasNoAccess) {
  auto document = AdminDocument();
  for (auto& team : document.teams) team.credential_sha256.clear();
  for (const auto* text : {"Bearer ", "Bearer red"}) {
    EXPECT_FALSE(CheckCredential(text, kOperator, &document).has_value()) << text;
  }
}

struct RightsCase {
  const char* name;
  bool allowed;
  std::function<void(Document&)> change;
};

auto DrainOf(DrainScope scope, const char* name) -> std::function<void(Document&)> {
  return [=](Document& document) { document.drains.push_back({scope, name, "repair"}); };
}

// Guards against a team that changes, takes over or drains what belongs to another team.
TEST(ForeignChangeTest, LimitsTeamsToTheirServices) {
  const std::vector<RightsCase> cases = {
      {"no change", true, [](Document&) {}},
      {"own service", true, [](Document& d) { d.services.at(0).value = 7; }},
      {"removed own service", true, [](Document& d) { d.services.erase(d.services.begin()); }},
      {"new own service", true,
       [](Document& d) {
         d.services.push_back(d.services.at(0));
         d.services.back().name = ServiceName("red-new");
       }},
      {"drain of own target", true, DrainOf(DrainScope::kTarget, "red-1")},
      {"foreign service", false, [](Document& d) { d.services.at(1).value = 7; }},
      {"removed foreign service", false, [](Document& d) { d.services.pop_back(); }},
      {"taken over service", false, [](Document& d) { d.services.at(1).team = TeamName("red"); }},
      {"service given away", false, [](Document& d) { d.services.at(0).team = TeamName("blue"); }},
      {"drain of foreign target", false, DrainOf(DrainScope::kTarget, "blue-1")},
      {"drain of a zone named as an own target", false, DrainOf(DrainScope::kZone, "red-1")},
      {"cap", false, [](Document& d) { d.regions.at(0).cap = RequestsPerSecond(1); }},
      {"team weight", false, [](Document& d) { d.teams.at(0).weight = 9; }},
  };
  const auto before = AdminDocument();
  for (const auto& test : cases) {
    auto after = before;
    test.change(after);
    EXPECT_EQ(!ForeignChange(before, after, TeamName("red")).has_value(), test.allowed)
        << test.name;
  }
}

// Guards against a team that ends the drain of another team's target or of a zone.
TEST(ForeignChangeTest, LimitsTheEndOfDrains) {
  const auto after = AdminDocument();
  for (const auto& [scope, name, allowed] : {std::tuple(DrainScope::kTarget, "red-1", true),
                                             {DrainScope::kTarget, "blue-1", false},
                                             {DrainScope::kZone, "north-1", false}}) {
    auto before = after;
    DrainOf(scope, name)(before);
    EXPECT_EQ(!ForeignChange(before, after, TeamName("red")).has_value(), allowed) << name;
  }
}

}  // namespace
}  // namespace heatherspan
