#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "base/random.h"
#include "net/http_reader.h"

namespace heatherspan {
namespace {

constexpr int kRounds = 3000;
constexpr std::uint64_t kSeed = 20261204;
constexpr std::size_t kMaxHeaderBytes = 2048;
constexpr std::size_t kMaxBodyBytes = 4096;

/// What a reader made of some bytes.
struct Reading {
  int messages = 0;
  HttpReadError error = HttpReadError::kNone;
  std::string text;  ///< Of all messages, so that two readings can be compared.

  /// An unfinished header may be found malformed early or at its end.
  friend auto operator==(const Reading& a, const Reading& b) -> bool {
    const bool unfinished = a.error == HttpReadError::kNone || b.error == HttpReadError::kNone;
    return a.messages == b.messages && a.text == b.text && (unfinished || a.error == b.error);
  }
  friend auto operator<<(std::ostream& stream, const Reading& reading) -> std::ostream& {
    return stream << reading.messages << " messages, error " << static_cast<int>(reading.error)
                  << ": " << reading.text;
  }
};

class ReaderFuzz : public testing::Test {
 protected:
  auto Below(std::size_t bound) -> std::size_t {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }

  auto Mutate(std::string text) -> std::string {
    static const std::vector<std::string> pieces = {"\r\n",
                                                    "\n",
                                                    "\r\n\r\n",
                                                    "Content-Length: 3\r\n",
                                                    "Transfer-Encoding: chunked\r\n",
                                                    "0",
                                                    "-1",
                                                    "ffffffffffffffffff",
                                                    ":",
                                                    " ",
                                                    std::string(1, '\0'),
                                                    "\xff",
                                                    "HTTP/1.1 200 OK\r\n",
                                                    "GET / HTTP/1.1\r\n"};
    for (auto changes = Below(4) + 1; changes > 0; --changes) {
      if (text.empty()) return text;
      const auto at = Below(text.size());
      switch (Below(4)) {
        case 0:
          text[at] = static_cast<char>(Below(256));
          break;
        case 1:
          text.erase(at, Below(12));
          break;
        case 2:
          text.insert(at, pieces[Below(pieces.size())]);
          break;
        default:
          text.resize(at);
      }
    }
    return text;
  }

  /// Passes the bytes on in pieces, as a connection would.
  template <class Reader, class Take>
  auto Read(Reader& reader, const std::string& bytes, std::size_t piece, Take take) -> Reading {
    Reading reading;
    std::string unread;
    std::size_t passed = 0;
    while (reader.error() == HttpReadError::kNone) {
      const auto used = reader.Read(unread);
      EXPECT_LE(used, unread.size());
      unread.erase(0, used);
      if (reader.error() != HttpReadError::kNone) break;
      if (reader.done()) {
        ++reading.messages;
        reading.text += take(reader);
        continue;
      }
      if (passed == bytes.size()) break;
      const auto count = std::min(piece, bytes.size() - passed);
      unread.append(bytes, passed, count);
      passed += count;
    }
    reading.error = reader.error();
    return reading;
  }

  template <class Message>
  static auto Fields(const Message& message) -> std::string {
    std::string text;
    for (const auto& field : message.headers) text += field.name + '=' + field.value + ';';
    EXPECT_LE(message.body.size(), kMaxBodyBytes);
    return text + std::string(message.body) + '|';
  }

  auto ReadRequests(const std::string& bytes, std::size_t piece) -> Reading {
    HttpRequestReader reader(kMaxHeaderBytes, kMaxBodyBytes);
    return Read(reader, bytes, piece, [](HttpRequestReader& done) {
      const auto request = done.Take();
      return request.method + ' ' + request.target + ' ' + Fields(request);
    });
  }

  auto ReadResponses(const std::string& bytes, std::size_t piece) -> Reading {
    HttpResponseReader reader(kMaxBodyBytes);
    reader.Start(false);
    return Read(reader, bytes, piece, [](HttpResponseReader& done) {
      const auto response = done.Take();
      done.Start(false);
      return std::to_string(response.status) + ' ' + Fields(response);
    });
  }

  Random random_{kSeed};
};

constexpr const char* kRequests =
    "POST /book/1?x=y HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nhello"
    "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nCookie: a=b\r\n\r\n";

constexpr const char* kResponses =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=3\r\n\r\nhello"
    "HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

TEST_F(ReaderFuzz, SoundMessagesAreRead) {
  EXPECT_EQ(ReadRequests(kRequests, 7).messages, 3);
  EXPECT_EQ(ReadResponses(kResponses, 7).messages, 3);
}

// Guards against a request that means another thing when its bytes arrive in other pieces, which
// smuggles one request inside another, and against a body beyond the limit.
TEST_F(ReaderFuzz, RequestsDoNotDependOnThePieces) {
  for (int i = 0; i < kRounds; ++i) {
    const auto bytes = Mutate(kRequests);
    const auto whole = ReadRequests(bytes, bytes.size() + 1);
    EXPECT_EQ(ReadRequests(bytes, 1), whole) << bytes;
    EXPECT_EQ(ReadRequests(bytes, Below(40) + 1), whole) << bytes;
  }
}

// Guards against a process that ends because the last chunk of an empty body arrives in two pieces.
TEST_F(ReaderFuzz, AnEmptyChunkedBodyIsReadInAnyPieces) {
  const std::string fields = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  const auto request = "POST /a HTTP/1.1\r\n" + fields;
  const auto response = "HTTP/1.1 200 OK\r\n" + fields;
  for (std::size_t piece = 1; piece <= request.size(); ++piece) {
    EXPECT_EQ(ReadRequests(request, piece).messages, 1) << piece;
    EXPECT_EQ(ReadResponses(response, piece).messages, 1) << piece;
  }
}

// Guards against a response that is taken for another one when its bytes arrive in other pieces.
TEST_F(ReaderFuzz, ResponsesDoNotDependOnThePieces) {
  for (int i = 0; i < kRounds; ++i) {
    const auto bytes = Mutate(kResponses);
    const auto whole = ReadResponses(bytes, bytes.size() + 1);
    EXPECT_EQ(ReadResponses(bytes, 1), whole) << bytes;
    EXPECT_EQ(ReadResponses(bytes, Below(40) + 1), whole) << bytes;
  }
}

}  // namespace
}  // namespace heatherspan
