#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace heatherspan {

/// A string identifier that can't be mixed up with identifiers of another kind.
template <class Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  auto value() const -> const std::string& { return value_; }
  auto empty() const -> bool { return value_.empty(); }

  // NOLINTBEGIN(modernize-use-nullptr): misreads a defaulted operator<=>.
  friend auto operator<=>(const StrongString&, const StrongString&)
      -> std::strong_ordering = default;
  // NOLINTEND(modernize-use-nullptr)

  template <class H>
  friend auto AbslHashValue(H state, const StrongString& id) -> H {
    return H::combine(std::move(state), id.value_);
  }

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(value_);
  }

 private:
  std::string value_;
};

}  // namespace heatherspan

template <class Tag>
struct std::hash<heatherspan::StrongString<Tag>> {
  auto operator()(const heatherspan::StrongString<Tag>& id) const noexcept -> std::size_t {
    return std::hash<std::string>{}(id.value());
  }
};
