#include "document/canonical.h"

#include <gtest/gtest.h>

#include "base/random.h"
#include "document/document_toml.h"
#include "document_fixture.h"

namespace heatherspan {
namespace {

auto ExampleWithDrain(const std::string& name) -> Document {
  auto document = Example(name);
  document.drains = {{DrainScope::kZone, "sofia-1", "new rack; 100% \"planned\" \\ [end]"}};
  if (name != "stranokrak") document.drains[0].name = "pampa-1";
  document.services[0].idempotent_methods.clear();
  document.services[1].expected_time = Duration(1'234'567);
  document.objectives.latency_weight = 0.1;
  document.teams[0].credential_sha256 = std::string(64, 'a');
  return document;
}

// Guards against a stored document that differs from the accepted document.
TEST(Canonical, RoundTripsDocuments) {
  for (const auto* name : {"stranokrak", "rotaciones"}) {
    const auto document = ExampleWithDrain(name);
    const auto text = WriteCanonical(document);
    const auto read = ReadCanonical(text);
    ASSERT_TRUE(read.ok()) << read.status().message();
    EXPECT_EQ(*read, document);
    EXPECT_EQ(WriteCanonical(*read), text);
    EXPECT_EQ(ReadDocument(text, "f").value(), document);
  }
}

TEST(DocumentToml, RoundTripsDocuments) {
  const auto document = ExampleWithDrain("stranokrak");
  EXPECT_EQ(ReadDocument(WriteToml(document), "f").value(), document);
}

// Guards against documents that a newer and an older version interpret differently.
TEST(Canonical, UsesDefaultsForMissingColumnsAndRejectsUnknownColumns) {
  const auto text = WriteCanonical(Example("stranokrak"));
  const auto header = std::string("[team]\tname\tweight\tcredential_sha256\n");
  const auto rows = std::string("field-work\t2\t\noffice\t1\t\n");
  const auto at = text.find(header + rows);
  ASSERT_NE(at, std::string::npos);
  const auto with = [&](const std::string& section) {
    auto copy = text;
    return ReadCanonical(copy.replace(at, header.size() + rows.size(), section));
  };
  const auto old = with("[team]\tname\nfield-work\noffice\n");
  ASSERT_TRUE(old.ok()) << old.status().message();
  EXPECT_EQ(old->teams[0].weight, Team().weight);
  EXPECT_FALSE(with("[team]\tname\tpriority\nfield-work\t1\noffice\t1\n").ok());
  EXPECT_FALSE(with("[teams]\n").ok());
  EXPECT_FALSE(with("[team]\tweight\n1\n1\n").ok());
}

// Guards against accepting a truncated document as complete.
TEST(Canonical, RejectsEveryTruncation) {
  const auto text = WriteCanonical(Example("stranokrak"));
  for (std::size_t length = 0; length < text.size(); ++length) {
    ASSERT_FALSE(ReadCanonical(text.substr(0, length)).ok()) << length;
  }
  EXPECT_FALSE(ReadCanonical(text + "x").ok());
}

TEST(Canonical, HandlesMutatedText) {
  Random random(7);
  const auto text = WriteCanonical(ExampleWithDrain("stranokrak"));
  for (int i = 0; i < 3000; ++i) {
    auto copy = text;
    for (auto edits = 1 + random() % 3; edits > 0; --edits) {
      const auto at = random() % copy.size();
      if (random() % 2 == 0) copy[at] = "\t\n[]0-a."[random() % 8];
      if (random() % 3 == 0) copy.erase(at, random() % 30);
    }
    const auto read = ReadCanonical(copy);
    if (!read.ok()) continue;
    EXPECT_EQ(ReadCanonical(WriteCanonical(*read)).value(), *read);
  }
}

}  // namespace
}  // namespace heatherspan
