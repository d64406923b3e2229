#include "document/document_diff.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <string_view>

#include "document/canonical.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using Columns = std::vector<std::string_view>;

/// The columns that identify a record of a section.
struct SectionIdentity {
  std::string_view section;
  std::size_t first;
  std::size_t count;
};

constexpr std::array<SectionIdentity, 10> kIdentities = {{{"document", 0, 0},
                                                          {"objectives", 0, 0},
                                                          {"region", 0, 1},
                                                          {"zone", 1, 1},
                                                          {"link", 0, 1},
                                                          {"team", 0, 1},
                                                          {"service", 0, 1},
                                                          {"target", 1, 1},
                                                          {"drain", 0, 2},
                                                          {"client", 0, 1}}};

auto Split(std::string_view text, char separator) -> Columns {
  Columns parts;
  while (true) {
    const auto end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

/// The rows of a canonical text by section. The rows are views of the text, which this class owns.
class CanonicalRows {
 public:
  struct Section {
    Columns columns;
    std::vector<std::string_view> rows;  ///< Sorted.
  };

  explicit CanonicalRows(const Document& document) : text_(WriteCanonical(document)) {
    Section* section = nullptr;
    for (const auto line : Split(text_, '\n')) {
      if (line.starts_with('[')) {
        section = BeginSection(line);
      } else if (section != nullptr && !line.empty()) {
        section->rows.push_back(line);
      }
    }
    for (auto& [name, sorted] : sections_) std::sort(sorted.rows.begin(), sorted.rows.end());
  }

  auto Find(std::string_view section) const -> const Section& { return sections_.at(section); }

 private:
  auto BeginSection(std::string_view header) -> Section* {
    auto columns = Split(header, '\t');
    const auto name = columns.front().substr(1, columns.front().size() - 2);
    columns.erase(columns.begin());
    auto& section = sections_[name];
    section.columns = std::move(columns);
    return &section;
  }

  std::string text_;
  std::map<std::string_view, Section> sections_;
};

using RowsByIdentity = std::map<std::string, std::string_view>;

/// Returns the rows that are not in the other section. The map holds only these rows, as a document
/// may have 110,000 client blocks.
auto RowsMissingFrom(const SectionIdentity& identity, const CanonicalRows::Section& section,
                     const CanonicalRows::Section& other) -> RowsByIdentity {
  std::vector<std::string_view> rows;
  std::set_difference(section.rows.begin(), section.rows.end(), other.rows.begin(),
                      other.rows.end(), std::back_inserter(rows));
  RowsByIdentity by_identity;
  for (const auto row : rows) {
    const auto columns = Split(row, '\t');
    std::string text;
    for (std::size_t i = identity.first; i < identity.first + identity.count; ++i) {
      text += fmt::format(" {}", columns.at(i));
    }
    by_identity.emplace(text, row);
  }
  return by_identity;
}

auto ChangedKeys(const Columns& columns, std::string_view before, std::string_view after)
    -> std::string {
  const auto old_values = Split(before, '\t');
  const auto new_values = Split(after, '\t');
  std::string text;
  for (std::size_t i = 0; i < columns.size(); ++i) {
    if (old_values[i] == new_values[i]) continue;
    text += fmt::format("{} {} {} -> {}", text.empty() ? "" : ",", columns[i], old_values[i],
                        new_values[i]);
  }
  return text;
}

auto DiffSection(const SectionIdentity& identity, const CanonicalRows::Section& before,
                 const CanonicalRows::Section& after, std::vector<std::string>& lines) -> void {
  const auto old_rows = RowsMissingFrom(identity, before, after);
  const auto new_rows = RowsMissingFrom(identity, after, before);
  for (const auto& [name, row] : old_rows) {
    const auto it = new_rows.find(name);
    if (it == new_rows.end()) {
      lines.push_back(fmt::format("removed {}{}", identity.section, name));
    } else {
      lines.push_back(fmt::format("changed {}{}:{}", identity.section, name,
                                  ChangedKeys(after.columns, row, it->second)));
    }
  }
  for (const auto& [name, row] : new_rows) {
    if (!old_rows.contains(name)) {
      lines.push_back(fmt::format("added {}{}", identity.section, name));
    }
  }
}

}  // namespace

auto DiffDocuments(const Document& before, const Document& after) -> std::vector<std::string> {
  const CanonicalRows old_rows(before);
  const CanonicalRows new_rows(after);
  std::vector<std::string> lines;
  for (const auto& identity : kIdentities) {
    DiffSection(identity, old_rows.Find(identity.section), new_rows.Find(identity.section), lines);
  }
  return lines;
}

}  // namespace heatherspan
