#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/ip_address.h"
#include "document/client_block.h"
#include "steering/client_match.h"

namespace heatherspan {

/// Finds the longest client block that contains an address. Immutable and thread-safe.
///
/// The blocks are flattened into a sorted list of disjoint ranges, so that a look-up is one binary
/// search. IPv4 addresses are stored in their IPv6-mapped form, as in IpBlock.
class ClientMap {
 public:
  ClientMap() = default;

  /// Of equal blocks, the last one takes precedence.
  static auto Build(const std::vector<ClientBlock>& blocks) -> ClientMap;

  /// Doesn't allocate.
  auto Find(const IpAddress& address) const -> std::optional<ClientMatch>;

  /// The zones of the blocks, sorted by name.
  auto zones() const -> const std::vector<ZoneName>& { return zones_; }
  auto size() const -> std::size_t { return blocks_.size(); }

 private:
  using Key = std::array<std::uint64_t, 2>;  ///< A 128-bit address, upper half first.

  struct Block {
    std::uint64_t hash = 0;
    Duration one_way{};
    std::uint32_t client_zone_index = 0;
  };
  struct BlockRange;

  static auto KeyOf(const IpAddress& address) -> Key;
  static auto LastKey(Key first, int length) -> Key;
  auto AddRange(Key start, std::uint32_t block) -> void;
  auto Flatten(const std::vector<BlockRange>& ranges) -> void;

  std::vector<ZoneName> zones_;
  std::vector<Block> blocks_;
  std::vector<Key> range_starts_;            ///< First address of each range, ascending.
  std::vector<std::uint32_t> range_blocks_;  ///< The block of each range, or kNoBlock.
};

}  // namespace heatherspan
