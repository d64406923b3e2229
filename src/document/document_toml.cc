#include "document/document_toml.h"

#include "document/document_keys.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

class TomlWriter {
 public:
  auto Single(std::string_view, const KeyTable<Document>& keys, const Document& document) -> void {
    WriteKeys(keys, document);
  }

  template <class Record>
  auto Single(std::string_view name, const KeyTable<Record>& keys, const Record& record) -> void {
    text_ += fmt::format("\n[{}]\n", name);
    WriteKeys(keys, record);
  }

  template <class Record>
  auto List(std::string_view name, const KeyTable<Record>& keys, const std::vector<Record>& records)
      -> void {
    for (const auto& record : records) {
      text_ += fmt::format("\n[[{}]]\n", name);
      WriteKeys(keys, record);
    }
  }

  template <class Record, class Child, class Access>
  auto ListWithChildren(std::string_view name, const KeyTable<Record>& keys,
                        const std::vector<Record>& records, std::string_view child_name,
                        const KeyTable<Child>& child_keys, Access children) -> void {
    for (const auto& record : records) {
      text_ += fmt::format("\n[[{}]]\n", name);
      WriteKeys(keys, record);
      List(fmt::format("{}.{}", name, child_name), child_keys, children(record));
    }
  }

  auto Finish() -> std::string { return std::move(text_); }

 private:
  template <class Record>
  auto WriteKeys(const KeyTable<Record>& keys, const Record& record) -> void {
    for (const auto& key : keys.keys()) {
      text_ += fmt::format("{} = {}\n", key.name, key.write_toml(record));
    }
  }

  std::string text_;
};

}  // namespace

auto WriteToml(const Document& document) -> std::string {
  TomlWriter writer;
  VisitSections(document, writer);
  return writer.Finish();
}

}  // namespace heatherspan
