#include "document/canonical.h"

#include "document/canonical_form.h"
#include "document/document_keys.h"

namespace heatherspan {
namespace {

class CanonicalWriter {
 public:
  CanonicalWriter() { text_ = std::string(kCanonicalFirstLine) + "\n"; }

  template <class Record>
  auto Single(std::string_view name, const KeyTable<Record>& keys, const Record& record) -> void {
    WriteHeader(name, "", keys);
    WriteRow("", keys, record);
  }

  template <class Record>
  auto List(std::string_view name, const KeyTable<Record>& keys, const std::vector<Record>& records)
      -> void {
    WriteHeader(name, "", keys);
    for (const auto& record : records) WriteRow("", keys, record);
  }

  /// Writes the children as a section of their own, whose first column names the parent.
  template <class Record, class Child, class Access>
  auto ListWithChildren(std::string_view name, const KeyTable<Record>& keys,
                        const std::vector<Record>& records, std::string_view child_name,
                        const KeyTable<Child>& child_keys, Access children) -> void {
    List(name, keys, records);
    WriteHeader(child_name, name, child_keys);
    for (const auto& record : records) {
      for (const auto& child : children(record)) WriteRow(record.name.value(), child_keys, child);
    }
  }

  auto Finish() -> std::string {
    text_ += kCanonicalLastLine;
    text_ += '\n';
    return std::move(text_);
  }

 private:
  template <class Record>
  auto WriteHeader(std::string_view name, std::string_view parent, const KeyTable<Record>& keys)
      -> void {
    text_ += '[';
    text_ += name;
    text_ += ']';
    if (!parent.empty()) {
      text_ += '\t';
      text_ += parent;
    }
    for (const auto& key : keys.keys()) text_ += '\t' + key.name;
    text_ += '\n';
  }

  template <class Record>
  auto WriteRow(std::string_view parent, const KeyTable<Record>& keys, const Record& record)
      -> void {
    bool first = parent.empty();
    text_ += parent;
    for (const auto& key : keys.keys()) {
      if (!first) text_ += '\t';
      first = false;
      text_ += key.write(record);
    }
    text_ += '\n';
  }

  std::string text_;
};

}  // namespace

auto WriteCanonical(const Document& document) -> std::string {
  CanonicalWriter writer;
  VisitSections(document, writer);
  return writer.Finish();
}

auto IsCanonical(std::string_view text) -> bool { return text.starts_with(kCanonicalFirstLine); }

}  // namespace heatherspan
