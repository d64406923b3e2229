#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "toml_table/key_description.h"
#include "toml_table/nearest_word.h"
#include "toml_table/toml_error.h"
#include "toml_table/toml_value.h"
#include "toml_table/value_format.h"

namespace heatherspan {

enum class Presence { kRequired, kOptional };

/// The keys of one kind of TOML table, bound to the members of a record. Reading, checking,
/// writing, comparing and the documentation are all derived from the key table.
template <class Record>
class KeyTable {
 public:
  struct Key {
    std::string name;
    Presence presence;
    std::string expected;
    std::string meaning;
    /// Sets the member and returns whether the value is valid. A value out of range is stored as
    /// well, so that references to an invalid name cause no further errors.
    std::function<bool(const TomlValue&, Record&)> read;
    std::function<bool(std::string_view, Record&)> parse;
    std::function<std::string(const Record&)> write;
    std::function<std::string(const Record&)> write_toml;
  };

  /// Adds a key for a member, given as a pointer or as a function that returns a reference to it.
  template <class Access, class Member>
  auto Add(std::string name, Access access, Presence presence, ValueFormat<Member> format,
           std::string meaning) -> KeyTable& {
    const auto get = [access](const Record& record) -> const Member& {
      return std::invoke(access, record);
    };
    const auto set = [access](Record& record, Member member) {
      std::invoke(access, record) = std::move(member);
    };
    return AddComputed<Member>(std::move(name), get, set, presence, std::move(format),
                               std::move(meaning));
  }

  /// Adds a key whose value is computed from several members.
  template <class Member>
  auto AddComputed(std::string name, std::function<Member(const Record&)> get,
                   std::function<void(Record&, Member)> set, Presence presence,
                   ValueFormat<Member> format, std::string meaning) -> KeyTable& {
    const auto assign = [format, set](std::optional<Member> member, Record& record) {
      if (!member.has_value()) return false;
      const bool valid = format.in_range(*member);
      set(record, std::move(*member));
      return valid;
    };
    Key key{std::move(name), presence, format.expected, std::move(meaning), {}, {}, {}, {}};
    key.read = [format, assign](const TomlValue& value, Record& record) {
      return assign(format.read(value), record);
    };
    key.parse = [format, assign](std::string_view text, Record& record) {
      return assign(format.parse(text), record);
    };
    key.write = [format, get](const Record& record) { return format.write(get(record)); };
    key.write_toml = [format, get](const Record& record) { return format.write_toml(get(record)); };
    keys_.push_back(std::move(key));
    return *this;
  }

  auto keys() const -> const std::vector<Key>& { return keys_; }

  auto Find(std::string_view name) const -> const Key* {
    for (const auto& key : keys_) {
      if (key.name == name) return &key;
    }
    return nullptr;
  }

  /// Reads a table into the record and reports unknown keys, missing keys and invalid values. The
  /// keys in `nested_tables` are skipped; the caller reads these tables.
  auto Read(const TomlValue& value, std::string_view table_name,
            const std::vector<std::string>& nested_tables, Record& record, TomlErrors& errors) const
      -> void {
    const auto* table = std::get_if<TomlValue::Table>(&value.value);
    if (table == nullptr) {
      errors.Add(value.position,
                 fmt::format("{}: found {}, expected a table", table_name, value.DisplayText()));
      return;
    }
    for (const auto& entry : *table) ReadEntry(entry, table_name, nested_tables, record, errors);
    for (const auto& key : keys_) {
      if (key.presence != Presence::kRequired || value.Find(key.name) != nullptr) continue;
      errors.Add(value.position, fmt::format("{}: the key \"{}\" is missing; expected {}",
                                             table_name, key.name, key.expected));
    }
  }

  auto Describe() const -> std::vector<KeyDescription> {
    std::vector<KeyDescription> descriptions;
    for (const auto& key : keys_) {
      const auto text = key.presence == Presence::kRequired
                            ? std::string("required")
                            : fmt::format("`{}`", key.write_toml(Record{}));
      descriptions.push_back({key.name, key.expected, text, key.meaning});
    }
    return descriptions;
  }

 private:
  auto ReadEntry(const TomlEntry& entry, std::string_view table_name,
                 const std::vector<std::string>& nested_tables, Record& record,
                 TomlErrors& errors) const -> void {
    for (const auto& nested_table : nested_tables) {
      if (nested_table == entry.key) return;
    }
    const auto* key = Find(entry.key);
    if (key == nullptr) {
      errors.Add(entry.key_position, UnknownKeyMessage(entry.key, table_name, nested_tables));
    } else if (!key->read(entry.value, record)) {
      errors.Add(entry.value.position, fmt::format("{}: found {}, expected {}", entry.key,
                                                   entry.value.DisplayText(), key->expected));
    }
  }

  auto UnknownKeyMessage(std::string_view name, std::string_view table_name,
                         const std::vector<std::string>& nested_tables) const -> std::string {
    std::vector<std::string> known = nested_tables;
    for (const auto& key : keys_) known.push_back(key.name);
    const auto nearest = NearestWord(name, known);
    const auto hint = nearest.empty() ? fmt::format("known keys: {}", fmt::join(known, ", "))
                                      : fmt::format("did you mean \"{}\"?", nearest);
    TomlValue name_value;
    name_value.value = std::string(name);
    return fmt::format("{}: unknown key {}; {}", table_name, name_value.DisplayText(), hint);
  }

  std::vector<Key> keys_;
};

}  // namespace heatherspan
