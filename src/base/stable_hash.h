#pragma once

#include <cstdint>
#include <string_view>

namespace heatherspan {

/// A 64-bit hash that is the same in every process and on every machine.
auto StableHash(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// Mixes two hashes; the order of the arguments matters.
auto CombineHash(std::uint64_t a, std::uint64_t b) -> std::uint64_t;

/// The score of a member for a key in weighted rendezvous hashing; the highest score wins.
auto RendezvousScore(std::uint64_t key, std::uint64_t member, double weight = 1.0) -> double;

}  // namespace heatherspan
