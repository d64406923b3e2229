#pragma once

#include <compare>
#include <functional>
#include <utility>

namespace heatherspan {

/// A number with a unit or a meaning that can't be mixed up with numbers of another kind.
template <class Tag, class Rep>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep value) : value_(value) {}

  constexpr auto value() const -> Rep { return value_; }

  // NOLINTBEGIN(modernize-use-nullptr): misreads a defaulted operator<=>.
  friend constexpr auto operator<=>(const StrongNumber&, const StrongNumber&)
      -> std::compare_three_way_result_t<Rep> = default;
  // NOLINTEND(modernize-use-nullptr)
  friend constexpr auto operator+(StrongNumber a, StrongNumber b) -> StrongNumber {
    return StrongNumber(a.value_ + b.value_);
  }
  friend constexpr auto operator-(StrongNumber a, StrongNumber b) -> StrongNumber {
    return StrongNumber(a.value_ - b.value_);
  }
  constexpr auto operator+=(StrongNumber other) -> StrongNumber& {
    value_ += other.value_;
    return *this;
  }
  constexpr auto operator-=(StrongNumber other) -> StrongNumber& {
    value_ -= other.value_;
    return *this;
  }

  template <class H>
  friend auto AbslHashValue(H state, const StrongNumber& number) -> H {
    return H::combine(std::move(state), number.value_);
  }

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(value_);
  }

 private:
  Rep value_{};
};

}  // namespace heatherspan

template <class Tag, class Rep>
struct std::hash<heatherspan::StrongNumber<Tag, Rep>> {
  auto operator()(const heatherspan::StrongNumber<Tag, Rep>& number) const noexcept -> std::size_t {
    return std::hash<Rep>{}(number.value());
  }
};
