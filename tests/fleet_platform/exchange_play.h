#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/forwarded_request.h"

namespace heatherspan {

// More than the buffers of a connection hold.
inline constexpr std::size_t kLargeBytes = std::size_t{6} * 1024 * 1024;
inline constexpr std::string_view kSmallBody = "body";

enum class Read { kNothing, kFirstByte, kHead, kAll };
enum class Form { kWhole, kUnframed, kInformational, kHalfHead, kHalfBody, kNone };
enum class Extra { kNone, kCopyOfPrevious, kHalfCopy, kShed, kGarbage, kCopyOfOwn };
enum class End { kKeep, kFin, kReset };
/// Points of an exchange, in their order.
enum class When {
  kNever,
  kWithPrevious,
  kIdle,        ///< The client has seen the extra bytes before the request.
  kIdleUnseen,  ///< It may or may not have.
  kFirstByte,
  kHead,
  kRequest,
  kWithOwn,
  kAfterOwn
};
/// What ends the exchange on the client's side.
enum class Stop { kNone, kCancel, kDeadline };

/// An answer. Of the fields, I is the id, S the signature, N that the request was not executed.
struct Answer {
  int status;
  std::string_view fields;
  AttemptOutcome end;  ///< If it is known to answer the request.
};

struct Script {
  std::string_view name;
  Read read;
  bool runs;
  Form form;
  Answer answer;
};

struct Previous {
  std::string_view name;
  std::optional<Answer> answer;  ///< Empty for a new connection.
};

struct Play {
  Previous previous;
  Script script;
  bool large = false;
  Extra extra = Extra::kNone;
  When when = When::kNever;
  End end = End::kKeep;
  Stop stop = Stop::kNone;
  When stop_at = When::kNever;
  std::size_t cut = 0;  ///< Of a half copy; zero: in the middle.

  auto Name() const -> std::string;
  /// Whether the combination can exist and ends.
  auto IsPossible() const -> bool;
  /// Whether the peer answers completely.
  auto IsAnswered() const -> bool;
  auto ExtraBytes() const -> std::string;
};

inline constexpr Answer kServed{200, "IS", AttemptOutcome::kSucceeded};
inline constexpr Answer kShed{503, "N", AttemptOutcome::kRefused};
inline constexpr Answer kShedNamed{503, "IN", AttemptOutcome::kRefused};
inline constexpr Answer kMisdirected{421, "", AttemptOutcome::kReplaced};
inline constexpr Answer kMisdirectedNamed{421, "I", AttemptOutcome::kReplaced};
inline constexpr Answer kSilence{0, "", AttemptOutcome::kLost};

/// What has come before on the connection; the first entry is a new connection.
auto AllPrevious() -> const std::vector<Previous>&;
/// What the peer does with the request.
auto AllScripts() -> const std::vector<Script>&;

auto BodyFor(std::string_view id) -> std::string;
auto SignatureFor(std::string_view id) -> std::string;
auto AnswerText(const Answer& answer, std::string_view id, bool framed = true) -> std::string;
auto AnswerText(const Script& script, std::string_view id) -> std::string;

}  // namespace heatherspan
