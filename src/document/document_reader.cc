#include "document/document_reader.h"

#include <algorithm>

#include "document/canonical.h"
#include "document/canonical_reader.h"
#include "document/document_check.h"
#include "document/document_keys.h"
#include "fmt/format.h"
#include "toml_table/toml_parser.h"

namespace heatherspan {
namespace {

auto TopLevelTables() -> const std::vector<std::string>& {
  static const std::vector<std::string> tables = {"objectives", "region", "link",  "team",
                                                  "service",    "drain",  "client"};
  return tables;
}

/// Fills a document from a TOML tree, section by section.
class TomlVisitor {
 public:
  TomlVisitor(const TomlValue& root, TomlErrors& errors) : root_(root), errors_(errors) {}

  auto Single(std::string_view name, const KeyTable<Document>& keys, Document& document) -> void {
    keys.Read(root_, name, TopLevelTables(), document, errors_);
  }

  auto Single(std::string_view name, const KeyTable<Objectives>& keys, Objectives& objectives)
      -> void {
    if (const auto* value = root_.Find(name)) keys.Read(*value, name, {}, objectives, errors_);
  }

  template <class Record>
  auto List(std::string_view name, const KeyTable<Record>& keys, std::vector<Record>& records)
      -> void {
    ReadList(root_, name, std::string(name), keys, {}, records);
  }

  template <class Record, class Child, class Access>
  auto ListWithChildren(std::string_view name, const KeyTable<Record>& keys,
                        std::vector<Record>& records, std::string_view child_name,
                        const KeyTable<Child>& child_keys, Access children) -> void {
    const std::string child_key(child_name);
    ReadList(root_, name, std::string(name), keys, {child_key}, records);
    for (std::size_t i = 0; i < records.size(); ++i) {
      const auto full_name = fmt::format("{}.{}", name, child_name);
      ReadList(*root_.Find(name)->At(i), child_name, full_name, child_keys, {},
               children(records[i]));
    }
  }

 private:
  /// Adds one record for each element, even if the element is invalid, so that indices match those
  /// of the text.
  template <class Record>
  auto ReadList(const TomlValue& owner, std::string_view name, const std::string& full_name,
                const KeyTable<Record>& keys, const std::vector<std::string>& nested_tables,
                std::vector<Record>& records) -> void {
    const auto* value = owner.Find(name);
    if (value == nullptr) return;
    const auto* array = std::get_if<TomlValue::Array>(&value->value);
    if (array == nullptr) {
      errors_.Add(value->position, fmt::format("{}: found {}, expected tables [[{}]]", full_name,
                                               value->DisplayText(), full_name));
      return;
    }
    records.resize(array->size());
    for (std::size_t i = 0; i < array->size(); ++i) {
      keys.Read((*array)[i], full_name, nested_tables, records[i], errors_);
    }
  }

  const TomlValue& root_;
  TomlErrors& errors_;
};

/// Returns the position of a path, or of the longest part of the path that is in the text.
auto Locate(const TomlValue& root, const DocumentPath& path) -> TomlPosition {
  const TomlValue* value = &root;
  const auto descend = [&value](const TomlValue* next) { value = next == nullptr ? value : next; };
  const auto element = [&value](std::string_view name, std::size_t index) -> const TomlValue* {
    const auto* list = value->Find(name);
    return list == nullptr ? nullptr : list->At(index);
  };
  if (!path.section.empty()) descend(element(path.section, path.index));
  if (!path.child.empty()) descend(element(path.child, path.child_index));
  if (!path.key.empty()) descend(value->Find(path.key));
  return value->position;
}

auto AddCheckErrors(const Document& document, const TomlValue& root, TomlErrors& errors) -> void {
  for (auto& error : CheckDocument(document)) {
    if (error.first.has_value()) {
      error.message += fmt::format(" (line {})", Locate(root, *error.first).line);
    }
    errors.Add(Locate(root, error.path), std::move(error.message));
  }
}

auto ReadToml(std::string_view text, const std::string& file, TomlErrors& errors) -> Document {
  Document document;
  const auto root = ParseToml(text, file, errors);
  if (!errors.errors().empty()) return document;
  TomlVisitor visitor(root, errors);
  VisitSections(document, visitor);
  AddCheckErrors(document, root, errors);
  errors.Sort();
  std::sort(document.clients.begin(), document.clients.end(),
            [](const ClientBlock& a, const ClientBlock& b) { return a.block < b.block; });
  return document;
}

auto Read(std::string_view text, const std::string& file, TomlErrors& errors) -> Document {
  return IsCanonical(text) ? ReadCanonicalText(text, errors) : ReadToml(text, file, errors);
}

}  // namespace

auto ReadDocument(std::string_view text, const std::string& file) -> absl::StatusOr<Document> {
  TomlErrors errors(file);
  auto document = Read(text, file, errors);
  if (!errors.errors().empty()) return ErrorStatus(errors.errors());
  return document;
}

auto ReadDocumentErrors(std::string_view text, const std::string& file)
    -> std::vector<DocumentError> {
  TomlErrors errors(file);
  Read(text, file, errors);
  return errors.errors();
}

}  // namespace heatherspan
