#include "document/canonical_reader.h"

#include <algorithm>
#include <map>

#include "document/canonical.h"
#include "document/canonical_form.h"
#include "document/document_check.h"
#include "document/document_keys.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

/// Iterates over the lines of a text.
class LineCursor {
 public:
  explicit LineCursor(std::string_view text) : rest_(text) { Next(); }

  /// The current line; empty at the end of the text.
  auto line() const -> std::string_view { return line_; }
  auto position() const -> TomlPosition { return {number_, 1}; }
  auto at_end() const -> bool { return at_end_; }
  /// Whether the text ends with a line without a line feed.
  auto incomplete() const -> bool { return incomplete_; }

  auto Next() -> void {
    const auto end = rest_.find('\n');
    // A last line without a line feed is truncated and is not returned.
    at_end_ = end == std::string_view::npos;
    incomplete_ = at_end_ && !rest_.empty();
    line_ = at_end_ ? std::string_view() : rest_.substr(0, end);
    rest_.remove_prefix(at_end_ ? rest_.size() : end + 1);
    ++number_;
  }

 private:
  std::string_view rest_;
  std::string_view line_;
  int number_ = 0;
  bool at_end_ = false;
  bool incomplete_ = false;
};

auto SplitColumns(std::string_view line, std::vector<std::string_view>& columns) -> void {
  columns.clear();
  while (true) {
    const auto tab = line.find('\t');
    columns.push_back(line.substr(0, tab));
    if (tab == std::string_view::npos) return;
    line.remove_prefix(tab + 1);
  }
}

class CanonicalReader {
 public:
  CanonicalReader(std::string_view text, TomlErrors& errors) : lines_(text), errors_(errors) {}

  auto Read() -> Document {
    Document document;
    if (lines_.line() != kCanonicalFirstLine) {
      AddError(fmt::format("expected the line \"{}\"", kCanonicalFirstLine));
      return document;
    }
    lines_.Next();
    VisitSections(document, *this);
    if (lines_.line() != kCanonicalLastLine) {
      AddError(fmt::format("expected a known section or the line \"{}\"", kCanonicalLastLine));
      return document;
    }
    lines_.Next();
    if (!lines_.at_end() || lines_.incomplete()) AddError("expected no text after the last line");
    return document;
  }

  template <class Record>
  auto Single(std::string_view name, const KeyTable<Record>& keys, Record& record) -> void {
    int rows = 0;
    ReadSection(name, "", keys,
                [&](std::string_view) -> Record* { return rows++ == 0 ? &record : nullptr; });
  }

  template <class Record>
  auto List(std::string_view name, const KeyTable<Record>& keys, std::vector<Record>& records)
      -> void {
    ReadSection(name, "", keys, [&](std::string_view) { return &records.emplace_back(); });
  }

  template <class Record, class Child, class Access>
  auto ListWithChildren(std::string_view name, const KeyTable<Record>& keys,
                        std::vector<Record>& records, std::string_view child_name,
                        const KeyTable<Child>& child_keys, Access children) -> void {
    List(name, keys, records);
    std::map<std::string, std::size_t, std::less<>> indices;
    for (std::size_t i = 0; i < records.size(); ++i) indices.emplace(records[i].name.value(), i);
    ReadSection(child_name, name, child_keys, [&](std::string_view parent) -> Child* {
      const auto it = indices.find(parent);
      return it == indices.end() ? nullptr : &children(records[it->second]).emplace_back();
    });
  }

 private:
  auto AddError(const std::string& message) -> void { errors_.Add(lines_.position(), message); }

  /// Reads the section if it is present. `record_for` returns the record for a row of the given
  /// parent, or null when no record belongs to the row.
  template <class Record, class RecordFor>
  auto ReadSection(std::string_view name, std::string_view parent, const KeyTable<Record>& keys,
                   RecordFor record_for) -> void {
    SplitColumns(lines_.line(), columns_);
    if (columns_.front() != fmt::format("[{}]", name)) return;
    const auto known = ReadHeader(name, parent, keys);
    lines_.Next();
    const std::size_t offset = parent.empty() ? 0 : 1;
    while (!lines_.at_end() && !lines_.line().starts_with('[')) {
      SplitColumns(lines_.line(), columns_);
      if (columns_.size() != known.size() + offset) {
        AddError(fmt::format("{}: found {} values, expected {}", name, columns_.size(),
                             known.size() + offset));
      } else if (Record* record = record_for(columns_.front())) {
        ReadRow(known, offset, *record);
      } else {
        AddError(fmt::format("{}: this row belongs to no record", name));
      }
      lines_.Next();
    }
  }

  /// Returns the keys of the columns after the parent column, with null for an unknown column,
  /// which is an error.
  template <class Record>
  auto ReadHeader(std::string_view name, std::string_view parent, const KeyTable<Record>& keys)
      -> std::vector<const typename KeyTable<Record>::Key*> {
    std::vector<const typename KeyTable<Record>::Key*> known;
    std::size_t column = 1;
    if (!parent.empty() && (columns_.size() < 2 || columns_[column++] != parent)) {
      AddError(fmt::format("{}: expected the first column \"{}\"", name, parent));
    }
    for (; column < columns_.size(); ++column) {
      const auto* key = keys.Find(columns_[column]);
      if (key == nullptr) {
        AddError(fmt::format("{}: unknown column \"{}\"; a newer version wrote the text", name,
                             columns_[column]));
      }
      known.push_back(key);
    }
    for (const auto& key : keys.keys()) {
      if (key.presence == Presence::kRequired &&
          std::find(known.begin(), known.end(), &key) == known.end()) {
        AddError(fmt::format("{}: the column \"{}\" is missing", name, key.name));
      }
    }
    return known;
  }

  template <class Key, class Record>
  auto ReadRow(const std::vector<const Key*>& known, std::size_t offset, Record& record) -> void {
    for (std::size_t i = 0; i < known.size(); ++i) {
      if (known[i] == nullptr || known[i]->parse(columns_[i + offset], record)) continue;
      TomlValue found;
      found.value = std::string(columns_[i + offset]);
      AddError(fmt::format("{}: found {}, expected {}", known[i]->name, found.DisplayText(),
                           known[i]->expected));
    }
  }

  LineCursor lines_;
  TomlErrors& errors_;
  std::vector<std::string_view> columns_;
};

}  // namespace

auto ReadCanonicalText(std::string_view text, TomlErrors& errors) -> Document {
  auto document = CanonicalReader(text, errors).Read();
  if (!errors.errors().empty()) return document;
  for (const auto& error : CheckDocument(document)) {
    const auto path_text = error.path.Text();
    errors.Add({},
               path_text.empty() ? error.message : fmt::format("{}: {}", path_text, error.message));
  }
  return document;
}

auto ReadCanonical(std::string_view text) -> absl::StatusOr<Document> {
  TomlErrors errors("canonical");
  auto document = ReadCanonicalText(text, errors);
  if (!errors.errors().empty()) return ErrorStatus(errors.errors());
  return document;
}

}  // namespace heatherspan
