#include <gmock/gmock.h>

#include "document/document_keys.h"
#include "document_fixture.h"

namespace heatherspan {
namespace {

/// Writes one Markdown section for each section of a document.
class PageVisitor {
 public:
  template <class Record>
  auto Single(const std::string& name, const KeyTable<Record>& keys, const Record&) -> void {
    Add(name == "document" ? "Top level" : "`[" + name + "]`", keys);
  }
  template <class Record>
  auto List(const std::string& name, const KeyTable<Record>& keys, const std::vector<Record>&)
      -> void {
    Add("`[[" + name + "]]`", keys);
  }
  template <class Record, class Child, class Access>
  auto ListWithChildren(const std::string& name, const KeyTable<Record>& keys,
                        const std::vector<Record>& records, const std::string& child_name,
                        const KeyTable<Child>& child_keys, Access) -> void {
    List(name, keys, records);
    Add("`[[" + name + "." + child_name + "]]`", child_keys);
  }

  auto text() const -> const std::string& { return text_; }

 private:
  template <class Record>
  auto Add(const std::string& title, const KeyTable<Record>& keys) -> void {
    text_ +=
        (text_.empty() ? "" : "\n") + ("## " + title) + "\n\n" + MarkdownTable(keys.Describe());
  }

  std::string text_;
};

// Guards against a documentation page whose keys, ranges or defaults differ from those of the
// program.
TEST(DocumentPage, MatchesTheKeyTables) {
  const auto page = ReadFile(HS_DOCS_DIR "/document.md");
  const auto start = page.find("## Top level");
  ASSERT_NE(start, std::string::npos);
  const Document document;
  PageVisitor visitor;
  VisitSections(document, visitor);
  EXPECT_EQ(page.substr(start), visitor.text());
}

}  // namespace
}  // namespace heatherspan
