#include "document/document_reader.h"

#include <gmock/gmock.h>

#include <random>
#include <set>

#include "base/random.h"
#include "document_fixture.h"

namespace heatherspan {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

// A valid document with the required keys only.
constexpr std::string_view kMinimalDocument = R"(environment = "demo"
[[region]]
name = "sofia"
cap_rps = 100
[[region.zone]]
name = "sofia-1"
[[team]]
name = "crews"
[[service]]
name = "desk"
team = "crews"
[[service.target]]
name = "desk-1"
zone = "sofia-1"
address = "127.0.0.1:21000"
)";

auto Errors(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> errors;
  for (const auto& error : ReadDocumentErrors(text, "f")) errors.push_back(error.Text());
  return errors;
}

auto Replaced(std::string_view from, std::string_view to) -> std::string {
  std::string text(kMinimalDocument);
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// Guards against examples whose numbers differ from the design page.
TEST(Examples, MatchTheDesign) {
  for (const auto& [name, connections, mbit] :
       {std::tuple("stranokrak", 330, 280), std::tuple("rotaciones", 360, 4000)}) {
    EXPECT_THAT(ReadDocumentErrors(ExampleText(name), name), IsEmpty());
    const auto document = Example(name);
    ASSERT_EQ(document.regions.size(), 3U);
    ASSERT_EQ(document.services.size(), 4U);
    int port = 21000;
    for (const auto& service : document.services) {
      ASSERT_EQ(service.targets.size(), 12U);
      EXPECT_EQ(service.slots_per_target, 3);
      EXPECT_EQ(service.connections_per_target, connections);
      for (const auto& target : service.targets) EXPECT_EQ(target.endpoint.port, port++);
    }
    for (const auto& region : document.regions) {
      ASSERT_EQ(region.zones.size(), 2U);
      EXPECT_EQ(region.zones[1].name.value(), region.name.value() + "-2");
      EXPECT_EQ(region.zones[1].entry_vms_max, 2);
    }
    for (const auto& link : document.links) EXPECT_EQ(link.capacity.value(), mbit);
  }
}

TEST(ReadDocument, UsesDefaultsForMissingKeys) {
  const auto document = ReadDocument(kMinimalDocument, "f").value();
  EXPECT_EQ(document.services[0].default_deadline, Service().default_deadline);
  EXPECT_EQ(document.regions[0].zones[0].entry_vms_max, 1);
  EXPECT_EQ(document.services[0].targets[0].endpoint.Text(), "127.0.0.1:21000");
}

TEST(ReadDocument, SortsClientBlocksByAddress) {
  const auto blocks = std::string(kMinimalDocument) +
                      "[[client]]\nblock = \"10.2.0.0/16\"\nzone = \"sofia-1\"\none_way_ms = 0.5\n"
                      "[[client]]\nblock = \"10.1.0.0/16\"\nzone = \"sofia-1\"\n";
  const auto document = ReadDocument(blocks, "f").value();
  EXPECT_EQ(document.clients[0].block.Text(), "10.1.0.0/16");
  EXPECT_EQ(document.clients[1].one_way, std::chrono::microseconds(500));
}

TEST(ReadDocumentErrors, ReportsAllErrorsInTextOrder) {
  auto text = Replaced("cap_rps = 100", "cap_rsp = 100");
  text += "slots = 3\n[[drain]]\nscope = \"rack\"\nname = \"sofia\"\nreason = \"\"\n";
  EXPECT_THAT(
      Errors(text),
      ElementsAre(
          "f:2:1: region: the key \"cap_rps\" is missing; expected a number from 1 to 1000000 "
          "requests/s",
          "f:4:1: region: unknown key \"cap_rsp\"; did you mean \"cap_rps\"?",
          "f:16:1: service.target: unknown key \"slots\"; known keys: name, zone, address",
          "f:18:9: scope: found \"rack\", expected \"target\" or \"entry-vm\" or \"zone\" or "
          "\"region\"",
          "f:19:8: name: found \"sofia\", expected the name of a target of this document",
          "f:20:10: reason: found \"\", expected a line of 1 to 200 bytes"));
}

struct ErrorCase {
  std::string from;
  std::string to;
  std::string error;
};

// Each case guards one check: the case changes one part of the valid document.
TEST(ReadDocumentErrors, ReportsEachKindOfError) {
  const std::vector<ErrorCase> cases = {
      {"cap_rps = 100", "cap_rps = 0",
       "f:4:11: cap_rps: found 0, expected a number from 1 to 1000000 requests/s"},
      {"cap_rps = 100", "cap_rps = \"100\"",
       "f:4:11: cap_rps: found \"100\", expected a number from 1 to 1000000 requests/s"},
      {"team = \"crews\"", "team = \"crew\"",
       "f:11:8: team: found \"crew\", expected the name of a team of this document; did you mean "
       "\"crews\"?"},
      {"zone = \"sofia-1\"", "zone = \"sofia1\"",
       "f:14:8: zone: found \"sofia1\", expected the name of a zone of this document; did you mean "
       "\"sofia-1\"?"},
      {"[[team]]", "[[region]]\nname = \"varna\"\ncap_rps = 1\nzone = [{name = \"v\"}]\n[[team]]",
       "f:7:1: no [[link]] between \"sofia\" and \"varna\""},
      {"[[team]]", "[[link]]\nbetween = [\"sofia\", \"sofia\"]\nmbit_s = 1\n[[team]]",
       "f:8:11: between: found the same region twice, expected two regions"},
      {"name = \"crews\"", "name = \"crews\"\n[[team]]\nname = \"crews\"",
       "f:10:8: name: \"crews\" is already the name of team[0] (line 8)"},
      {"[[service.target]]",
       "[[service.target]]\nname = \"t\"\nzone = \"sofia-1\"\naddress = "
       "\"127.0.0.1:21000\"\n[[service.target]]",
       "f:19:11: address: \"127.0.0.1:21000\" is already the address of service[0].target[0] "
       "(line 15)"},
      {"[[service.target]]\nname = \"desk-1\"\nzone = \"sofia-1\"\naddress = "
       "\"127.0.0.1:21000\"\n",
       "", "f:9:1: service \"desk\" has no [[service.target]], expected at least one"},
      {"team = \"crews\"", "team = \"crews\"\nexpected_time_ms = 2000",
       "f:12:20: expected_time_ms: found a time not below default_deadline_ms; no request could be "
       "admitted"},
      {"team = \"crews\"", "team = \"crews\"\nconnections_per_target = 2",
       "f:12:26: connections_per_target: found 2, expected at least slots_per_target, which is 3"},
      {"[[team]]", "[objectives]\nlatency_weight = 0\nheadroom_weight = 0\n[[team]]",
       "f:7:1: objectives: both weights are 0, expected one above 0"},
      {"[[team]]", "[team]", "f:7:1: team: found a table, expected tables [[team]]"},
      {"\"127.0.0.1:21000\"", "\"localhost:21000\"",
       "f:15:11: address: found \"localhost:21000\", expected an IP address other than 0.0.0.0 and "
       ":: with a port from 1 to 65535, such as \"192.0.2.7:8080\""},
  };
  for (const auto& item : cases) {
    EXPECT_THAT(Errors(Replaced(item.from, item.to)), testing::Contains(item.error)) << item.to;
  }
}

TEST(ReadDocumentErrors, ReportsOverlappingAndIdenticalClientBlocks) {
  auto text = std::string(kMinimalDocument);
  for (const auto* block :
       {"10.0.0.0/8", "10.1.0.0/16", "11.0.0.0/8", "10.2.0.0/16", "11.0.0.0/8"}) {
    text += "[[client]]\nblock = \"" + std::string(block) + "\"\nzone = \"sofia-1\"\n";
  }
  EXPECT_THAT(Errors(text), ElementsAre("f:20:9: block: 10.1.0.0/16 overlaps 10.0.0.0/8 (line 17)",
                                        "f:26:9: block: 10.2.0.0/16 overlaps 10.0.0.0/8 (line 17)",
                                        "f:29:9: block: 11.0.0.0/8 is listed twice (line 23)"));
}

/// Removes, repeats or overwrites a random part of a text, or truncates the text.
auto Mutate(std::string text, Random& random) -> std::string {
  const auto at = random() % text.size();
  const auto length = 1 + random() % 20;
  switch (random() % 5) {
    case 0:
      return text.substr(0, at);
    case 1:
      return text.erase(at, length);
    case 2:
      return text.insert(at, text.substr(random() % text.size(), length));
    case 3:
      text[at] = static_cast<char>(random());
      return text;
    default:
      text[at] = "[]{}\"'.=#\n-09"[random() % 13];
      return text;
  }
}

// Guards against crashes on damaged text and against accepting it silently: an accepted text has
// valid references and no error, and a rejected text has an error with a position.
TEST(ReadDocument, HandlesMutatedAndTruncatedText) {
  Random random(20);
  const auto original = ExampleText("stranokrak");
  for (int i = 0; i < 1500; ++i) {
    auto text = original.substr(0, 3000 + random() % 3000);
    if (i % 3 == 0) text = kMinimalDocument;
    for (auto edits = 1 + random() % 4; edits > 0 && !text.empty(); --edits) {
      text = Mutate(text, random);
    }
    const auto document = ReadDocument(text, "f");
    const auto errors = ReadDocumentErrors(text, "f");
    ASSERT_EQ(document.ok(), errors.empty()) << "edit " << i << "\n" << text;
    if (document.ok()) {
      EXPECT_FALSE(document->regions.empty());
      EXPECT_FALSE(document->services.at(0).targets.empty());
    }
    for (const auto& error : errors) EXPECT_GE(error.position.line, 1) << text;
  }
}

}  // namespace
}  // namespace heatherspan
