#include "document/chunk_splitter.h"

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <set>

#include "base/random.h"
#include "document/canonical.h"
#include "document/sha256.h"
#include "document_fixture.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr int kMaxClientBlocks = 110'000;

/// Returns an example with the maximum number of client blocks that the design supports.
auto FullSizeDocument() -> Document {
  auto document = Example("stranokrak");
  document.clients.clear();
  for (int i = 0; i < kMaxClientBlocks; ++i) {
    const auto block = fmt::format("{}.{}.{}.0/24", 10 + i / 65536, i / 256 % 256, i % 256);
    const auto& region = document.regions[static_cast<std::size_t>(i) / 1000 % 3];
    document.clients.push_back({IpBlock::Parse(block).value(), region.zones[i % 2].name,
                                std::chrono::milliseconds(5 + i % 9)});
  }
  return document;
}

auto Hashes(const std::vector<Chunk>& chunks) -> std::set<std::string> {
  std::set<std::string> hashes;
  for (const auto& chunk : chunks) hashes.insert(chunk.hash);
  return hashes;
}

class Stopwatch {
 public:
  auto Milliseconds() const -> double {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start_)
        .count();
  }

 private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

TEST(Sha256Hex, MatchesTheKnownHashOfTheEmptyText) {
  EXPECT_EQ(Sha256Hex(""), "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

TEST(SplitChunks, ChunksReassembleToTheTextWithinTheSizeLimit) {
  const std::string no_line_feeds(3 * kMaxChunkBytes + 7, 'x');
  for (const auto& text : {std::string(), std::string("a"), std::string("a\n\nb"), no_line_feeds,
                           "a\n" + no_line_feeds + "\nb\n"}) {
    std::string joined;
    for (const auto& chunk : SplitChunks(text)) {
      EXPECT_LE(chunk.bytes.size(), kMaxChunkBytes);
      EXPECT_EQ(chunk.hash, Sha256Hex(chunk.bytes));
      joined += chunk.bytes;
    }
    EXPECT_EQ(joined, text);
  }
}

// Guards against a small change that makes every node fetch most of a full-size document again.
TEST(SplitChunks, OneChangedBlockOfAFullSizeDocumentChangesAtMostThreeChunks) {
  auto document = FullSizeDocument();
  const auto text = WriteCanonical(document);
  const auto before = Hashes(SplitChunks(text));
  RecordProperty("bytes", std::to_string(text.size()));
  RecordProperty("chunks", std::to_string(before.size()));
  Random random(11);
  std::size_t max_new_chunks = 0;
  for (int i = 0; i < 40; ++i) {
    auto changed = document;
    const auto at = random() % changed.clients.size();
    if (i % 3 == 0) {
      changed.clients.erase(changed.clients.begin() + static_cast<std::ptrdiff_t>(at));
    } else {
      changed.clients[at].one_way += std::chrono::milliseconds(1 + i);
    }
    std::size_t new_chunks = 0;
    for (const auto& hash : Hashes(SplitChunks(WriteCanonical(changed)))) {
      new_chunks += before.contains(hash) ? 0 : 1;
    }
    max_new_chunks = std::max(max_new_chunks, new_chunks);
  }
  EXPECT_GE(max_new_chunks, 1U);
  EXPECT_LE(max_new_chunks, 3U);
  std::cout << fmt::format("{} blocks: {} bytes, {} chunks, at most {} changed\n", kMaxClientBlocks,
                           text.size(), before.size(), max_new_chunks);
}

TEST(Canonical, RoundTripsAFullSizeDocument) {
  const auto document = FullSizeDocument();
  const Stopwatch write;
  const auto text = WriteCanonical(document);
  const double write_ms = write.Milliseconds();
  const Stopwatch split;
  const auto chunks = SplitChunks(text);
  const double split_ms = split.Milliseconds();
  const Stopwatch read;
  const auto copy = ReadCanonical(text);
  const double read_ms = read.Milliseconds();
  ASSERT_TRUE(copy.ok());
  EXPECT_EQ(*copy, document);
  std::cout << fmt::format("write {:.0f} ms, split {:.0f} ms, read and check {:.0f} ms\n", write_ms,
                           split_ms, read_ms);
}

}  // namespace
}  // namespace heatherspan
