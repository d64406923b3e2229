#pragma once

#include <string_view>

namespace heatherspan {

/// Which request an answer says that it belongs to.
enum class AnswerIdentity {
  kNoAnswer,      ///< No head of an answer has been read.
  kThisRequest,   ///< It repeats the request's id.
  kOtherRequest,  ///< It has another id.
  kUnnamed,       ///< It has none, or the request has none.
};

/// Returns "no-answer", "this", "other" or "none".
auto AnswerIdentityText(AnswerIdentity identity) -> std::string_view;

}  // namespace heatherspan
