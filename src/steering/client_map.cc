#include "steering/client_map.h"

#include <tbb/parallel_sort.h>

#include <algorithm>
#include <compare>
#include <limits>
#include <string_view>
#include <tuple>

#include "absl/container/flat_hash_map.h"
#include "base/stable_hash.h"

namespace heatherspan {
namespace {

constexpr std::uint32_t kNoBlock = std::numeric_limits<std::uint32_t>::max();
constexpr int kHalfBits = 64;
constexpr std::uint64_t kAllOnes = std::numeric_limits<std::uint64_t>::max();

auto HashOf(const IpBlock& block) -> std::uint64_t {
  const auto& bytes = block.address().bytes();
  std::array<char, 16> text{};
  std::copy(bytes.begin(), bytes.end(), text.begin());
  return StableHash(std::string_view(text.data(), text.size()), block.length());
}

/// The mask of the bits that follow a prefix of this length in one half of an address.
auto HostBits(int prefix) -> std::uint64_t {
  if (prefix <= 0) return kAllOnes;
  return prefix >= kHalfBits ? 0 : kAllOnes >> prefix;
}

}  // namespace

struct ClientMap::BlockRange {
  Key first;
  Key last;
  int length = 0;
  std::uint32_t block = 0;
};

auto ClientMap::Build(const std::vector<ClientBlock>& blocks) -> ClientMap {
  ClientMap map;
  absl::flat_hash_map<ZoneName, std::uint32_t> numbers;
  for (const auto& block : blocks) numbers.emplace(block.zone, 0);
  for (const auto& [zone, number] : numbers) map.zones_.push_back(zone);
  std::sort(map.zones_.begin(), map.zones_.end());
  for (std::uint32_t i = 0; i < map.zones_.size(); ++i) numbers[map.zones_[i]] = i;

  std::vector<BlockRange> ranges;
  ranges.reserve(blocks.size());
  map.blocks_.reserve(blocks.size());
  for (const auto& block : blocks) {
    const auto first = KeyOf(block.block.address());
    const int length = block.block.length();
    const auto number = static_cast<std::uint32_t>(map.blocks_.size());
    ranges.push_back({first, LastKey(first, length), length, number});
    map.blocks_.push_back({HashOf(block.block), block.one_way, numbers[block.zone]});
  }
  // An outer block precedes an inner one that starts at the same address. Of equal blocks, the last
  // one takes precedence. The order is total, so that the parallel sort is deterministic.
  tbb::parallel_sort(ranges.begin(), ranges.end(), [](const BlockRange& a, const BlockRange& b) {
    return std::tie(a.first, a.length, a.block) < std::tie(b.first, b.length, b.block);
  });
  map.Flatten(ranges);
  return map;
}

auto ClientMap::Find(const IpAddress& address) const -> std::optional<ClientMatch> {
  const auto after = std::upper_bound(range_starts_.begin(), range_starts_.end(), KeyOf(address));
  if (after == range_starts_.begin()) return std::nullopt;
  const auto number = range_blocks_[after - range_starts_.begin() - 1];
  if (number == kNoBlock) return std::nullopt;
  const auto& block = blocks_[number];
  return ClientMatch{&zones_[block.client_zone_index], block.client_zone_index, block.hash,
                     block.one_way};
}

auto ClientMap::KeyOf(const IpAddress& address) -> Key {
  Key key{};
  for (std::size_t i = 0; i < address.bytes().size(); ++i) {
    key[i / 8] = key[i / 8] << 8 | address.bytes()[i];
  }
  return key;
}

auto ClientMap::LastKey(Key first, int length) -> Key {
  return {first[0] | HostBits(length), first[1] | HostBits(length - kHalfBits)};
}

auto ClientMap::AddRange(Key start, std::uint32_t block) -> void {
  if (!range_starts_.empty() && range_starts_.back() == start) {
    range_blocks_.back() = block;
    return;
  }
  range_starts_.push_back(start);
  range_blocks_.push_back(block);
}

auto ClientMap::Flatten(const std::vector<BlockRange>& ranges) -> void {
  range_starts_.reserve(2 * ranges.size());
  range_blocks_.reserve(2 * ranges.size());
  std::vector<const BlockRange*> open;
  const auto close = [&] {
    auto next = open.back()->last;
    open.pop_back();
    if (++next[1] == 0 && ++next[0] == 0) return;  // The last address has no successor.
    AddRange(next, open.empty() ? kNoBlock : open.back()->block);
  };
  for (const auto& range : ranges) {
    while (!open.empty() && open.back()->last < range.first) close();
    AddRange(range.first, range.block);
    open.push_back(&range);
  }
  while (!open.empty()) close();
}

}  // namespace heatherspan
