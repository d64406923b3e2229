#include "base/stable_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>

namespace heatherspan {

auto StableHash(std::string_view bytes, std::uint64_t seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto CombineHash(std::uint64_t a, std::uint64_t b) -> std::uint64_t {
  // The finalizer of SplitMix64 over both inputs.
  std::uint64_t mixed = a + 0x9e3779b97f4a7c15ULL * (b + 1);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

auto RendezvousScore(std::uint64_t key, std::uint64_t member, double weight) -> double {
  constexpr double kSteps = 9007199254740992.0;  // 2^53
  const auto bits = CombineHash(key, member) >> 11;
  const double uniform = (static_cast<double>(bits) + 0.5) / kSteps;
  return -weight / std::log(uniform);
}

}  // namespace heatherspan
