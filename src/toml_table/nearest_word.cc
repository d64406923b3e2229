#include "toml_table/nearest_word.h"

#include <algorithm>
#include <numeric>

namespace heatherspan {
namespace {

constexpr std::size_t kMaxWordLength = 64;

auto EditDistance(std::string_view a, std::string_view b) -> std::size_t {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

auto NearestWord(std::string_view word, const std::vector<std::string>& words) -> std::string {
  if (word.size() > kMaxWordLength) return "";
  // Accepts edits of up to a third of the letters; words that differ in more are usually unrelated.
  std::size_t best_distance = std::max<std::size_t>(1, word.size() / 3) + 1;
  std::string best;
  for (const auto& candidate : words) {
    const auto distance = EditDistance(word, candidate);
    if (distance >= best_distance) continue;
    best_distance = distance;
    best = candidate;
  }
  return best;
}

}  // namespace heatherspan
